//! The router: carries requests between clients, the decision module and members.
//!
//! It makes no choice of its own. It notifies the decision module of what happened, carries out the actions that the
//! module decides on, ends attempts and requests whose time is over, and checks invariants on the way. Its parts by
//! concern are the other modules of this folder.

use crate::protocol::feed::{KnownEvents, NumberedEvent};
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
    /// Positions of the classes in the settings, by name.
    pub(super) classes: HashMap<Box<str>, usize>,
    pub(super) members: Members,
    pub(super) requests: RequestTable,
    /// Health checks in flight.
    pub(super) health_checks: HashMap<AttemptKey, MemberId>,
    pub(super) health_checks_sent: u64,
    pub(super) timers: Timers<Deadline>,
    /// Events that the decision module has not been handed yet.
    pub(super) events: VecDeque<Event>,
    /// The decision module is at work: further events wait.
    pub(super) notifying: bool,
    pub(super) effects: VecDeque<Effect>,
    /// The number of the feed's last event.
    pub(super) last_event: u64,
    /// Counts for the summary.
    pub counters: Counters,
}

impl Router {
    /// A router that has just started and knows the feed's events so far.
    pub fn new(now: f64, instance_settings: InstanceSettings, seed: u64, known: KnownEvents) -> Self {
        let classes =
            instance_settings.classes.iter().enumerate().map(|(i, name)| (name.as_str().into(), i)).collect();
        let mut router = Router {
            control: Control::new(instance_settings.settings.clone(), seed),
            instance_settings,
            classes,
            members: Members::default(),
            requests: RequestTable::default(),
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
            router.take_feed_event(now, event, ListKind::Cached);
        }
        router.last_event = router.last_event.max(known.last);
        router
    }

    /// The next thing to be done outside.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, now: f64) {
        while let Some((at, deadline)) = self.timers.pop_due(now) {
            self.counters.late = self.counters.late.max(now - at);
            match deadline {
                Deadline::Control(token) => self.notify_control(now, Event::Timer(token)),
                Deadline::Attempt(key) => self.cancel_attempt(key, AttemptEnding::Timeout),
                Deadline::HealthCheck(key) => self.health_check_timed_out(now, key),
                // The module answers at the last attempt's end or before; this is the safety net below it.
                Deadline::Request(request) => {
                    if self.requests.is_unfinished(request) {
                        self.counters.overdue += 1;
                        self.fail_unanswered(now, request);
                    }
                }
            }
        }
    }

    /// When `tick` is to be called next, Unix ms.
    pub fn next_deadline(&self) -> Option<f64> {
        self.timers.next_deadline()
    }

    /// The settings.
    pub fn instance_settings(&self) -> &InstanceSettings {
        &self.instance_settings
    }

    /// Requests that are owed an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    /// Bytes of the bodies of all open requests.
    pub fn body_bytes(&self) -> usize {
        self.requests.body_bytes()
    }

    /// Sizes of its tables and of the decision module's, by the names that the summary gives them.
    pub fn table_sizes(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let own = [
            ("requests", self.requests.len()),
            ("members", self.members.len()),
            ("health_checks", self.health_checks.len()),
            ("timers", self.timers.len()),
        ];
        let decisions = self.control.table_sizes();
        own.into_iter().chain([
            ("known_members", decisions.members),
            ("pending_requests", decisions.requests),
            ("collapsed_fills", decisions.fills),
            ("objects", decisions.objects),
            ("purges", decisions.purges),
        ])
    }

    /// The number of the feed's last event.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// A member's name on the wire; `?` where it is not known.
    pub fn member_name(&self, id: MemberId) -> &str {
        self.members.name(id).unwrap_or("?")
    }

    /// The members as the list has them, with their names.
    pub fn listed_members(&self) -> impl Iterator<Item = (&Member, &str)> {
        self.members.listed()
    }

    /// Checks an invariant: asserted in debug builds, counted and logged in release builds.
    pub(super) fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.counters.broken_invariants += 1;
            self.effects.push_back(Effect::Log(format!("broken invariant: {what}")));
        }
    }
}
