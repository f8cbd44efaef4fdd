//! The schedule of an observer's health checks.

use crate::Millis;
use crate::rendezvous::keyed_uniform;
use rand::{Rng, RngExt};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

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

/// A member and a time, ordered by the time.
#[derive(Clone, Copy, Debug)]
struct TimedMember {
    at: Millis,
    member: u32,
}

impl Ord for TimedMember {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.member.cmp(&other.member))
    }
}

impl PartialOrd for TimedMember {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TimedMember {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TimedMember {}

/// When a new assignment is made, and by whom.
#[derive(Clone, Copy, Debug)]
pub struct Assignment<'a> {
    /// The current time.
    pub now: Millis,
    /// Interval between checks of a member at rate 1.
    pub interval: Millis,
    /// The rate, as in [`HealthCheckSchedule::start_due`].
    pub rate: f64,
    /// The name of this instance.
    pub own: &'a str,
}

impl Assignment<'_> {
    /// Time between checks of a member at the current rate.
    fn gap(&self) -> Millis {
        self.interval / self.rate.clamp(MIN_RATE, 1.0)
    }
}

/// The health checks that this instance performs, by member.
#[derive(Clone, Debug, Default)]
pub struct HealthCheckSchedule {
    checks: BTreeMap<u32, Check>,
    /// The next checks.
    due: BTreeSet<TimedMember>,
    /// When each member was last checked, including members that have since been reassigned: a member that is reassigned
    /// back and forth is not checked at once on each return.
    last_checks: BTreeMap<u32, Millis>,
    /// The same by time, for the removal of old ones.
    last_checks_by_time: BTreeSet<TimedMember>,
}

impl HealthCheckSchedule {
    /// Sets the members to observe, with the name of each.
    ///
    /// A newly assigned member is first checked within half of the interval that results from the rate, but no sooner than
    /// one such interval after its last check: when a fleet is split and one partition takes over all members, the other
    /// partition, which checks at a reduced rate, must not start with a burst.
    pub fn assign<'a>(&mut self, assignment: &Assignment<'_>, members: impl Iterator<Item = (u32, &'a str)>) {
        self.due.clear();
        let mut previous = std::mem::take(&mut self.checks);
        for (member, name) in members {
            let check =
                previous.remove(&member).unwrap_or_else(|| self.first_check(assignment, member, name));
            self.set_check(member, check);
        }
        self.forget_old_checks(assignment);
    }

    /// Adds a member to observe, unless it is observed already.
    pub fn add(&mut self, assignment: &Assignment<'_>, member: u32, name: &str) {
        if !self.is_assigned(member) {
            let check = self.first_check(assignment, member, name);
            self.set_check(member, check);
        }
        self.forget_old_checks(assignment);
    }

    /// Removes a member, which is no longer observed.
    pub fn remove(&mut self, member: u32) {
        if let Some(check) = self.checks.remove(&member) {
            self.due.remove(&TimedMember { at: check.next, member });
        }
    }

    fn first_check(&self, assignment: &Assignment<'_>, member: u32, name: &str) -> Check {
        let gap = assignment.gap();
        let soon = assignment.now + keyed_uniform(name, assignment.own) * gap * FIRST_CHECK_SPREAD;
        let next = self.last_checks.get(&member).map_or(soon, |last| soon.max(last + gap));
        Check { next, in_flight_since: None }
    }

    fn set_check(&mut self, member: u32, check: Check) {
        self.remove(member);
        self.checks.insert(member, check);
        self.due.insert(TimedMember { at: check.next, member });
    }

    fn record_last_check(&mut self, member: u32, at: Millis) {
        if let Some(previous) = self.last_checks.insert(member, at) {
            self.last_checks_by_time.remove(&TimedMember { at: previous, member });
        }
        self.last_checks_by_time.insert(TimedMember { at, member });
    }

    fn forget_old_checks(&mut self, assignment: &Assignment<'_>) {
        while let Some(oldest) = self.last_checks_by_time.first().copied() {
            if assignment.now - oldest.at <= 2.0 * assignment.gap() {
                return;
            }
            self.last_checks_by_time.pop_first();
            self.last_checks.remove(&oldest.member);
        }
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
        self.due.first().map(|due| due.at)
    }

    /// Starts the checks that are due, and returns their members. `rate`, from 0 to 1, scales the frequency of one check of
    /// each member per `interval`; at rate 0 checks are postponed.
    pub fn start_due(&mut self, now: Millis, interval: Millis, rate: f64, rng: &mut impl Rng) -> Vec<u32> {
        let mut started = Vec::new();
        for (member, check) in self.checks_due(now) {
            if rate <= 0.0 {
                let next = now + interval * ZERO_RATE_RETRY;
                self.set_check(member, Check { next, ..check });
                continue;
            }
            let in_flight =
                check.in_flight_since.filter(|since| now - since < CHECK_TIMEOUT_INTERVALS * interval);
            let next = now + interval / rate * rng.random_range(CHECK_JITTER);
            if in_flight.is_none() {
                self.record_last_check(member, now);
                started.push(member);
            }
            self.set_check(member, Check { next, in_flight_since: in_flight.or(Some(now)) });
        }
        started
    }

    /// The checks that are due, by member.
    fn checks_due(&self, now: Millis) -> BTreeMap<u32, Check> {
        let due = self.due.iter().take_while(|due| due.at <= now);
        due.map(|due| (due.member, self.checks[&due.member])).collect()
    }

    /// Records the end of a check; returns whether it was in flight here.
    pub fn finish(&mut self, member: u32) -> bool {
        self.checks.get_mut(&member).is_some_and(|check| check.in_flight_since.take().is_some())
    }

    /// Reschedules all checks to one interval from now; called after a pause of the process, as checks that were due or in
    /// flight date from before it.
    pub fn restart(&mut self, now: Millis, interval: Millis) {
        let members: Vec<u32> = self.checks.keys().copied().collect();
        for member in members {
            self.set_check(member, Check { next: now + interval, in_flight_since: None });
        }
    }
}
