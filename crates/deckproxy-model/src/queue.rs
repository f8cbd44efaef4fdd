//! Pending events in the order of time, and of their coming where the time is the same.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A queue of events.
pub trait Queue<E> {
    /// Adds an event; one in the past is due now.
    fn push(&mut self, at: Micros, event: E);
    /// Takes the next event.
    fn pop(&mut self) -> Option<(Micros, E)>;
    /// Events that are pending.
    fn len(&self) -> usize;
    /// Whether none is pending.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Bits of a slot's number, and levels: 2^48 µs are nine years.
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 8;

/// A hierarchical timing wheel (Varghese and Lauck, 1987): an event lies on the level of the highest digit in which its
/// time differs from now, and comes down as that digit is reached. Adding and taking cost the same however many there are.
#[derive(Debug)]
pub struct Wheel<E> {
    levels: Vec<[VecDeque<(Micros, E)>; SLOTS]>,
    /// Which slots of a level hold something, a bit each.
    taken: [u64; LEVELS],
    now: Micros,
    len: usize,
}

impl<E> Default for Wheel<E> {
    fn default() -> Self {
        Wheel {
            levels: (0..LEVELS).map(|_| std::array::from_fn(|_| VecDeque::new())).collect(),
            taken: [0; LEVELS],
            now: 0,
            len: 0,
        }
    }
}

impl<E> Wheel<E> {
    fn place(&mut self, at: Micros, event: E) {
        let differs = at ^ self.now;
        let level = match differs {
            0 => 0,
            _ => ((63 - differs.leading_zeros()) / BITS) as usize,
        };
        let level = level.min(LEVELS - 1);
        let slot = (at >> (BITS * level as u32)) as usize % SLOTS;
        self.levels[level][slot].push_back((at, event));
        self.taken[level] |= 1 << slot;
    }
}

impl<E> Queue<E> for Wheel<E> {
    fn push(&mut self, at: Micros, event: E) {
        self.len += 1;
        self.place(at.max(self.now), event);
    }

    fn pop(&mut self) -> Option<(Micros, E)> {
        if self.len == 0 {
            return None;
        }
        loop {
            // The lowest level that holds anything holds the next event, in its first slot from now on.
            let level = (0..LEVELS).find(|l| self.taken[*l] != 0)?;
            let here = (self.now >> (BITS * level as u32)) as u32 % SLOTS as u32;
            let slot = (self.taken[level].rotate_right(here).trailing_zeros() + here) as usize % SLOTS;
            if level == 0 {
                let (at, event) = self.levels[0][slot].pop_front()?;
                if self.levels[0][slot].is_empty() {
                    self.taken[0] &= !(1 << slot);
                }
                self.now = at;
                self.len -= 1;
                return Some((at, event));
            }
            // That digit is reached: what lies there comes down, in its order.
            let width = BITS * level as u32;
            self.taken[level] &= !(1 << slot);
            let coming = std::mem::take(&mut self.levels[level][slot]);
            let first = coming.front().map_or(self.now, |(at, _)| at >> width << width);
            self.now = self.now.max(first);
            for (at, event) in coming {
                self.place(at, event);
            }
        }
    }

    fn len(&self) -> usize {
        self.len
    }
}

#[derive(Debug)]
struct Item<E>(Micros, u64, E);

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl<E> Eq for Item<E> {}
impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The plain queue, for comparison: a binary heap.
#[derive(Debug)]
pub struct Heap<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    next: u64,
    now: Micros,
}

impl<E> Default for Heap<E> {
    fn default() -> Self {
        Heap { heap: BinaryHeap::new(), next: 0, now: 0 }
    }
}

impl<E> Queue<E> for Heap<E> {
    fn push(&mut self, at: Micros, event: E) {
        self.next += 1;
        self.heap.push(Reverse(Item(at.max(self.now), self.next, event)));
    }

    fn pop(&mut self) -> Option<(Micros, E)> {
        let Reverse(Item(at, _, event)) = self.heap.pop()?;
        self.now = at;
        Some((at, event))
    }

    fn len(&self) -> usize {
        self.heap.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

        /// The same order as the heap's, whatever is added while events are taken.
        #[test]
        fn the_wheel_and_the_heap_agree(steps in prop::collection::vec((0u32..40, any::<u32>(), 0usize..4), 1..400)) {
            let (mut wheel, mut heap) = (Wheel::default(), Heap::default());
            let mut now = 0;
            for (i, (bits, spread, takes)) in steps.into_iter().enumerate() {
                // Spans of all sizes, many of them the same.
                let at = now + (u64::from(spread) << 8 >> bits);
                wheel.push(at, i);
                heap.push(at, i);
                for _ in 0..takes {
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
}
