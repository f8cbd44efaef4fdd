//! Plans drawn from a seed: the same seed gives the same faults.

use super::{CacheFault, Fault, FaultKind, Plan};
use crate::relay::DatagramFaults;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seconds before the first fault, in which the instances meet.
pub const SETTLE_SECONDS: f64 = 4.5;
/// Seconds after a fault, in which the instances' boards converge again.
pub const CONVERGENCE_SECONDS: f64 = 3.5;
/// Seconds that a graceful restart is given beyond that.
const RESTART_SECONDS: f64 = 1.0;
/// The shortest run, s, in which [`membership_faults`] holds each of its kinds once.
pub const LEAST_MEMBERSHIP_SECONDS: u64 = 36;

/// The kinds of [`membership_faults`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum MembershipFault {
    Kill,
    Pause,
    Restart,
    Split,
    Mute,
}

/// Faults that take instances from the fleet, one after another, each kind in turn: kill, pause, restart, split, mute.
///
/// A run of [`LEAST_MEMBERSHIP_SECONDS`] holds each once. A split or mute takes less than half of the instances.
pub fn membership_faults(seed: u64, seconds: f64, instances: usize) -> Vec<Fault> {
    use MembershipFault::{Kill, Mute, Pause, Restart, Split};
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0xf1ee);
    let mut faults = Vec::new();
    let mut at = SETTLE_SECONDS;
    let mut kinds = [Kill, Pause, Restart, Split, Mute];
    kinds.shuffle(&mut rng);
    for turn in 0.. {
        let chosen = kinds[turn % kinds.len()];
        let instance = rng.random_range(0..instances);
        let shuffled = shuffled(instances, &mut rng);
        let minority = shuffled[..(instances - 1) / 2].to_vec();
        let kind = match chosen {
            Kill => FaultKind::Kill(instance),
            Pause => FaultKind::Pause(instance),
            Restart => FaultKind::Restart(instance),
            Split => FaultKind::Split(minority),
            Mute => FaultKind::Mute(minority),
        };
        // A graceful restart takes what it takes; the other faults last long enough to be detected.
        let (duration, pause) = match chosen {
            Restart => (0.5, CONVERGENCE_SECONDS + RESTART_SECONDS),
            _ => (rng.random_range(2.2..3.0), CONVERGENCE_SECONDS),
        };
        if at + duration + pause > seconds {
            break;
        }
        faults.push(Fault { at: round(at), duration: round(duration), kind });
        at += duration + pause;
    }
    faults
}

/// Faults of most kinds for a plan, some of them at the same time.
pub fn random_faults(seed: u64, plan: &Plan) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xa11);
    let mut faults = Vec::new();
    let mut at = SETTLE_SECONDS;
    loop {
        let duration = rng.random_range(0.5..3.5);
        if at + duration + CONVERGENCE_SECONDS > plan.seconds {
            return faults;
        }
        let kind = random_kind(plan, &mut rng);
        faults.push(Fault { at: round(at), duration: round(duration), kind });
        at += rng.random_range(0.5..4.0);
    }
}

fn random_kind(plan: &Plan, rng: &mut Pcg64Mcg) -> FaultKind {
    let instance = rng.random_range(0..plan.instances);
    let cache = rng.random_range(0..plan.zones * plan.caches);
    let shuffled = shuffled(plan.instances, rng);
    let part = shuffled[..rng.random_range(1..plan.instances.max(2))].to_vec();
    let can_split = plan.instances > 1;
    match rng.random_range(0..10) {
        0 => FaultKind::Kill(instance),
        1 => FaultKind::Pause(instance),
        2 => FaultKind::Restart(instance),
        3 if can_split => FaultKind::Split(part),
        4 if can_split => FaultKind::Mute(part),
        5 => FaultKind::Datagrams(DatagramFaults {
            lost_share: rng.random_range(0.0..0.3),
            duplicated_share: 0.1,
            max_delay_ms: rng.random_range(0..80),
        }),
        6 => FaultKind::Cache(cache, CacheFault::Crashes),
        7 => FaultKind::Cache(cache, CacheFault::Hangs),
        8 => {
            let delay_ms = if rng.random_bool(0.5) { 0 } else { 1500 };
            FaultKind::Feed { instances: vec![instance], delay_ms }
        }
        _ => FaultKind::Cache(cache, CacheFault::Slow(300)),
    }
}

fn shuffled(instances: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let mut all: Vec<usize> = (0..instances).collect();
    all.shuffle(rng);
    all
}

/// To two decimals, as plans are written.
fn round(seconds: f64) -> f64 {
    (seconds * 100.0).round() / 100.0
}
