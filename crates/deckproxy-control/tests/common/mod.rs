//! Test fixture: a small location with three caches, two parents in two zones, an origin and four
//! classes.
#![allow(dead_code)]

use deckproxy_control::Control;
use deckproxy_control::interface::*;

pub const CACHE_KIND: u32 = 0;
pub const PARENT_KIND: u32 = 1;
pub const ORIGIN_KIND: u32 = 2;
pub const CACHES: [MemberId; 3] = [101, 102, 103];
pub const PARENTS: [MemberId; 2] = [201, 202];
pub const ORIGIN_ID: MemberId = 301;
pub const LOCAL_ZONE: u32 = 2;

/// Classes: small idempotent reads, large idempotent reads, keyed writes, and writes that are not
/// idempotent.
pub const SMALL: usize = 0;
pub const LARGE: usize = 1;
pub const KEYED: usize = 2;
pub const NOT_IDEMPOTENT: usize = 3;
/// Size of one part in KB, by class; at the transfer rate of 1000 KB/s these are also the sending times
/// in ms.
pub const SIZES: [f64; 4] = [50.0, 400.0, 20.0, 20.0];

pub fn class(latency_objective: f64, deadline: f64, idempotency: Idempotency, write: bool) -> Class {
    Class {
        latency_objective,
        latency_objective_stretch: 2.0,
        deadline,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency,
        group: Group::All,
        dedup_window: 2000.0,
        freshness_lifetime: 0.0,
        stale_lifetime: 0.0,
        stale_weight_share: 0.0,
        write,
        stream: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            Class { freshness_lifetime: 12_000.0, ..class(400.0, 8000.0, Idempotency::Idempotent, false) },
            class(600.0, 8000.0, Idempotency::Idempotent, false),
            class(700.0, 6000.0, Idempotency::Keyed, true),
            class(700.0, 6000.0, Idempotency::NotIdempotent, true),
        ],
        zone: LOCAL_ZONE,
        zone_routers: vec![0, 0, 1, 1],
        zone_link_rate: vec![0.0; 4],
        routers: 2,
        position: 0,
        parent_kind: Some(PARENT_KIND),
        origin_kind: Some(ORIGIN_KIND),
        cache_bypass: true,
        join_fills: true,
        siblings: Siblings::None,
        transfer_rate: 1000.0,
        weights_are_capacities: true,
        cache_slow_start: SlowStart {
            initial_share: 0.2,
            duration: 16_000.0,
            overload_multiple: 3.0,
            overload_window: 2000.0,
        },
        parent_slow_start: SlowStart {
            initial_share: 0.1,
            duration: 20_000.0,
            overload_multiple: 2.0,
            overload_window: 2000.0,
        },
        purge_grace: 300.0,
        purge_settle_time: 6000.0,
        subscribe_to_member_list: false,
        max_attempts: 6,
        hedged_requests: false,
        cancellation: true,
        retry_after: true,
        max_retry_after: 1000.0,
    }
}

pub fn member(id: MemberId) -> Member {
    let (kind, zone, weight) = match id {
        101..=103 => (CACHE_KIND, LOCAL_ZONE, 4.0),
        201 => (PARENT_KIND, 0, 12.0),
        202 => (PARENT_KIND, 1, 12.0),
        _ => (ORIGIN_KIND, 0, 4.0),
    };
    Member { id, lifecycle: Lifecycle::Ready, started: None, weight, kind, zone, cell: 0 }
}

pub fn all_members() -> Vec<Member> {
    CACHES.into_iter().chain(PARENTS).chain([ORIGIN_ID]).map(member).collect()
}

/// An attempt that the router sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub member: MemberId,
    /// The source if the attempt is a get; `None` for a look-up.
    pub source: Option<MemberId>,
}

/// A member's answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptAnswer {
    pub request: RequestId,
    pub attempt: u32,
    pub member: MemberId,
    pub ending: AttemptEnding,
    pub note: FillNote,
    pub elapsed: Millis,
    pub load: Option<LoadReport>,
}

/// A router under test, with its clock and the actions of the last event.
pub struct Harness {
    pub control: Control,
    pub now: Millis,
    pub actions: Vec<Action>,
    pub next_id: RequestId,
}

impl Harness {
    pub fn with(settings: Settings, members: Vec<Member>) -> Harness {
        let mut harness =
            Harness { control: Control::new(settings, 1), now: 1000.0, actions: vec![], next_id: 1 };
        harness.event(Event::Started);
        harness.event(Event::MemberList(ListKind::Cached, members));
        harness
    }

    pub fn new() -> Harness {
        Harness::with(settings(), all_members())
    }

    /// Handles one event; its actions are then in `actions`.
    pub fn event(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.control.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    /// Requests a part of an object; returns the request's id.
    pub fn request(&mut self, class: usize, object: u64, part: u32) -> RequestId {
        self.request_of_size(class, object, part, Some(SIZES[class]))
    }

    /// Requests a part of an object of that size, or of unknown size; returns the request's id.
    pub fn request_of_size(&mut self, class: usize, object: u64, part: u32, size: Option<f64>) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + 5000.0;
        self.event(Event::Request(Request { id, object, part, group: 7, size, class, deadline }));
        id
    }

    /// Ends an attempt after 10 ms, without a note or load report.
    pub fn end(&mut self, request: RequestId, attempt: u32, member: MemberId, ending: AttemptEnding) {
        self.answer(AttemptAnswer {
            request,
            attempt,
            member,
            ending,
            note: FillNote::None,
            elapsed: 10.0,
            load: None,
        });
    }

    /// Ends an attempt with a note and a load report.
    pub fn answer(&mut self, answer: AttemptAnswer) {
        let AttemptAnswer { request, attempt, member, ending, note, elapsed, load } = answer;
        let finished = ending == AttemptEnding::Served;
        self.event(Event::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load });
    }

    /// Serves look-ups of `count` objects, each in the time that `elapsed` returns for its member.
    pub fn serve_lookups(&mut self, count: u64, elapsed: impl Fn(MemberId) -> Millis) {
        for object in 0..count {
            let id = self.request(SMALL, object, 0);
            let member = self.sends()[0].member;
            self.answer(AttemptAnswer {
                request: id,
                attempt: 0,
                member,
                ending: AttemptEnding::Served,
                note: FillNote::None,
                elapsed: elapsed(member),
                load: None,
            });
        }
    }

    /// Serves an object from its home cache and returns that cache.
    pub fn home_of(&mut self, object: u64) -> MemberId {
        let id = self.request(SMALL, object, 0);
        let member = self.sends()[0].member;
        self.end(id, 0, member, AttemptEnding::Served);
        member
    }

    /// Serves an attempt.
    pub fn serve(
        &mut self,
        request: RequestId,
        attempt: u32,
        member: MemberId,
        elapsed: Millis,
        note: FillNote,
    ) {
        self.answer(AttemptAnswer {
            request,
            attempt,
            member,
            ending: AttemptEnding::Served,
            note,
            elapsed,
            load: None,
        });
    }

    /// Whether the get of the last event requests a cached copy only; `None` without a get.
    pub fn cached_only(&self) -> Option<bool> {
        self.actions.iter().find_map(|a| match a {
            Action::Get { options, .. } => Some(options.cached_only),
            _ => None,
        })
    }

    /// Runs the periodic timer every 20 ms until `end`; all resulting actions are then in `actions`.
    pub fn run_timer_until(&mut self, end: Millis) {
        let mut all = vec![];
        while self.now < end {
            self.now = (self.now + 20.0).min(end);
            all.extend(self.event(Event::Timer(0)).to_vec());
        }
        self.actions = all;
    }

    /// Runs the periodic timer once, at clock time `now`.
    pub fn run_timer_at(&mut self, now: Millis) {
        self.now = now;
        self.event(Event::Timer(0));
    }

    /// The attempts that the last event caused.
    pub fn sends(&self) -> Vec<SentAttempt> {
        sends(&self.actions)
    }

    /// Requests an object and ends the look-up with a miss; returns the request's id and the cache.
    pub fn request_and_miss(&mut self, class: usize, object: u64) -> (RequestId, MemberId) {
        let id = self.request(class, object, 0);
        let cache = self.sends()[0].member;
        self.end(id, 0, cache, AttemptEnding::Miss);
        (id, cache)
    }
}

pub fn sends(actions: &[Action]) -> Vec<SentAttempt> {
    actions
        .iter()
        .filter_map(|action| match *action {
            Action::Lookup { request, member, .. } => Some(SentAttempt { request, member, source: None }),
            Action::Get { request, member, source, .. } => {
                Some(SentAttempt { request, member, source: Some(source) })
            }
            _ => None,
        })
        .collect()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}
