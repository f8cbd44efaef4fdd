//! Plans drawn from a seed.

use crate::plan::{Fault, Plan, Trouble, What};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seconds before the first fault, in which instances meet, and after each, in which boards become the same again.
pub const FIRST: f64 = 4.5;
/// See `FIRST`.
pub const REST: f64 = 3.5;
/// The shortest run in which an instance is killed, one paused, one restarted, and the fleet split and muted.
pub const SHORTEST: u64 = 36;

/// Each of the faults that part instances, once at least, one after another: kill, pause, restart, split, mute.
pub fn partings(seed: u64, seconds: f64, instances: usize) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0xf1ee);
    let mut faults = Vec::new();
    let mut at = FIRST;
    let mut kinds = [0, 1, 2, 3, 4];
    kinds.shuffle(&mut rng);
    for turn in 0.. {
        let kind = kinds[turn % kinds.len()];
        let one = rng.random_range(0..instances);
        let mut all: Vec<usize> = (0..instances).collect();
        all.shuffle(&mut rng);
        // The smaller part: two of five.
        let part = all[..(instances - 1) / 2].to_vec();
        let what = match kind {
            0 => What::Kill(one),
            1 => What::Pause(one),
            2 => What::Restart(one),
            3 => What::Split(part),
            _ => What::Mute(part),
        };
        // A planned end takes what it takes; the others last long enough to be found out.
        let lasts = if kind == 2 { 0.5 } else { rng.random_range(2.2..3.0) };
        let rest = if kind == 2 { REST + 1.0 } else { REST };
        if at + lasts + rest > seconds {
            break;
        }
        faults.push(Fault { at: round(at), lasts: round(lasts), what });
        at += lasts + rest;
    }
    faults
}

/// Any faults, also several at a time.
pub fn any(seed: u64, plan: &Plan) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xa11);
    let mut faults = Vec::new();
    let mut at = FIRST;
    loop {
        let lasts = rng.random_range(0.5..3.5);
        if at + lasts + REST > plan.seconds {
            return faults;
        }
        let one = rng.random_range(0..plan.instances);
        let cache = rng.random_range(0..plan.zones * plan.caches);
        let mut all: Vec<usize> = (0..plan.instances).collect();
        all.shuffle(&mut rng);
        let part = all[..rng.random_range(1..plan.instances.max(2))].to_vec();
        let parts = plan.instances > 1;
        let what = match rng.random_range(0..10) {
            0 => What::Kill(one),
            1 => What::Pause(one),
            2 => What::Restart(one),
            3 if parts => What::Split(part),
            4 if parts => What::Mute(part),
            5 => What::Datagrams(rng.random_range(0.0..0.3), 0.1, rng.random_range(0..80)),
            6 => What::Cache(cache, Trouble::Crashes),
            7 => What::Cache(cache, Trouble::Hangs),
            8 => What::Feed(vec![one], if rng.random_bool(0.5) { 0 } else { 1500 }),
            _ => What::Cache(cache, Trouble::Slow(300)),
        };
        faults.push(Fault { at: round(at), lasts: round(lasts), what });
        at += rng.random_range(0.5..4.0);
    }
}

fn round(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}
