use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// Both queues yield the same order when events are added and removed in turn.
    #[test]
    fn wheel_and_heap_yield_the_same_order(steps in prop::collection::vec((0u32..40, any::<u32>(), 0usize..4), 1..400)) {
        let (mut wheel, mut heap) = (TimingWheel::default(), HeapQueue::default());
        let mut now = 0;
        for (i, (bits, spread, pops)) in steps.into_iter().enumerate() {
            // Delays of all magnitudes, many of them equal.
            let at = now + (u64::from(spread) << 8 >> bits);
            wheel.push(at, i);
            heap.push(at, i);
            for _ in 0..pops {
                let got = wheel.pop();
                prop_assert_eq!(got, heap.pop());
                now = got.map_or(now, |(at, _)| at);
            }
        }
        while let Some(got) = wheel.pop() {
            prop_assert_eq!(Some(got), heap.pop());
        }
        prop_assert!(heap.is_empty() && wheel.is_empty());
    }
}
