//! The model's queue of events beside a binary heap.

use super::{Options, show};
use deckproxy_model::queue::{EventQueue, HeapQueue, TimingWheel};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;
use std::time::Instant;

/// Takes the next event and adds one, as a run does: nanoseconds for both.
fn hold(queue: &mut dyn EventQueue<[u64; 6]>, pending: usize, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // Spans as in a run: many short ways and works, some deadlines.
    let span = |rng: &mut Pcg64Mcg| match rng.random_range(0..10) {
        0 => 1_400_000,
        1 | 2 => rng.random_range(10_000..500_000),
        _ => rng.random_range(200..8000),
    };
    for i in 0..pending {
        let at = span(&mut rng);
        queue.push(at, [i as u64; 6]);
    }
    let steps = 2_000_000;
    let start = Instant::now();
    for _ in 0..steps {
        if let Some((at, event)) = queue.pop() {
            queue.push(at + span(&mut rng), black_box(event));
        }
    }
    start.elapsed().as_nanos() as f64 / f64::from(steps)
}

/// Runs it.
pub fn run(options: &Options) {
    let mut rows = Vec::new();
    for pending in [1000, 10_000, 100_000, 1_000_000, 10_000_000] {
        let wheel = hold(&mut TimingWheel::default(), pending, options.seed);
        let heap = hold(&mut HeapQueue::default(), pending, options.seed);
        rows.push(vec![
            pending.to_string(),
            format!("{wheel:.0}"),
            format!("{heap:.0}"),
            format!("{:.1}", heap / wheel),
        ]);
    }
    show(&["pending events", "wheel, ns for taking and adding one", "heap, ns", "ratio"], &rows);
}
