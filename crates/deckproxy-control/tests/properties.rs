//! Random valid event streams, checked against a model of the rules that does not use the module's state.

mod common;
use common::*;
use deckproxy_control::interface::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u16),
    SendRequest { class: u8, object: u8, timeout: u16 },
    EndAttempt { index: u16, ending_choice: u8 },
    EndNearDeadline { index: u16, left: u8, ending_choice: u8 },
    Burst(u8),
    ClientLeaves(u16),
    ChangeMember { index: u8, change: u8 },
    Purge { object: u8, whole_group: bool, age: u16 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u16..400).prop_map(Step::Wait),
        6 => (0u8..4, 0u8..6, 300u16..5000).prop_map(|(class, object, timeout)| Step::SendRequest { class, object, timeout }),
        9 => (any::<u16>(), 0u8..12).prop_map(|(index, ending_choice)| Step::EndAttempt { index, ending_choice }),
        2 => (any::<u16>(), 0u8..30, 4u8..12).prop_map(|(index, left, ending_choice)| Step::EndNearDeadline { index, left, ending_choice }),
        1 => any::<u8>().prop_map(Step::Burst),
        1 => any::<u16>().prop_map(Step::ClientLeaves),
        2 => (0u8..6, 0u8..5).prop_map(|(index, change)| Step::ChangeMember { index, change }),
        1 => (0u8..6, any::<bool>(), 0u16..3000).prop_map(|(object, whole_group, age)| Step::Purge { object, whole_group, age }),
    ]
}

struct ModelAttempt {
    number: u32,
    member: MemberId,
    at: Millis,
    attempt_deadline: Millis,
}

struct ModelRequest {
    request: Request,
    sends: u32,
    in_flight: Option<ModelAttempt>,
    possible_run: Option<Millis>,
}

/// An attempt that a warming member received.
struct WarmingSend {
    member: MemberId,
    at: Millis,
    sending_time: Millis,
}

/// A purge of an object, or of a whole group.
struct Purge {
    object: Option<u64>,
    group: u32,
    at: Millis,
}

impl Purge {
    fn matches_request(&self, request: &Request) -> bool {
        match self.object {
            Some(object) => object == request.object,
            None => self.group == request.group,
        }
    }
}

/// A timer that the module set.
struct PendingTimer {
    at: Millis,
    token: u64,
}

/// A model of the rules, which sees only events and actions.
struct RulesModel {
    harness: Harness,
    pending: BTreeMap<RequestId, ModelRequest>,
    ended: u32,
    accepted: u32,
    members: BTreeMap<MemberId, Member>,
    purges: Vec<Purge>,
    timers: Vec<PendingTimer>,
    /// Attempts that each warming member received since its start was listed.
    warming_sends: Vec<WarmingSend>,
}

impl RulesModel {
    fn new() -> RulesModel {
        let members = all_members().into_iter().map(|m| (m.id, m)).collect();
        RulesModel {
            harness: Harness::new(),
            pending: BTreeMap::new(),
            ended: 0,
            accepted: 0,
            members,
            purges: vec![],
            timers: vec![],
            warming_sends: vec![],
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.harness.event(event).to_vec();
        for action in actions {
            match action {
                Action::Lookup { request, member, deadline } => {
                    self.check_send(request, member, deadline, None, None);
                }
                Action::Get { request, member, deadline, source, max_age, .. } => {
                    self.check_send(request, member, deadline, Some(source), Some(max_age));
                }
                Action::Reject { request, .. } => {
                    let pending =
                        self.pending.remove(&request).expect("rejected a request that is not pending");
                    let class = &settings().classes[pending.request.class];
                    let is_safe =
                        class.idempotency == Idempotency::Idempotent || pending.possible_run.is_none();
                    assert!(
                        is_safe && pending.in_flight.is_none(),
                        "rejected a request that may have been executed"
                    );
                    self.ended += 1;
                }
                Action::Fail { request } => {
                    self.pending.remove(&request).expect("failed a request that is not pending");
                    self.ended += 1;
                }
                Action::Cancel { request, attempt } => {
                    let in_flight = self
                        .pending
                        .get(&request)
                        .and_then(|a| a.in_flight.as_ref())
                        .expect("cancelled an attempt that is not in flight");
                    assert_eq!(in_flight.number, attempt);
                }
                Action::Timer { token, at } => {
                    assert!(at > self.harness.now);
                    self.timers.push(PendingTimer { at, token });
                }
                _ => {}
            }
        }
    }

    fn check_send(
        &mut self,
        id: RequestId,
        to: MemberId,
        attempt_deadline: Millis,
        source: Option<MemberId>,
        age: Option<f64>,
    ) {
        let now = self.harness.now;
        let pending = self.pending.get_mut(&id).expect("sent an attempt for a request that has ended");
        let r = pending.request;
        let class = &settings().classes[r.class];
        assert!(pending.in_flight.is_none(), "two attempts in flight");
        assert!(pending.sends < settings().max_attempts);
        assert!(now < r.deadline && attempt_deadline > now && attempt_deadline <= r.deadline);
        if let Some(first) = pending.possible_run {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::Keyed => assert!(now < first + class.dedup_window, "repeated after its window"),
                Idempotency::NotIdempotent => panic!("repeated a request that is not idempotent"),
            }
        }
        let is_origin = to == ORIGIN_ID;
        for m in [Some(to), source.filter(|s| *s != to)].into_iter().flatten() {
            let listed = self.members.get(&m).expect("sent to a member that is not listed");
            assert_eq!(listed.lifecycle, Lifecycle::Ready, "sent to a draining member");
            if let Some(started) = listed.started.filter(|_| m != ORIGIN_ID) {
                let cache = listed.kind == CACHE_KIND;
                let rule = if cache { settings().cache_slow_start } else { settings().parent_slow_start };
                let share = (rule.initial_share
                    + (1.0 - rule.initial_share) * (now - started) / rule.duration)
                    .min(1.0);
                self.warming_sends.push(WarmingSend { member: m, at: now, sending_time: SIZES[r.class] });
                let window = self.warming_sends.iter().filter(|sent| {
                    sent.member == m && sent.at > now - rule.overload_window && sent.at >= started
                });
                let load: f64 = window.map(|sent| sent.sending_time).sum();
                // A single router may spend the whole budget of a window; the sum over all routers is
                // checked in `slow_start.rs`.
                let max_load = rule.overload_multiple * share * listed.weight * rule.overload_window;
                assert!(share >= 1.0 || load <= max_load, "{m} overloaded: load {load} exceeds {max_load}");
            }
        }
        let purges = self.purges.iter().filter(|purge| purge.matches_request(&r));
        let newest = purges
            .map(|purge| purge.at)
            .filter(|at| now <= at + settings().purge_settle_time)
            .fold(None, |latest, at| Some(latest_of(latest, at)));
        if let Some(at) = newest.filter(|_| !is_origin) {
            let age = age.expect("sent a look-up without a maximum age after a purge");
            assert!(
                age > 0.0 && age <= now - at + 0.0011,
                "a copy of age {age} ms may be older than the purge"
            );
        }
        pending.in_flight =
            Some(ModelAttempt { number: pending.sends, member: to, at: now, attempt_deadline });
        pending.sends += 1;
    }

    fn end(&mut self, id: RequestId, ending: AttemptEnding) {
        let now = self.harness.now;
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(in_flight) = pending.in_flight.take() else { return };
        let never =
            [AttemptEnding::Rejected, AttemptEnding::ConnectFailed, AttemptEnding::Miss].contains(&ending);
        if !never && pending.possible_run.is_none() {
            pending.possible_run = Some(in_flight.at);
        }
        let finished = ending == AttemptEnding::Served;
        if finished {
            self.pending.remove(&id);
            self.ended += 1;
        }
        let (elapsed, note, load) = (now - in_flight.at, FillNote::None, None);
        let (attempt, member) = (in_flight.number, in_flight.member);
        self.event(Event::AttemptEnded {
            request: id,
            attempt,
            member,
            ending,
            elapsed,
            finished,
            note,
            load,
        });
    }

    /// Advances the clock; timers and time-outs are handled when they are due.
    fn wait(&mut self, duration: Millis) {
        let end = self.harness.now + duration;
        loop {
            let timer = self.timers.iter().map(|timer| timer.at).fold(f64::MAX, f64::min);
            let in_flight = self
                .pending
                .iter()
                .filter_map(|(id, a)| a.in_flight.as_ref().map(|o| (o.attempt_deadline, *id)));
            let in_flight = in_flight.fold((f64::MAX, 0), |a, b| if b.0 < a.0 { b } else { a });
            let next = timer.min(in_flight.0);
            if next > end {
                break;
            }
            self.harness.now = self.harness.now.max(next);
            if in_flight.0 <= timer {
                self.end(in_flight.1, AttemptEnding::Timeout);
            } else {
                let i = self.timers.iter().position(|other| other.at == timer).unwrap();
                let PendingTimer { token, .. } = self.timers.remove(i);
                self.event(Event::Timer(token));
            }
            self.assert_none_overdue();
        }
        self.harness.now = end;
        self.assert_none_overdue();
    }

    fn assert_none_overdue(&self) {
        for pending in self.pending.values() {
            assert!(
                self.harness.now <= pending.request.deadline + 0.001,
                "no final answer in time: {:?}",
                pending.request
            );
        }
    }

    #[allow(clippy::too_many_lines, reason = "one arm for each kind of step")]
    fn step(&mut self, step: Step) {
        match step {
            Step::Wait(duration) => self.wait(f64::from(duration)),
            Step::SendRequest { class, object, timeout } => {
                let class = usize::from(class);
                let id = self.harness.next_id;
                self.harness.next_id += 1;
                let deadline = self.harness.now + f64::from(timeout);
                // Each object has one class and one group.
                let object = u64::from(object) * 4 + class as u64;
                let group = (object % 2) as u32;
                let r = Request { id, object, part: 0, group, size: Some(SIZES[class]), class, deadline };
                self.pending
                    .insert(id, ModelRequest { request: r, sends: 0, in_flight: None, possible_run: None });
                self.accepted += 1;
                self.event(Event::Request(r));
            }
            Step::EndAttempt { index, ending_choice } => {
                let in_flight: Vec<RequestId> =
                    self.pending.iter().filter(|(_, a)| a.in_flight.is_some()).map(|(i, _)| *i).collect();
                if in_flight.is_empty() {
                    return;
                }
                let ending = match ending_choice {
                    0..=3 => AttemptEnding::Served,
                    4..=7 => AttemptEnding::Miss,
                    8 => AttemptEnding::Error,
                    9 => AttemptEnding::Rejected,
                    10 => AttemptEnding::ConnectFailed,
                    _ => AttemptEnding::Reset,
                };
                self.end(in_flight[usize::from(index) % in_flight.len()], ending);
            }
            // Many large requests at once, most of which miss.
            Step::Burst(seed) => {
                for n in 0..24u8 {
                    self.step(Step::SendRequest {
                        class: 1,
                        object: seed.wrapping_mul(31).wrapping_add(n),
                        timeout: 4000,
                    });
                    self.step(Step::EndAttempt { index: u16::from(n), ending_choice: 4 + n % 2 * 4 });
                }
            }
            // An attempt that ends just before its client's deadline.
            Step::EndNearDeadline { index, left, ending_choice } => {
                let in_flight: Vec<Millis> = self
                    .pending
                    .values()
                    .filter(|a| a.in_flight.is_some())
                    .map(|a| a.request.deadline)
                    .collect();
                if !in_flight.is_empty() {
                    let at = in_flight[usize::from(index) % in_flight.len()] - f64::from(left) / 2.0;
                    self.wait((at - self.harness.now).max(0.0));
                    self.step(Step::EndAttempt { index, ending_choice });
                }
            }
            Step::ClientLeaves(index) => {
                let ids: Vec<RequestId> = self.pending.keys().copied().collect();
                if let Some(id) = ids.get(usize::from(index) % ids.len().max(1)) {
                    let pending = self.pending.remove(id).unwrap();
                    self.ended += 1;
                    self.event(Event::ClientGone(*id));
                    if let Some(in_flight) = pending.in_flight {
                        let (attempt, member) = (in_flight.number, in_flight.member);
                        let (ending, elapsed, note) =
                            (AttemptEnding::Cancelled, self.harness.now - in_flight.at, FillNote::None);
                        let load = None;
                        self.event(Event::AttemptEnded {
                            request: *id,
                            attempt,
                            member,
                            ending,
                            elapsed,
                            finished: true,
                            note,
                            load,
                        });
                    }
                }
            }
            Step::ChangeMember { index, change } => {
                let id = all_members()[usize::from(index)].id;
                if change == 4 {
                    // The member leaves the list and returns as the same process.
                    let Some(same) = self.members.get(&id).copied() else { return };
                    let gone = Member { lifecycle: Lifecycle::Gone, ..same };
                    self.event(Event::MemberList(ListKind::Delta, vec![gone]));
                    self.event(Event::MemberList(ListKind::Delta, vec![same]));
                    return;
                }
                let new = match change {
                    0 => Member { lifecycle: Lifecycle::Draining, ..member(id) },
                    1 => Member { lifecycle: Lifecycle::Gone, ..member(id) },
                    2 => Member { started: Some(self.harness.now - 500.0), ..member(id) },
                    _ => member(id),
                };
                self.warming_sends.retain(|sent| sent.member != id);
                if new.lifecycle == Lifecycle::Gone {
                    self.members.remove(&id);
                } else {
                    self.members.insert(id, new);
                }
                self.event(Event::MemberList(ListKind::Delta, vec![new]));
            }
            Step::Purge { object, whole_group, age } => {
                let age = f64::from(age);
                let object = u64::from(object);
                let (object, group) =
                    if whole_group { (None, (object % 2) as u32) } else { (Some(object), 0) };
                self.purges.push(Purge { object, group, at: self.harness.now - age });
                self.event(Event::Purged { object, group, age });
            }
        }
    }
}

fn latest_of(a: Option<f64>, b: f64) -> f64 {
    a.map_or(b, |a| a.max(b))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_rule_holds_and_every_request_has_one_final_answer(steps in prop::collection::vec(any_step(), 1..160)) {
        let mut model = RulesModel::new();
        for step in steps {
            model.step(step);
        }
        model.wait(6000.0);
        prop_assert!(model.pending.is_empty(), "requests without a final answer: {}", model.pending.len());
        prop_assert_eq!(model.ended, model.accepted);
    }
}
