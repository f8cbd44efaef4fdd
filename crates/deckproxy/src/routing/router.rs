//! The router: passes requests between clients, the decision module and members.
//!
//! It makes no routing decisions. It notifies the decision module of events, applies the actions that the module
//! returns, ends attempts and requests at their deadlines, and checks invariants. Its methods are grouped by concern in
//! the other modules of this folder.

use crate::protocol::feed::{KnownEvents, NumberedEvent};
use crate::routing::answer_sizes::AnswerSizes;
use crate::routing::attempt_key::AttemptKey;
use crate::routing::counters::Counters;
use crate::routing::deadline::Deadline;
use crate::routing::effect::Effect;
use crate::routing::members::Members;
use crate::routing::requests::RequestTable;
use crate::routing::timers::Timers;
use deckproxy_control::Control;
use deckproxy_control::interface::{AttemptEnding, Event, ListKind, Member, MemberId};
use deckproxy_settings::InstanceSettings;
use std::collections::{HashMap, VecDeque};

/// The router of one gateway.
pub struct Router {
    pub(super) control: Control,
    pub(super) instance_settings: InstanceSettings,
    /// Indices of the classes in the settings, by name.
    pub(super) classes: HashMap<Box<str>, usize>,
    pub(super) members: Members,
    pub(super) requests: RequestTable,
    /// Sizes of the answers of each class.
    pub(super) answer_sizes: AnswerSizes,
    /// Health checks in flight.
    pub(super) health_checks: HashMap<AttemptKey, MemberId>,
    pub(super) health_checks_sent: u64,
    pub(super) timers: Timers<Deadline>,
    /// Events that have not been passed to the decision module yet.
    pub(super) events: VecDeque<Event>,
    /// Whether the decision module is handling an event: further events are queued.
    pub(super) notifying: bool,
    pub(super) effects: VecDeque<Effect>,
    /// The number of the last event received from the feed.
    pub(super) last_event: u64,
    /// Counters for the summary.
    pub counters: Counters,
}

impl Router {
    /// Starts a router with the events of the feed that are already known.
    pub fn new(now: f64, instance_settings: InstanceSettings, seed: u64, known: KnownEvents) -> Self {
        let classes =
            instance_settings.classes.iter().enumerate().map(|(i, name)| (name.as_str().into(), i)).collect();
        let answer_sizes = AnswerSizes::new(instance_settings.classes.len());
        let mut router = Router {
            control: Control::new(instance_settings.settings.clone(), seed),
            instance_settings,
            classes,
            members: Members::default(),
            requests: RequestTable::default(),
            answer_sizes,
            health_checks: HashMap::new(),
            health_checks_sent: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            notifying: false,
            effects: VecDeque::new(),
            last_event: 0,
            counters: Counters::default(),
        };
        router.notify_control(now, Event::Started);
        for NumberedEvent { number, event } in known.events {
            router.last_event = router.last_event.max(number);
            router.apply_feed_event(now, event, ListKind::Cached);
        }
        router.last_event = router.last_event.max(known.last);
        router
    }

    /// The next effect to apply.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, now: f64) {
        while let Some((at, deadline)) = self.timers.pop_due(now) {
            self.counters.max_timer_delay = self.counters.max_timer_delay.max(now - at);
            match deadline {
                Deadline::Control(token) => self.notify_control(now, Event::Timer(token)),
                Deadline::Attempt(key) => self.cancel_attempt(key, AttemptEnding::Timeout),
                Deadline::HealthCheck(key) => self.health_check_timed_out(now, key),
                // A safety net: the decision module answers when the last attempt ends, or earlier.
                Deadline::Request(request) => {
                    if self.requests.is_unfinished(request) {
                        self.counters.overdue += 1;
                        self.fail_unanswered(now, request);
                    }
                }
            }
        }
    }

    /// When `tick` must be called next, Unix ms.
    pub fn next_deadline(&self) -> Option<f64> {
        self.timers.next_deadline()
    }

    /// The settings.
    pub fn instance_settings(&self) -> &InstanceSettings {
        &self.instance_settings
    }

    /// Number of unanswered requests.
    pub fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    /// Bytes of the bodies of all open requests.
    pub fn body_bytes(&self) -> usize {
        self.requests.body_bytes()
    }

    /// Bytes that the open requests take, with their bodies.
    pub fn held_bytes(&self) -> usize {
        self.requests.held_bytes()
    }

    /// Bytes of the answers that are expected to the unanswered requests.
    pub fn expected_bytes(&self) -> usize {
        self.requests.expected_bytes()
    }

    /// Sizes of the router's and the decision module's tables, by their names in the summary.
    pub fn table_sizes(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let own = [
            ("requests", self.requests.len()),
            ("members", self.members.len()),
            ("health_checks", self.health_checks.len()),
            ("timers", self.timers.len()),
        ];
        let control_sizes = self.control.table_sizes();
        own.into_iter().chain([
            ("known_members", control_sizes.members),
            ("pending_requests", control_sizes.requests),
            ("collapsed_fills", control_sizes.fills),
            ("objects", control_sizes.objects),
            ("purges", control_sizes.purges),
        ])
    }

    /// The number of the last event received from the feed.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// A member's name on the wire; `?` if it is unknown.
    pub fn member_name(&self, id: MemberId) -> &str {
        self.members.name(id).unwrap_or("?")
    }

    /// The members in their listed state, with their names.
    pub fn listed_members(&self) -> impl Iterator<Item = (&Member, &str)> {
        self.members.listed()
    }

    /// A member in its listed state, with its name.
    pub fn listed_member(&self, id: MemberId) -> Option<(&Member, &str)> {
        self.members.listed_member(id)
    }

    /// Checks an invariant: asserted in debug builds, counted and logged in release builds.
    pub(super) fn check_invariant(&mut self, holds: bool, invariant: &str) {
        debug_assert!(holds, "{invariant}");
        if !holds {
            self.counters.broken_invariants += 1;
            self.effects.push_back(Effect::Log(format!("broken invariant: {invariant}")));
        }
    }
}
