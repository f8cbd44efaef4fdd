//! Random legal event streams against a model of the rules that is independent of the module's state.

mod common;
use common::*;
use deckproxy_control::interface::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Op {
    Wait(u16),
    Ask { class: u8, object: u8, patience: u16 },
    End { which: u16, how: u8 },
    Brink { which: u16, left: u8, how: u8 },
    Rush(u8),
    Leave(u16),
    Member { which: u8, what: u8 },
    Purge { object: u8, whole: bool, age: u16 },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (1u16..400).prop_map(Op::Wait),
        6 => (0u8..4, 0u8..6, 300u16..5000).prop_map(|(class, object, patience)| Op::Ask { class, object, patience }),
        9 => (any::<u16>(), 0u8..12).prop_map(|(which, how)| Op::End { which, how }),
        2 => (any::<u16>(), 0u8..30, 4u8..12).prop_map(|(which, left, how)| Op::Brink { which, left, how }),
        1 => any::<u8>().prop_map(Op::Rush),
        1 => any::<u16>().prop_map(Op::Leave),
        2 => (0u8..6, 0u8..5).prop_map(|(which, what)| Op::Member { which, what }),
        1 => (0u8..6, any::<bool>(), 0u16..3000).prop_map(|(object, whole, age)| Op::Purge { object, whole, age }),
    ]
}

struct Sent {
    no: u32,
    member: MemberId,
    at: Millis,
    until: Millis,
}

struct Asked {
    r: Request,
    sends: u32,
    out: Option<Sent>,
    maybe: Option<Millis>,
}

/// What the rules say, kept from the outside.
struct World {
    rig: Rig,
    live: BTreeMap<RequestId, Asked>,
    ended: u32,
    asked: u32,
    members: BTreeMap<MemberId, Member>,
    purged: Vec<(Option<u64>, u32, Millis)>,
    timers: Vec<(Millis, u64)>,
    /// Sends that reached each cold member since we were told of its start: when, and their sending time.
    cold: Vec<(MemberId, Millis, f64)>,
}

impl World {
    fn new() -> World {
        let members = everyone().into_iter().map(|m| (m.id, m)).collect();
        World {
            rig: Rig::new(),
            live: BTreeMap::new(),
            ended: 0,
            asked: 0,
            members,
            purged: vec![],
            timers: vec![],
            cold: vec![],
        }
    }

    fn event(&mut self, event: Event) {
        let acts = self.rig.event(event).to_vec();
        for act in acts {
            match act {
                Action::Lookup { request, member, deadline } => {
                    self.sent(request, member, deadline, None, None)
                }
                Action::Get { request, member, deadline, source, max_age, .. } => {
                    self.sent(request, member, deadline, Some(source), Some(max_age))
                }
                Action::Reject { request, .. } => {
                    let asked = self.live.remove(&request).expect("refused one that is not live");
                    let class = &settings().classes[asked.r.class];
                    let harmless = class.idempotency != Idempotency::NotIdempotent || asked.maybe.is_none();
                    assert!(harmless && asked.out.is_none(), "refused what may have run");
                    self.ended += 1;
                }
                Action::Fail { request } => {
                    self.live.remove(&request).expect("failed one that is not live");
                    self.ended += 1;
                }
                Action::Cancel { request, attempt } => {
                    let out =
                        self.live.get(&request).and_then(|a| a.out.as_ref()).expect("nothing to cancel");
                    assert_eq!(out.no, attempt);
                }
                Action::Timer { token, at } => {
                    assert!(at > self.rig.now);
                    self.timers.push((at, token));
                }
                _ => {}
            }
        }
    }

    fn sent(
        &mut self,
        id: RequestId,
        to: MemberId,
        until: Millis,
        source: Option<MemberId>,
        age: Option<f64>,
    ) {
        let now = self.rig.now;
        let asked = self.live.get_mut(&id).expect("a send for a request that has ended");
        let r = asked.r;
        let class = &settings().classes[r.class];
        assert!(asked.out.is_none(), "two attempts at once");
        assert!(asked.sends < settings().max_attempts);
        assert!(now < r.deadline && until > now && until <= r.deadline);
        if let Some(first) = asked.maybe {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::Keyed => assert!(now < first + class.dedup_window, "a repeat after the window"),
                Idempotency::NotIdempotent => panic!("an unsafe request sent again"),
            }
        }
        let is_origin = to == THE_ORIGIN;
        for m in [Some(to), source.filter(|s| *s != to)].into_iter().flatten() {
            let listed = self.members.get(&m).expect("a member that is not listed");
            assert_eq!(listed.lifecycle, Lifecycle::Ready, "sent to a draining member");
            if let Some(started) = listed.started.filter(|_| m != THE_ORIGIN) {
                let cache = listed.kind == CACHE;
                let rule = if cache { settings().cache_slow_start } else { settings().parent_slow_start };
                let share = (rule.initial_share
                    + (1.0 - rule.initial_share) * (now - started) / rule.duration)
                    .min(1.0);
                self.cold.push((m, now, SIZES[r.class]));
                let window = self
                    .cold
                    .iter()
                    .filter(|c| c.0 == m && c.1 > now - rule.overload_window && c.1 >= started);
                let load: f64 = window.map(|c| c.2).sum();
                // One of two routers may have the whole turn; the sum over all is tested with the rules.
                let most = rule.overload_multiple * share * listed.weight * rule.overload_window;
                assert!(share >= 1.0 || load <= most, "{m} pushed over: {load} of {most}");
            }
        }
        let purges = self.purged.iter().filter(|p| p.0 == Some(r.object) || p.0.is_none() && p.1 == r.group);
        let newest =
            purges.map(|p| p.2).filter(|at| now <= at + settings().purge_settle_time).fold(None, newer);
        if let Some(at) = newest.filter(|_| !is_origin) {
            let age = age.expect("a look-up without a bound after a purge");
            assert!(age > 0.0 && age <= now - at + 0.0011, "a copy of {age} ms may be older than the purge");
        }
        asked.out = Some(Sent { no: asked.sends, member: to, at: now, until });
        asked.sends += 1;
    }

    fn end(&mut self, id: RequestId, ending: AttemptEnding) {
        let now = self.rig.now;
        let Some(asked) = self.live.get_mut(&id) else { return };
        let Some(out) = asked.out.take() else { return };
        let never =
            [AttemptEnding::Rejected, AttemptEnding::ConnectFailed, AttemptEnding::Miss].contains(&ending);
        if !never && asked.maybe.is_none() {
            asked.maybe = Some(out.at);
        }
        let finished = ending == AttemptEnding::Served;
        if finished {
            self.live.remove(&id);
            self.ended += 1;
        }
        let (elapsed, note, load) = (now - out.at, FillNote::None, None);
        let (attempt, member) = (out.no, out.member);
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

    /// Lets time pass; timers and time-outs come when they are due.
    fn wait(&mut self, span: Millis) {
        let end = self.rig.now + span;
        loop {
            let timer = self.timers.iter().map(|t| t.0).fold(f64::MAX, f64::min);
            let out = self.live.iter().filter_map(|(id, a)| a.out.as_ref().map(|o| (o.until, *id)));
            let out = out.fold((f64::MAX, 0), |a, b| if b.0 < a.0 { b } else { a });
            let next = timer.min(out.0);
            if next > end {
                break;
            }
            self.rig.now = self.rig.now.max(next);
            if out.0 <= timer {
                self.end(out.1, AttemptEnding::Timeout);
            } else {
                let i = self.timers.iter().position(|t| t.0 == timer).unwrap();
                let (_, token) = self.timers.remove(i);
                self.event(Event::Timer(token));
            }
            self.overdue();
        }
        self.rig.now = end;
        self.overdue();
    }

    fn overdue(&self) {
        for asked in self.live.values() {
            assert!(self.rig.now <= asked.r.deadline + 0.001, "no final answer in time: {:?}", asked.r);
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Wait(span) => self.wait(f64::from(span)),
            Op::Ask { class, object, patience } => {
                let class = usize::from(class);
                let id = self.rig.next;
                self.rig.next += 1;
                let deadline = self.rig.now + f64::from(patience);
                // An object has one class and one group.
                let object = u64::from(object) * 4 + class as u64;
                let group = (object % 2) as u32;
                let r = Request { id, object, part: 0, group, size: Some(SIZES[class]), class, deadline };
                self.live.insert(id, Asked { r, sends: 0, out: None, maybe: None });
                self.asked += 1;
                self.event(Event::Request(r));
            }
            Op::End { which, how } => {
                let out: Vec<RequestId> =
                    self.live.iter().filter(|(_, a)| a.out.is_some()).map(|(i, _)| *i).collect();
                if out.is_empty() {
                    return;
                }
                let ending = match how {
                    0..=3 => AttemptEnding::Served,
                    4..=7 => AttemptEnding::Miss,
                    8 => AttemptEnding::Error,
                    9 => AttemptEnding::Rejected,
                    10 => AttemptEnding::ConnectFailed,
                    _ => AttemptEnding::Reset,
                };
                self.end(out[usize::from(which) % out.len()], ending);
            }
            // Many large requests at once, most of them misses.
            Op::Rush(seed) => {
                for n in 0..24u8 {
                    self.step(Op::Ask {
                        class: 1,
                        object: seed.wrapping_mul(31).wrapping_add(n),
                        patience: 4000,
                    });
                    self.step(Op::End { which: u16::from(n), how: 4 + n % 2 * 4 });
                }
            }
            // An attempt that ends just before its client gives up.
            Op::Brink { which, left, how } => {
                let out: Vec<Millis> =
                    self.live.values().filter(|a| a.out.is_some()).map(|a| a.r.deadline).collect();
                if !out.is_empty() {
                    let at = out[usize::from(which) % out.len()] - f64::from(left) / 2.0;
                    self.wait((at - self.rig.now).max(0.0));
                    self.step(Op::End { which, how });
                }
            }
            Op::Leave(which) => {
                let ids: Vec<RequestId> = self.live.keys().copied().collect();
                if let Some(id) = ids.get(usize::from(which) % ids.len().max(1)) {
                    let asked = self.live.remove(id).unwrap();
                    self.ended += 1;
                    self.event(Event::ClientGone(*id));
                    if let Some(out) = asked.out {
                        let (attempt, member) = (out.no, out.member);
                        let (ending, elapsed, note) =
                            (AttemptEnding::Cancelled, self.rig.now - out.at, FillNote::None);
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
            Op::Member { which, what } => {
                let id = everyone()[usize::from(which)].id;
                if what == 4 {
                    // It leaves the list and comes back to it as the same process.
                    let Some(same) = self.members.get(&id).copied() else { return };
                    let gone = Member { lifecycle: Lifecycle::Gone, ..same };
                    self.event(Event::MemberList(ListKind::Delta, vec![gone]));
                    self.event(Event::MemberList(ListKind::Delta, vec![same]));
                    return;
                }
                let new = match what {
                    0 => Member { lifecycle: Lifecycle::Draining, ..member(id) },
                    1 => Member { lifecycle: Lifecycle::Gone, ..member(id) },
                    2 => Member { started: Some(self.rig.now - 500.0), ..member(id) },
                    _ => member(id),
                };
                self.cold.retain(|c| c.0 != id);
                if new.lifecycle == Lifecycle::Gone {
                    self.members.remove(&id);
                } else {
                    self.members.insert(id, new);
                }
                self.event(Event::MemberList(ListKind::Delta, vec![new]));
            }
            Op::Purge { object, whole, age } => {
                let age = f64::from(age);
                let object = u64::from(object);
                let (object, group) = if whole { (None, (object % 2) as u32) } else { (Some(object), 0) };
                self.purged.push((object, group, self.rig.now - age));
                self.event(Event::Purged { object, group, age });
            }
        }
    }
}

fn newer(a: Option<f64>, b: f64) -> Option<f64> {
    Some(a.map_or(b, |a| a.max(b)))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_rule_holds_and_every_request_has_one_final_answer(ops in prop::collection::vec(op(), 1..160)) {
        let mut world = World::new();
        for op in ops {
            world.step(op);
        }
        world.wait(6000.0);
        prop_assert!(world.live.is_empty(), "left without an answer: {}", world.live.len());
        prop_assert_eq!(world.ended, world.asked);
    }
}
