//! The admission decision for a request.

use super::Overload;
use super::priority::{Draw, priority};
use super::rejected_requests::Rejection;
use super::shed_level::ResourceShedLevel;
use super::summary::{Resource, increment};
use super::types::{RequestInfo, Ticket, Verdict};
use crate::Millis;

/// Shortest reserved retry-after time, in milliseconds, so that the reservation reaches all instances before the retry.
const MIN_RESERVED_RETRY_AFTER: Millis = 400.0;
/// Span over which reserved times are spread, in milliseconds; the capacity after it cannot be predicted.
const RESERVATION_SPAN: Millis = 800.0;
/// Time that a client must have left when it retries, in milliseconds; with less it could not be served in time.
const MIN_SERVICE_TIME: Millis = 200.0;
/// A retry that arrives early by less than this, in milliseconds, is accepted: the age of a batch does not include its
/// transmission time.
const EARLY_TOLERANCE: Millis = 100.0;
/// A reservation expires this long after the reserved time, in milliseconds.
pub(super) const RESERVATION_GRACE: Millis = 1000.0;
/// Size in KB of a response of the usual cost. It is the same on all instances, so that priorities are the same too.
const USUAL_SIZE_KB: f64 = 16.0;

impl Overload {
    /// Decides whether to admit a request. Requests of an unknown class are admitted.
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
            // Retrying early neither helps nor harms the client: its retry-after time is unchanged.
            self.counters.too_early += 1;
            return Verdict::Reject { retry_after: early_by };
        }
        let has_reservation =
            |rejection: Rejection| rejection.is_reserved && now - rejection.retry_at <= RESERVATION_GRACE;
        if rejection.is_some_and(has_reservation) {
            return self.request_with_reservation(now, request, resource);
        }
        // A client that moves to another instance at once arrives there before the batch with its rejection. Its own retry
        // mark is trusted, as a client gains nothing by setting it.
        let is_retry = rejection.is_some() || request.is_retry;
        self.request_by_priority(now, request, resource, class.band, is_retry)
    }

    fn request_with_reservation(&mut self, now: Millis, request: RequestInfo, resource: Resource) -> Verdict {
        // A reservation made while no load was shed was charged to the retry budget at that time.
        let is_shedding = self.resource_level(resource).is_some();
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
        let resource_level = self.resource_level(resource);
        let priority = self.priority_of(&request, band);
        let tally = self.request_counter.tally(resource);
        if is_retry {
            // Its first attempt was counted as an arrival already.
            increment(&mut tally.retries);
        } else {
            tally.count_arrival(priority);
        }
        if resource_level.is_some_and(|level| priority < level.min_priority) {
            self.counters.below_level += 1;
            return self.reject(now, &request, resource_level);
        }
        if is_retry && !self.charge_retry(now, resource) {
            self.counters.no_budget += 1;
            return self.reject(now, &request, None);
        }
        if is_retry {
            return self.admit_retry(now, request, resource);
        }
        increment(&mut self.request_counter.tally(resource).admitted_firsts);
        self.admit(now, request, resource, false)
    }

    /// The shed level in force at a resource; `None` if no load is shed there.
    pub(super) fn resource_level(&self, resource: Resource) -> Option<ResourceShedLevel> {
        self.level.resources[resource as usize]
    }

    fn priority_of(&self, request: &RequestInfo, band: usize) -> u32 {
        let draw = self.draw_key.draw(Draw::Priority, request.client, 0, self.level.epoch);
        let cost = request.size_kb.map_or(1.0, |kb| (kb / USUAL_SIZE_KB).max(0.0).sqrt().sqrt());
        priority(band, self.bands, cost, draw)
    }

    /// Charges a retry to this instance's share of the fleet's retries while load is shed, and otherwise to its own retry
    /// budget. Returns whether the retry may be admitted.
    fn charge_retry(&mut self, now: Millis, resource: Resource) -> bool {
        match self.resource_level(resource) {
            Some(_) => self.retry_tokens[resource as usize].try_take(now, false),
            None => self.retry_budget.spend(),
        }
    }

    fn admit_retry(&mut self, now: Millis, request: RequestInfo, resource: Resource) -> Verdict {
        increment(&mut self.request_counter.tally(resource).admitted_retries);
        self.admit(now, request, resource, true)
    }

    fn admit(&mut self, now: Millis, request: RequestInfo, resource: Resource, is_retry: bool) -> Verdict {
        increment(&mut self.request_counter.tally(resource).admitted);
        self.counters.admitted += 1;
        Verdict::Admit(Ticket { request, resource, admitted_at: now, is_retry })
    }

    /// The retry-after time that can be reserved for a client, in milliseconds from now. All instances compute the same
    /// time. `None` if that is too late for the client.
    pub(super) fn reservable_time(&self, now: Millis, request: &RequestInfo) -> Option<Millis> {
        let max_retry_after = self.settings.max_retry_after;
        let min_retry_after = MIN_RESERVED_RETRY_AFTER
            .min(max_retry_after / 2.0)
            .max(self.settings.min_retry_after.min(max_retry_after));
        let span = (max_retry_after - min_retry_after).clamp(1.0, RESERVATION_SPAN);
        let draw = self.draw_key.draw(Draw::RetryAfter, request.client, request.object, self.level.epoch);
        let after =
            min_retry_after + (self.epoch_started_at + draw * span - now - min_retry_after).rem_euclid(span);
        (after + MIN_SERVICE_TIME <= request.time_left).then_some(after)
    }

    /// Rejects a request. With a shed level, a draw decides whether the client gets a reserved retry-after time.
    pub(super) fn reject(
        &mut self,
        now: Millis,
        request: &RequestInfo,
        resource_level: Option<ResourceShedLevel>,
    ) -> Verdict {
        Verdict::Reject { retry_after: self.retry_after(now, request, resource_level) }
    }

    /// Records the rejection of a request and returns its retry-after time in milliseconds; 0 if none is sent.
    pub(super) fn retry_after(
        &mut self,
        now: Millis,
        request: &RequestInfo,
        resource_level: Option<ResourceShedLevel>,
    ) -> Millis {
        let epoch = self.level.epoch;
        let draw = self.draw_key.draw(Draw::Reservation, request.client, request.object, epoch);
        let is_drawn =
            resource_level.is_some_and(|level| draw * f64::from(u16::MAX) < f64::from(level.reserved_share));
        let reserved = if is_drawn { self.reservable_time(now, request) } else { None };
        self.record_rejection(now, request, reserved)
    }

    /// Records a rejection with the reserved time, or with the longest retry-after time if none is reserved. Returns the
    /// retry-after time to send in milliseconds; 0 if none is sent.
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
