//! What is judged of a simulated fleet.

use super::{SimulatedFleet, name};
use crate::intervals::longest_gap;
use deckproxy_fleet::Millis;
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::liveness::PeerStatus;
use std::collections::BTreeSet;

/// Health checks of a member that are intended, a second: one of each of two observers.
const INTENDED_CHECKS_PER_SECOND: f64 = 2.0;

/// The most health checks of one member in a span.
#[derive(Clone, Debug, Default)]
pub struct Peak {
    /// Their number beside what is intended.
    pub ratio: f64,
    /// The checks: when, and by which instance.
    pub checks: Vec<(Millis, usize)>,
}

impl SimulatedFleet {
    /// Whether all instances that run hear each other, and no other.
    pub fn hears_all(&self) -> bool {
        let running: BTreeSet<Name> = self.running().into_iter().map(name).collect();
        self.running().into_iter().all(|i| {
            let alive = self.fleet(i).instances_with(PeerStatus::Alive);
            let mut heard: BTreeSet<Name> = alive.map(|instance| instance.name.clone()).collect();
            heard.insert(name(i));
            heard == running
        })
    }

    /// Whether the gossip stores of all instances that run hold the same.
    pub fn has_same_stores(&self) -> bool {
        let running = self.running().into_iter();
        let checksums: BTreeSet<u64> =
            running.map(|i| self.fleet(i).store().checksum(self.now, &[0])).collect();
        checksums.len() <= 1
    }

    /// The most health checks of one member in any span of a length, from a time on.
    pub fn check_peak(&self, from: Millis, span: Millis) -> Peak {
        let mut most = Vec::new();
        for member in &self.members {
            let checks = self.health_checks.iter().filter(|c| c.member == member.id && c.at >= from);
            let checks: Vec<(Millis, usize)> = checks.map(|check| (check.at, check.instance)).collect();
            for (i, (at, _)) in checks.iter().enumerate() {
                let count = checks[i..].iter().take_while(|(time, _)| *time < at + span).count();
                if count > most.len() {
                    most = checks[i..i + count].to_vec();
                }
            }
        }
        let intended = INTENDED_CHECKS_PER_SECOND * span / 1000.0;
        Peak { ratio: most.len() as f64 / intended, checks: most }
    }

    /// Their number beside what is intended.
    pub fn peak_check_ratio(&self, from: Millis, span: Millis) -> f64 {
        self.check_peak(from, span).ratio
    }

    /// Health checks of all members in a span beside what is intended.
    pub fn check_ratio(&self, from: Millis, to: Millis) -> f64 {
        let checks = self.health_checks.iter().filter(|check| check.at >= from && check.at < to).count();
        checks as f64 / (self.members.len() as f64 * INTENDED_CHECKS_PER_SECOND * (to - from) / 1000.0)
    }

    /// The longest time in a span for which a member was not checked by anybody, ms.
    pub fn longest_unchecked(&self, from: Millis, to: Millis) -> Millis {
        let gaps = self.members.iter().map(|member| {
            let checks = self.health_checks.iter().filter(|check| check.member == member.id);
            let times: Vec<Millis> = checks.map(|check| check.at).collect();
            longest_gap(&times, from, to)
        });
        gaps.fold(0.0, f64::max)
    }
}
