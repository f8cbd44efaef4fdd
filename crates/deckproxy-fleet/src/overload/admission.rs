//! The decision on a request.

use super::Overload;
use super::priority::{Draw, priority};
use super::rejected_requests::Rejection;
use super::shed_level::ResourceShedLevel;
use super::summary::{Resource, increment};
use super::types::{RequestInfo, Ticket, Verdict};
use crate::Millis;

/// A reserved time is at least this far off, in milliseconds, so that all instances know it by then.
const SHARED_AFTER: Millis = 400.0;
/// Times are reserved over this span, in milliseconds: the capacity later on is unknown.
const RESERVED_AHEAD: Millis = 800.0;
/// Time that a client must have left when it retries, in milliseconds, or it cannot be served any more.
const SERVING_TIME: Millis = 200.0;
/// A client that comes this little too early is in time, in milliseconds: the age of a batch does not include the time that
/// it was on its way.
const EARLY_TOLERANCE: Millis = 100.0;
/// A client that comes this much after its reserved time has lost it, in milliseconds.
pub(super) const LATE_TOLERANCE: Millis = 1000.0;
/// Size in KB of an answer of the usual cost; the same on all instances, so that priorities are.
const USUAL_SIZE: f64 = 16.0;

impl Overload {
    /// Decides on a request. Classes that are not known are admitted.
    pub fn request(&mut self, now: Millis, request: RequestInfo) -> Verdict {
        let Some(class) = self.settings.classes.get(request.class).copied() else {
            return self.admit(now, request, Resource::Caches, request.is_retry);
        };
        let is_cached = !class.has_effect && self.recently_cached.contains(request.object);
        let resource = if is_cached { Resource::Caches } else { Resource::Sources };
        let rejection = self.rejected.get(self.draw_key.request_id(request.client, request.object));
        if rejection.is_some_and(|rejection| rejection.may_have_run && class.has_effect) {
            return self.admit(now, request, resource, true);
        }
        let early_by = rejection.map_or(0.0, |rejection| rejection.retry_at - now);
        let is_early = (EARLY_TOLERANCE..=self.settings.max_retry_after).contains(&early_by);
        if self.settings.sends_retry_after && is_early {
            // Retrying early neither gains nor loses anything: the time stays as it was.
            self.counters.too_early += 1;
            return Verdict::Reject { retry_after: early_by };
        }
        let has_reservation =
            |rejection: Rejection| rejection.is_reserved && now - rejection.retry_at <= LATE_TOLERANCE;
        if rejection.is_some_and(has_reservation) {
            return self.request_with_reservation(now, request, resource);
        }
        // A client that moves to another instance at once is there before the batch with its rejection is; its own mark is
        // believed, as it gains nothing by it.
        let is_retry = rejection.is_some() || request.is_retry;
        self.request_by_priority(now, request, resource, class.band, is_retry)
    }

    fn request_with_reservation(&mut self, now: Millis, request: RequestInfo, resource: Resource) -> Verdict {
        // Where no load is shed, the retry budget was charged when the time was reserved.
        let is_shedding = self.line(resource).is_some();
        if !is_shedding || self.retry_tokens[resource as usize].try_take(now, true) {
            self.counters.reservations_kept += 1;
            return self.admit_retry(now, request, resource);
        }
        self.counters.reservations_broken += 1;
        self.reject(now, &request, None)
    }

    fn request_by_priority(
        &mut self,
        now: Millis,
        request: RequestInfo,
        resource: Resource,
        band: usize,
        is_retry: bool,
    ) -> Verdict {
        let line = self.line(resource);
        let priority = self.priority_of(&request, band);
        let tally = self.counter.tally(resource);
        if is_retry {
            // It was counted as an arrival when it was a first attempt.
            increment(&mut tally.retries);
        } else {
            tally.count_arrival(priority);
        }
        if line.is_some_and(|line| priority < line.min_priority) {
            self.counters.below_level += 1;
            return self.reject(now, &request, line);
        }
        if is_retry && !self.take_retry(now, resource) {
            self.counters.no_budget += 1;
            return self.reject(now, &request, None);
        }
        if is_retry {
            return self.admit_retry(now, request, resource);
        }
        increment(&mut self.counter.tally(resource).admitted_firsts);
        self.admit(now, request, resource, false)
    }

    /// The load shedding in force at a resource.
    pub(super) fn line(&self, resource: Resource) -> Option<ResourceShedLevel> {
        self.level.resources[resource as usize]
    }

    fn priority_of(&self, request: &RequestInfo, band: usize) -> u32 {
        let draw = self.draw_key.draw(Draw::Priority, request.client, 0, self.level.epoch);
        let cost = request.size_kb.map_or(1.0, |kb| (kb / USUAL_SIZE).max(0.0).sqrt().sqrt());
        priority(band, self.bands, cost, draw)
    }

    /// Takes a retry from the fleet's budget while load is shed, and else from the own one.
    fn take_retry(&mut self, now: Millis, resource: Resource) -> bool {
        match self.line(resource) {
            Some(_) => self.retry_tokens[resource as usize].try_take(now, false),
            None => self.retry_budget.spend(),
        }
    }

    fn admit_retry(&mut self, now: Millis, request: RequestInfo, resource: Resource) -> Verdict {
        increment(&mut self.counter.tally(resource).admitted_retries);
        self.admit(now, request, resource, true)
    }

    fn admit(&mut self, now: Millis, request: RequestInfo, resource: Resource, is_retry: bool) -> Verdict {
        increment(&mut self.counter.tally(resource).admitted);
        self.counters.admitted += 1;
        Verdict::Admit(Ticket { request, resource, admitted_at: now, is_retry })
    }

    /// The time at which the fleet would have a client retry, on whichever instance, in milliseconds from now; `None` where
    /// that is too late for the client.
    pub(super) fn reservable_time(&self, now: Millis, request: &RequestInfo) -> Option<Millis> {
        let longest = self.settings.max_retry_after;
        let shortest = SHARED_AFTER.min(longest / 2.0).max(self.settings.min_retry_after.min(longest));
        let span = (longest - shortest).clamp(1.0, RESERVED_AHEAD);
        let draw = self.draw_key.draw(Draw::RetryAfter, request.client, request.object, self.level.epoch);
        let after = shortest + (self.epoch_began + draw * span - now - shortest).rem_euclid(span);
        (after + SERVING_TIME <= request.time_left).then_some(after)
    }

    /// Rejects a request; by a line, the draw decides whether it gets a reserved time.
    pub(super) fn reject(
        &mut self,
        now: Millis,
        request: &RequestInfo,
        line: Option<ResourceShedLevel>,
    ) -> Verdict {
        Verdict::Reject { retry_after: self.retry_after(now, request, line) }
    }

    /// The retry-after time of a rejected request, in milliseconds; 0: none is given.
    pub(super) fn retry_after(
        &mut self,
        now: Millis,
        request: &RequestInfo,
        line: Option<ResourceShedLevel>,
    ) -> Millis {
        let epoch = self.level.epoch;
        let draw = self.draw_key.draw(Draw::Reservation, request.client, request.object, epoch);
        let is_drawn = line.is_some_and(|line| draw * f64::from(u16::MAX) < f64::from(line.reserved_share));
        let reserved = if is_drawn { self.reservable_time(now, request) } else { None };
        self.record_rejection(now, request, reserved)
    }

    /// Remembers a rejection with a reserved time, or the longest time without a reservation.
    pub(super) fn record_rejection(
        &mut self,
        now: Millis,
        request: &RequestInfo,
        reserved: Option<Millis>,
    ) -> Millis {
        self.counters.reservations += u64::from(reserved.is_some());
        let retry_after = reserved.unwrap_or(self.settings.max_retry_after);
        let id = self.draw_key.request_id(request.client, request.object);
        let is_reserved = reserved.is_some();
        let rejection = Rejection { retry_at: now + retry_after, is_reserved, may_have_run: false };
        self.rejected.record(now, id, rejection);
        if self.settings.sends_retry_after { retry_after } else { 0.0 }
    }
}
