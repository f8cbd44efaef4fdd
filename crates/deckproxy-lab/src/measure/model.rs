//! The model's queue of events and a binary heap.

use super::{Options, show};
use deckproxy_model::queue::{EventQueue, HeapQueue, TimingWheel};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;
use std::time::Instant;

/// Numbers of pending events.
const PENDING: [usize; 5] = [1000, 10_000, 100_000, 1_000_000, 10_000_000];
/// Times that the next event is taken and another one added.
const STEPS: u32 = 2_000_000;
/// The time of a client's deadline, µs.
const DEADLINE: u64 = 1_400_000;

/// An event of the size of the model's.
type Event = [u64; 6];

/// Runs the measurement.
pub fn run(options: &Options) {
    let mut rows = Vec::new();
    for pending in PENDING {
        let wheel_ns = step_ns(&mut TimingWheel::default(), pending, options.seed);
        let heap_ns = step_ns(&mut HeapQueue::default(), pending, options.seed);
        rows.push(vec![
            pending.to_string(),
            format!("{wheel_ns:.0}"),
            format!("{heap_ns:.0}"),
            format!("{:.1}", heap_ns / wheel_ns),
        ]);
    }
    show(&["pending events", "wheel, ns for taking and adding one", "heap, ns", "ratio"], &rows);
}

/// Nanoseconds for taking the next event and adding one, as a run does, with so many pending.
fn step_ns(queue: &mut dyn EventQueue<Event>, pending: usize, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for i in 0..pending {
        queue.push(delay(&mut rng), [i as u64; 6]);
    }
    let start = Instant::now();
    for _ in 0..STEPS {
        if let Some((time, event)) = queue.pop() {
            queue.push(time + delay(&mut rng), black_box(event));
        }
    }
    start.elapsed().as_nanos() as f64 / f64::from(STEPS)
}

/// A delay as in a run, µs: mostly the network and service times of requests, some of origins, some deadlines.
fn delay(rng: &mut Pcg64Mcg) -> u64 {
    match rng.random_range(0..10) {
        0 => DEADLINE,
        1 | 2 => rng.random_range(10_000..500_000),
        _ => rng.random_range(200..8000),
    }
}
