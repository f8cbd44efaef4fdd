//! Periodic tasks: late attempts, silent members, and waiters whose wait has ended.

use super::Control;
use super::collapsing::FillKey;
use super::member_state::MemberState;
use super::request_state::{Attempt, AttemptKind, AttemptPlan, PendingRequest};
use super::sending_times::fill_time;
use super::tuning::{
    LATE_INFLATION, OBJECT_IDLE_TIME, OBJECTS_MAX, ORIGIN_LATENCY_TIME_CONSTANT, ROUTER_STALL_TIME,
    SILENT_TIME, SLOW_SOURCE_INFLATION, TIMER_PERIOD, WAITER_TIMEOUT,
};
use super::{PERIODIC_TIMER, TimerState};
use crate::interface::{Action, MemberId, Millis, RequestId};

/// Attempts that became late since the previous run of the timer.
#[derive(Default)]
struct LateAttempts {
    all: Vec<Attempt>,
    /// Those that may be hedged.
    hedgeable: Vec<AttemptPlan>,
}

impl Control {
    /// Sets the timer if requests are pending and it is not set yet.
    pub(super) fn arm_periodic_timer(&mut self) {
        if !self.timer.is_armed && !self.pending.is_empty() {
            self.timer = TimerState { is_armed: true, due_at: self.now + TIMER_PERIOD, ..self.timer };
            self.actions.push(Action::Timer { token: PERIODIC_TIMER, at: self.timer.due_at });
        }
    }

    /// Runs the periodic tasks.
    pub(super) fn run_periodic_tasks(&mut self) {
        self.timer.is_armed = false;
        self.reset_silence_after_stall();
        self.forget_idle_objects();
        let late = self.mark_late_attempts();
        for attempt in &late.all {
            self.record_late_attempt(attempt);
        }
        self.hedge(late.hedgeable);
        self.eject_silent_members();
        self.resume_waiters();
    }

    /// Restarts the silence measurement after a stall of the router itself, during which it could not
    /// process answers.
    fn reset_silence_after_stall(&mut self) {
        if self.now - self.timer.due_at > ROUTER_STALL_TIME {
            self.timer.resumed_at = self.now;
        }
    }

    fn forget_idle_objects(&mut self) {
        let now = self.now;
        if self.objects.len() * 2 > OBJECTS_MAX {
            self.objects.retain(|_, stats| now - stats.demand.updated_at() < OBJECT_IDLE_TIME);
        }
    }

    /// Marks the attempts that became late. They no longer count as transfers over the location's link,
    /// as a late fill waits for a source that does not send.
    fn mark_late_attempts(&mut self) -> LateAttempts {
        let mut late = LateAttempts::default();
        for pending in self.pending.values_mut() {
            let is_single = pending.in_flight.len() == 1 && !pending.has_ended;
            for attempt in &mut pending.in_flight {
                if attempt.is_late || self.now < attempt.late_at {
                    continue;
                }
                attempt.is_late = true;
                if is_single && attempt.sending_time_known {
                    late.hedgeable.push(attempt.plan);
                }
                late.all.push(*attempt);
                attempt.uses_link = false;
            }
        }
        late
    }

    /// Records a late attempt. A late fill counts against its source if its sending time is known. Once
    /// fetches from the origin have been observed, it also counts against the origin unless its source is
    /// already known to be slow.
    fn record_late_attempt(&mut self, attempt: &Attempt) {
        let (now, plan) = (self.now, attempt.plan);
        let is_fill = plan.kind == AttemptKind::Fill;
        let source = plan.source.and_then(|source| self.members.get(source));
        let is_source_slow = source.is_none_or(|state| state.inflation(now) > SLOW_SOURCE_INFLATION);
        if is_fill && !is_source_slow && self.origin_latency.has_observations() {
            let expected = fill_time(attempt.sending_time);
            self.origin_latency.record(now - attempt.sent_at, expected, ORIGIN_LATENCY_TIME_CONSTANT, now);
        }
        let expectation = attempt.latency_expectation().filter(|_| is_fill && attempt.sending_time_known);
        if let Some(state) = expectation.and_then(|expectation| self.members.get_mut(expectation.member)) {
            state.record_inflation(LATE_INFLATION, now);
        }
        self.add_link_transfers(-attempt.link_transfers());
        if plan.kind != AttemptKind::Lookup
            && let Some(state) = self.members.get_mut(plan.member)
        {
            state.in_flight.add(-1.0, now);
        }
    }

    /// Sends late attempts again to the same member as hedged requests, if the settings and the retry
    /// budget allow it. This recovers from lost answers.
    fn hedge(&mut self, plans: Vec<AttemptPlan>) {
        for plan in plans {
            let may_hedge = self.settings.hedged_requests && self.retry_budget.is_available();
            if may_hedge && self.try_send(plan) {
                self.retry_budget.withdraw();
            }
        }
    }

    /// Ejects silent members and cancels their attempts in flight. The origin is never ejected.
    fn eject_silent_members(&mut self) {
        let suspects = self.members.silence_suspects();
        let silent: Vec<MemberId> = suspects.filter(|id| self.is_silent(&self.members[id])).collect();
        for member in silent {
            self.eject(member, "silent");
            self.cancel_attempts_at(member);
        }
    }

    fn is_silent(&self, state: &MemberState) -> bool {
        let unanswered_since = state.health.unanswered_since.max(self.timer.resumed_at);
        state.health.is_silence_suspect()
            && self.now - unanswered_since > SILENT_TIME
            && !self.is_origin(&state.listed)
    }

    fn cancel_attempts_at(&mut self, member: MemberId) {
        if !self.settings.cancellation {
            return;
        }
        for (id, pending) in &self.pending {
            if pending.has_ended || pending.is_streaming {
                continue;
            }
            let at_member = pending.in_flight.iter().filter(|attempt| attempt.plan.member == member);
            let cancel = |attempt: &Attempt| Action::Cancel { request: *id, attempt: attempt.number };
            self.actions.extend(at_member.map(cancel));
        }
    }

    /// Sends fills for the waiters whose wait has ended. If the fill they waited for has ended, they are
    /// routed again.
    fn resume_waiters(&mut self) {
        let due = self.pending.values().filter(|pending| self.is_wait_over(pending));
        let due: Vec<RequestId> = due.map(|pending| pending.request.id).collect();
        for id in due {
            self.resume_waiter(id);
        }
    }

    fn is_wait_over(&self, pending: &PendingRequest) -> bool {
        let timed_out = |since: Millis| self.now - since >= WAITER_TIMEOUT;
        pending
            .waiting_since
            .is_some_and(|since| timed_out(since) || self.has_time_for_only_one_attempt(pending))
    }

    fn resume_waiter(&mut self, id: RequestId) {
        // A request that became the leader in the meantime no longer waits.
        let pending = self.pending.get_mut(&id);
        let Some(pending) = pending.filter(|pending| pending.waiting_since.is_some()) else { return };
        pending.waiting_since = None;
        let Some(fill) = self.collapsed_fills.get_mut(&FillKey::of(&pending.request)) else {
            return self.route(id);
        };
        fill.waiters.retain(|waiter| *waiter != id);
        let cache = fill.cache;
        self.fill(id, cache);
    }
}
