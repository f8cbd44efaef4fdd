//! When an observer checks the health of its members.

use crate::Millis;
use crate::rendezvous::keyed_uniform;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;

/// Of the interval, the part over which the first checks of new members are spread.
const FIRST_WITHIN: f64 = 0.5;
/// Of the interval, the part after which a member is looked at again while no checks are made.
const IDLE_RETRY: f64 = 0.25;
/// A check is given up after so many intervals without a result.
const ABANDONED_AFTER: f64 = 2.0;
/// Lowest rate that intervals are computed for.
const LEAST_RATE: f64 = 0.01;

/// A member that is observed.
#[derive(Clone, Copy, Debug)]
struct Check {
    next: Millis,
    in_flight_since: Option<Millis>,
}

/// The health checks that this instance makes, by member.
#[derive(Clone, Debug, Default)]
pub struct HealthCheckSchedule {
    checks: BTreeMap<u32, Check>,
    /// When each member was last checked, including those that others observe by now: one that is handed to and fro is not
    /// checked each time that it returns.
    last: BTreeMap<u32, Millis>,
}

impl HealthCheckSchedule {
    /// Sets the members to observe, with the name of each. A new one is checked within half of the interval that the rate
    /// gives, and no sooner than an interval after its last check: a part of a split that checks at its own share must not
    /// begin with a burst when the other part takes over.
    pub fn assign<'a>(
        &mut self,
        now: Millis,
        interval: Millis,
        rate: f64,
        own: &str,
        members: impl Iterator<Item = (u32, &'a str)>,
    ) {
        let gap = interval / rate.clamp(LEAST_RATE, 1.0);
        let mut previous = std::mem::take(&mut self.checks);
        for (member, name) in members {
            let first = || {
                let soon = now + keyed_uniform(name, own) * gap * FIRST_WITHIN;
                let next = self.last.get(&member).map_or(soon, |last| soon.max(last + gap));
                Check { next, in_flight_since: None }
            };
            self.checks.insert(member, previous.remove(&member).unwrap_or_else(first));
        }
        self.last.retain(|_, last| now - *last <= 2.0 * gap);
    }

    /// Whether a member is observed.
    pub fn is_assigned(&self, member: u32) -> bool {
        self.checks.contains_key(&member)
    }

    /// How many members are observed.
    pub fn len(&self) -> usize {
        self.checks.len()
    }

    /// When the next check is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.checks.values().map(|check| check.next).min_by(f64::total_cmp)
    }

    /// Starts the checks that are due, and returns their members. `rate`: 0 to 1 of one check of each member every
    /// `interval`; at rate 0 checks wait.
    pub fn start_due(&mut self, now: Millis, interval: Millis, rate: f64, rng: &mut impl Rng) -> Vec<u32> {
        let mut started = Vec::new();
        for (member, check) in &mut self.checks {
            if check.next > now {
                continue;
            }
            if rate <= 0.0 {
                check.next = now + interval * IDLE_RETRY;
                continue;
            }
            let in_flight =
                check.in_flight_since.is_some_and(|since| now - since < ABANDONED_AFTER * interval);
            // A little later each time, so that observers do not fall into step; never sooner, so that no span has more
            // checks than intended.
            check.next = now + interval / rate * rng.random_range(1.0..1.08);
            if !in_flight {
                check.in_flight_since = Some(now);
                self.last.insert(*member, now);
                started.push(*member);
            }
        }
        started
    }

    /// A check ended. Returns whether it was in flight here.
    pub fn finish(&mut self, member: u32) -> bool {
        self.checks.get_mut(&member).is_some_and(|check| check.in_flight_since.take().is_some())
    }

    /// The process was paused: checks in flight or due are from before that, and are made anew after an interval.
    pub fn restart(&mut self, now: Millis, interval: Millis) {
        for check in self.checks.values_mut() {
            *check = Check { next: now + interval, in_flight_since: None };
        }
    }
}
