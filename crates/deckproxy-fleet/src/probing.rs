//! When an observer probes its members.

use crate::Millis;
use crate::rendezvous::spread;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;

/// A member that is observed.
#[derive(Clone, Copy, Debug)]
struct Duty {
    next: Millis,
    /// Out since then.
    out: Option<Millis>,
}

/// The members that this instance observes, by number.
#[derive(Clone, Debug, Default)]
pub struct Probing {
    duties: BTreeMap<u32, Duty>,
    /// When each was probed last, also where that is not our duty any more: one that is handed to and fro is not probed
    /// each time that it comes back.
    last: BTreeMap<u32, Millis>,
}

impl Probing {
    /// The members observed from now on, with the name of each. What is new is probed within half of the interval that the
    /// rate gives, and no sooner after the last time than that: a part that does its share alone must not begin it with a
    /// burst at the moment when the other part takes over.
    pub fn observe<'a>(
        &mut self,
        now: Millis,
        interval: Millis,
        rate: f64,
        own: &str,
        members: impl Iterator<Item = (u32, &'a str)>,
    ) {
        let gap = interval / rate.clamp(0.01, 1.0);
        let mut old = std::mem::take(&mut self.duties);
        for (member, name) in members {
            let fresh = || {
                let soon = now + spread(name, own) * gap * 0.5;
                let next = self.last.get(&member).map_or(soon, |last| soon.max(last + gap));
                Duty { next, out: None }
            };
            self.duties.insert(member, old.remove(&member).unwrap_or_else(fresh));
        }
        self.last.retain(|_, last| now - *last <= 2.0 * gap);
    }

    /// Whether a member is observed.
    pub fn has(&self, member: u32) -> bool {
        self.duties.contains_key(&member)
    }

    /// How many are.
    pub fn len(&self) -> usize {
        self.duties.len()
    }

    /// When the next probe is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.duties.values().map(|duty| duty.next).min_by(f64::total_cmp)
    }

    /// The members to be probed now, at a rate of 0 to 1 of one each `interval`. Those due at rate 0 wait.
    pub fn due(&mut self, now: Millis, interval: Millis, rate: f64, rng: &mut impl Rng) -> Vec<u32> {
        let mut due = Vec::new();
        for (member, duty) in &mut self.duties {
            if duty.next > now {
                continue;
            }
            if rate <= 0.0 {
                duty.next = now + interval * 0.25;
                continue;
            }
            // A probe that is out is not joined by another; it ends by a time-out of its own.
            let out = duty.out.is_some_and(|since| now - since < 2.0 * interval);
            // A little later each time, so that observers do not fall into step; never sooner, so that no span has more
            // probes than are meant.
            duty.next = now + interval / rate * rng.random_range(1.0..1.08);
            if !out {
                duty.out = Some(now);
                self.last.insert(*member, now);
                due.push(*member);
            }
        }
        due
    }

    /// A probe ended. Tells whether it was one of ours.
    pub fn ended(&mut self, member: u32) -> bool {
        self.duties.get_mut(&member).is_some_and(|duty| duty.out.take().is_some())
    }

    /// All that is out, and all that is due, is from before a pause: nothing of it counts.
    pub fn slept(&mut self, now: Millis, interval: Millis) {
        for duty in self.duties.values_mut() {
            *duty = Duty { next: now + interval, out: None };
        }
    }
}
