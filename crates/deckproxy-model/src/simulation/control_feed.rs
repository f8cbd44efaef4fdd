//! The control feed: what gateways are notified of, and when.

use super::Simulation;
use super::event::Event;
use super::gateways::NotifiedPurge;
use super::setup::random_purpose;
use crate::balancer::EndpointEntry;
use crate::check::TraceEvent;
use crate::members::{Member, MemberId, MemberKind};
use crate::{Micros, micros, random_stream, saturating_u32, unix_ms};
use deckproxy::protocol::feed::Lifecycle;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// Delay from an observation or purge until a gateway is notified, in milliseconds.
const NOTIFICATION_DELAY_MS: Range<f64> = 20.0..120.0;

/// The state of the control feed.
#[derive(Debug)]
pub(super) struct ControlFeed {
    delay_rng: Pcg64Mcg,
    /// Whether a fault keeps it from observing members.
    pub(super) silent: bool,
    /// Members that it did not observe while it was silent.
    unobserved: Vec<MemberId>,
}

impl ControlFeed {
    pub(super) fn new(seed: u64) -> Self {
        ControlFeed {
            delay_rng: random_stream(seed, random_purpose::FAULTS, 1),
            silent: false,
            unobserved: Vec::new(),
        }
    }

    fn notification_delay(&mut self) -> Micros {
        micros(self.delay_rng.random_range(NOTIFICATION_DELAY_MS))
    }
}

impl Simulation {
    /// The endpoint list of a location's gateways.
    pub(super) fn endpoints_of(&self, site: usize, location: usize) -> Vec<EndpointEntry> {
        let serves = |member: &Member| {
            member.site == site && (member.kind != MemberKind::Cache || member.location == location)
        };
        let members = self.members.iter().enumerate().filter(|(_, member)| serves(member));
        members.map(|(id, _)| self.endpoint(saturating_u32(id))).collect()
    }

    fn endpoint(&self, id: MemberId) -> EndpointEntry {
        let member = self.member(id);
        EndpointEntry {
            member: id,
            name: member.name.clone(),
            is_cache: member.kind == MemberKind::Cache,
            is_origin: member.kind == MemberKind::Origin,
            lifecycle: if member.up { Lifecycle::Ready } else { Lifecycle::Gone },
            started_unix_ms: member.started.map(unix_ms),
        }
    }

    /// The feed observes the state of a member and notifies its gateways. A member that no fault keeps down
    /// starts first.
    pub(super) fn member_observed(&mut self, id: MemberId) {
        if !self.member(id).up && !self.faults.concerns(id) {
            let now = self.now;
            self.member_mut(id).start(now);
            self.checker.trace(now, TraceEvent::MemberChanged { member: id, up: true });
        }
        if self.feed.silent {
            return self.feed.unobserved.push(id);
        }
        let member = self.member(id);
        let (site, location, is_cache) = (member.site, member.location, member.kind == MemberKind::Cache);
        for gateway in self.gateway_indices() {
            let place = self.gateway(gateway).place;
            if place.site == site && (!is_cache || place.location == location) {
                let incarnation = self.gateway(gateway).incarnation;
                let delay = self.feed.notification_delay();
                self.schedule_after(delay, Event::EndpointUpdate { gateway, incarnation, member: id });
            }
        }
    }

    /// The feed observes again, and catches up with what it missed.
    pub(super) fn resume_feed(&mut self) {
        self.feed.silent = false;
        for member in std::mem::take(&mut self.feed.unobserved) {
            self.member_observed(member);
        }
    }

    /// A gateway is notified of a member's present state.
    pub(super) fn endpoint_update(&mut self, gateway: u32, incarnation: u32, member: MemberId) {
        if !self.serves(gateway, incarnation) {
            return;
        }
        let now = self.now;
        let endpoint = self.endpoint(member);
        let gone_members = &mut self.gateway_mut(gateway).gone_members;
        if endpoint.lifecycle == Lifecycle::Ready {
            gone_members.remove(&member);
        } else {
            gone_members.insert(member, now);
        }
        self.checker.trace(now, TraceEvent::GatewayNotified { gateway, member });
        self.gateway_mut(gateway).balancer.update_endpoints(now, &[endpoint]);
        self.apply_effects(gateway);
    }

    pub(super) fn schedule_purge(&mut self, site: usize) {
        let rate = self.scenario.load.purges_per_second;
        let gap_seconds = -(1.0 - self.faults.rng.random::<f64>()).ln() / rate;
        self.schedule_after(micros(gap_seconds * 1000.0).max(1), Event::Purge { site });
    }

    /// An object of a site is purged; popular ones more often.
    pub(super) fn purge_random_object(&mut self, site: usize) {
        self.schedule_purge(site);
        let purged_at = self.now;
        let seconds = purged_at as f64 / 1e6;
        let object = self.generators[site].draw(&mut self.faults.rng, seconds, 0.0).object;
        self.purges.insert(object, purged_at);
        for gateway in self.gateway_indices() {
            if self.gateway(gateway).place.site == site {
                let incarnation = self.gateway(gateway).incarnation;
                let delay = self.feed.notification_delay();
                let notice = Event::PurgeNotice { gateway, incarnation, object, purged_at };
                self.schedule_after(delay, notice);
            }
        }
    }

    /// A gateway is notified of a purge.
    pub(super) fn purge_notice(&mut self, gateway: u32, incarnation: u32, object: u64, purged_at: Micros) {
        if !self.serves(gateway, incarnation) {
            return;
        }
        let now = self.now;
        let node = self.gateway_mut(gateway);
        node.purges.insert(object, NotifiedPurge { purged_at, notified_at: now });
        node.balancer.purge(now, object, purged_at);
        self.apply_effects(gateway);
    }
}
