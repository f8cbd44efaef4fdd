//! The schedule of an observer's health checks.

use crate::Millis;
use crate::rendezvous::keyed_uniform;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;

/// Share of the interval over which the first checks of new members are spread.
const FIRST_CHECK_SPREAD: f64 = 0.5;
/// Share of the interval after which a due check is considered again while the rate is 0.
const ZERO_RATE_RETRY: f64 = 0.25;
/// Intervals without a result after which a check no longer counts as in flight.
const CHECK_TIMEOUT_INTERVALS: f64 = 2.0;
/// Lower bound on the rate from which the interval of first checks is computed, so that it is finite at rate 0.
const MIN_RATE: f64 = 0.01;
/// Jitter factors of the interval between checks of a member; they keep observers from synchronizing. They only ever lengthen
/// the interval, so that no period has more checks than intended.
const CHECK_JITTER: std::ops::Range<f64> = 1.0..1.08;

/// The next and the current check of an observed member.
#[derive(Clone, Copy, Debug)]
struct Check {
    next: Millis,
    in_flight_since: Option<Millis>,
}

/// The health checks that this instance performs, by member.
#[derive(Clone, Debug, Default)]
pub struct HealthCheckSchedule {
    checks: BTreeMap<u32, Check>,
    /// When each member was last checked, including members that have since been reassigned: a member that is reassigned
    /// back and forth is not checked at once on each return.
    last_checks: BTreeMap<u32, Millis>,
}

impl HealthCheckSchedule {
    /// Sets the members to observe, with the name of each. `own` is the name of this instance, `rate` as in
    /// [`Self::start_due`].
    ///
    /// A newly assigned member is first checked within half of the interval that results from the rate, but no sooner than
    /// one such interval after its last check: when a fleet is split and one partition takes over all members, the other
    /// partition, which checks at a reduced rate, must not start with a burst.
    pub fn assign<'a>(
        &mut self,
        now: Millis,
        interval: Millis,
        rate: f64,
        own: &str,
        members: impl Iterator<Item = (u32, &'a str)>,
    ) {
        let gap = interval / rate.clamp(MIN_RATE, 1.0);
        let mut previous = std::mem::take(&mut self.checks);
        for (member, name) in members {
            let new_check = || {
                let soon = now + keyed_uniform(name, own) * gap * FIRST_CHECK_SPREAD;
                let next = self.last_checks.get(&member).map_or(soon, |last| soon.max(last + gap));
                Check { next, in_flight_since: None }
            };
            self.checks.insert(member, previous.remove(&member).unwrap_or_else(new_check));
        }
        self.last_checks.retain(|_, last| now - *last <= 2.0 * gap);
    }

    /// Whether a member is assigned to this instance.
    pub fn is_assigned(&self, member: u32) -> bool {
        self.checks.contains_key(&member)
    }

    /// Number of members that are assigned to this instance.
    pub fn len(&self) -> usize {
        self.checks.len()
    }

    /// The time at which the next check is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.checks.values().map(|check| check.next).min_by(f64::total_cmp)
    }

    /// Starts the checks that are due, and returns their members. `rate`, from 0 to 1, scales the frequency of one check of
    /// each member per `interval`; at rate 0 checks are postponed.
    pub fn start_due(&mut self, now: Millis, interval: Millis, rate: f64, rng: &mut impl Rng) -> Vec<u32> {
        let mut started = Vec::new();
        for (member, check) in &mut self.checks {
            if check.next > now {
                continue;
            }
            if rate <= 0.0 {
                check.next = now + interval * ZERO_RATE_RETRY;
                continue;
            }
            let in_flight =
                check.in_flight_since.is_some_and(|since| now - since < CHECK_TIMEOUT_INTERVALS * interval);
            check.next = now + interval / rate * rng.random_range(CHECK_JITTER);
            if !in_flight {
                check.in_flight_since = Some(now);
                self.last_checks.insert(*member, now);
                started.push(*member);
            }
        }
        started
    }

    /// Records the end of a check; returns whether it was in flight here.
    pub fn finish(&mut self, member: u32) -> bool {
        self.checks.get_mut(&member).is_some_and(|check| check.in_flight_since.take().is_some())
    }

    /// Reschedules all checks to one interval from now; called after a pause of the process, as checks that were due or in
    /// flight date from before it.
    pub fn restart(&mut self, now: Millis, interval: Millis) {
        for check in self.checks.values_mut() {
            *check = Check { next: now + interval, in_flight_since: None };
        }
    }
}
