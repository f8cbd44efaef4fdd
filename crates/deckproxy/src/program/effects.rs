//! Applying the effects of the router and the subsystems until there are no more.

use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::{Context, Effect as SubsystemEffect, Event, FIRST_LINK_CLIENT, micros};
use crate::program::timer_task::TimerTask;
use crate::protocol::{limits, upstream};
use crate::routing::{AttemptKey, ClientId, Effect};
use crate::transport::clock;
use crate::transport::member::MemberMessage;
use deckproxy_flow::scheduler::{Micros, TaskId};

impl Gateway {
    /// Applies all effects of the router and the subsystems, including those that they cause.
    pub(super) fn apply_effects(&mut self, now: f64) {
        loop {
            self.apply_router_effects(now);
            if !self.poll_subsystems(now) {
                return;
            }
        }
    }

    fn apply_router_effects(&mut self, now: f64) {
        while let Some(effect) = self.router.next_effect() {
            self.apply_router_effect(now, effect);
        }
    }

    fn apply_router_effect(&mut self, now: f64, effect: Effect) {
        match effect {
            Effect::SendAttempt { key, client, .. } if !self.should_send(now, key, client) => {}
            Effect::SendAttempt { key, member, endpoint, client, call, options, unsent_timeout } => {
                let name = self.router.member_name(member);
                let event = Event::AttemptSent { key, client, class: &call.class, member: name };
                self.subsystems.notify(&context(now, &self.router), &event);
                let parts = upstream::encode_attempt(&call, &options);
                let message = MemberMessage::Attempt { parts, unsent_timeout };
                self.send_attempt(now, (key, member, endpoint), &call.name, message);
            }
            Effect::SendHealthCheck { key, member, endpoint } => {
                let name = format!("p{:x}", key & 0xffff_ffff);
                self.send_attempt(now, (key, member, endpoint), &name, MemberMessage::HealthCheck);
            }
            Effect::CancelAttempt { key, .. } => self.cancel_attempt(now, key),
            Effect::Answer { client, id, answer, copy } => match client {
                0..FIRST_LINK_CLIENT => self.answer_client(now, client, id, &answer),
                FIRST_LINK_CLIENT.. => {
                    self.subsystems.routed(&context(now, &self.router), client, answer, copy);
                }
            },
            Effect::Purged { object, group, age } => {
                self.notify(now, &Event::Purged { object, group, age });
            }
            Effect::HealthChecked { member, healthy } => {
                self.notify(now, &Event::HealthChecked { member, healthy });
            }
            Effect::MembersChanged(members) => {
                self.notify(now, &Event::MemberListChanged { members: &members });
            }
            Effect::CloseIdle(member) => self.retire_upstreams(member),
            Effect::ProcessGone(member) => self.give_up_process(now, member),
            Effect::Log(text) => self.log_peer(&text),
        }
    }

    /// Whether an attempt must still be sent, after reading what its client has sent meanwhile. If not, a later effect
    /// of the router cancels it.
    fn should_send(&mut self, now: f64, key: AttemptKey, client: ClientId) -> bool {
        self.read_client_before_send(now, client);
        self.router.is_attempt_active(key)
    }

    /// Polls the subsystems for effects and applies them. Returns whether there were any.
    fn poll_subsystems(&mut self, now: f64) -> bool {
        if !self.subsystems.is_any_enabled() {
            return false;
        }
        let (mut rejects_requests, mut rejects_bodies, mut memory_room) = (false, false, 0);
        if self.subsystems.has_sites() {
            rejects_requests = self.is_memory_full(0) || self.is_rejecting();
            rejects_bodies = rejects_requests || self.is_memory_full(limits::CLIENT_BODY);
            memory_room = self.memory_room();
        }
        let router = &self.router;
        self.subsystems.poll(&Context { now, router, rejects_requests, rejects_bodies, memory_room });
        let any = self.apply_subsystem_effects(now);
        self.flush_links(now) || any
    }

    /// Applies the queued effects of the subsystems. Returns whether there were any.
    pub(super) fn apply_subsystem_effects(&mut self, now: f64) -> bool {
        let mut any = false;
        while let Some(effect) = self.subsystems.next_effect() {
            any = true;
            self.apply_subsystem_effect(now, effect);
        }
        any
    }

    fn apply_subsystem_effect(&mut self, now: f64, effect: SubsystemEffect) {
        match effect {
            SubsystemEffect::Answer { client, id, answer } => {
                self.router.counters.count(&answer);
                self.answer_client(now, client, id, &answer);
            }
            SubsystemEffect::Route { client, call } => self.router.request(now, client, 0, *call),
            SubsystemEffect::Abort(client) => self.router.cancel(now, client, 0),
            SubsystemEffect::CountReceived => self.router.counters.accepted += 1,
            SubsystemEffect::CountCancelled => self.router.counters.cancelled += 1,
            SubsystemEffect::Purge { object, group, age } => self.router.purged(now, object, group, age),
            SubsystemEffect::Notify(note) => self.notify(now, &Event::Notified(&note)),
            SubsystemEffect::ConnectLink { peer, address_index, to } => {
                self.connect_link(now, peer, address_index, to);
            }
            SubsystemEffect::SendFrame(link, frame) => self.send_frame(link, &frame),
            SubsystemEffect::CloseLink(link, why) => self.close_link_when_written(now, link, &why),
            SubsystemEffect::ConnectCollector { index, to, transport } => {
                self.connect_collector(now, index, to, transport);
            }
            SubsystemEffect::SendToCollector { index, number, message } => {
                self.send_to_collector(now, index, number, message);
            }
            SubsystemEffect::CloseCollector(index) => self.close_collector(index),
            SubsystemEffect::ReorderCollectors(previous) => self.reorder_collectors(&previous),
            SubsystemEffect::SendDatagram { to, bytes } => {
                if let Some(socket) = &mut self.fleet_socket {
                    socket.send(to, &bytes);
                }
            }
            SubsystemEffect::HealthCheck(member) => self.router.health_check(now, member),
            SubsystemEffect::EjectMembers(members) => self.router.set_ejected(now, &members),
            SubsystemEffect::WakeTask { task, at: Some(at) } => self.background.wake_at(task, at),
            SubsystemEffect::WakeTask { task, at: None } => self.background.wake(micros(now), task),
            SubsystemEffect::WakeLoopAt(at) => {
                self.timers.schedule(at, TimerTask::WakeLoop);
            }
            SubsystemEffect::LogPeer(text) => self.log_peer(&text),
        }
    }

    /// Runs a subsystem's background task until `end`. Returns whether it has more to do.
    pub(super) fn run_subsystem_task(&mut self, task: TaskId, end: Micros) -> bool {
        loop {
            let now = clock::now();
            if self.subsystems.sends_to_collectors(task) {
                self.close_gone_collectors(now);
            }
            let more = self.subsystems.run_task(&context(now, &self.router), task, end);
            self.apply_subsystem_effects(now);
            if !more || micros(clock::now()) >= end {
                return more;
            }
        }
    }
}
