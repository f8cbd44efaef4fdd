//! Fleet membership of this instance: gossip datagrams, health checks shared with the other instances, member ejection,
//! and admission control while the fleet is overloaded.

mod admission;
mod report;

use crate::program::subsystem::{
    Context, Effect, Effects, Event, Field, RequestKey, Subsystem, Verdict, platform_settings,
};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::Status;
use crate::routing::{AttemptKey, Router};
use crate::transport::clock;
use admission::RequestAdmission;
use deckproxy_control::interface::{Lifecycle, Member, MemberId};
use deckproxy_fleet::fleet::{self, ListedMember};
use deckproxy_flow::meter::Outcome;
use deckproxy_operator::{Client, FleetSettingsError, Operator};
use slog::{Logger, info, warn};
use std::collections::HashMap;

/// The subsystem that connects this instance to its fleet.
pub struct Fleet {
    log: Logger,
    core: fleet::Fleet,
    /// The platform's names for this instance and its zone, the defaults when an operator file is reloaded.
    platform_names: PlatformNames,
    /// Whether the platform allows health checks.
    health_checks: bool,
    /// Member ids by name.
    members: HashMap<String, u32>,
    /// Attempts at half-open members, which decide whether the member is readmitted: the member's id by attempt key.
    trial_attempts: HashMap<AttemptKey, u32>,
    /// Admission control of client requests, if the fleet's overload control is configured.
    admission: Option<RequestAdmission>,
}

/// Names from the platform's configuration.
struct PlatformNames {
    /// This instance.
    instance: String,
    /// Its zone.
    zone: String,
}

/// Most trial attempts tracked at a time, as an attempt whose end is never reported would otherwise stay forever.
const MAX_TRIAL_ATTEMPTS: usize = 65_536;

/// A member of the router in the form that the fleet needs.
fn listed_member(router: &Router, member: &Member, name: &str) -> ListedMember {
    ListedMember {
        id: member.id,
        name: name.into(),
        zone: router.instance_settings().zones.get(member.zone as usize).map_or("", String::as_str).into(),
        kind: member.kind,
        ready: member.lifecycle == Lifecycle::Ready,
    }
}

impl Fleet {
    /// Joins the fleet that the operator file configures; returns none if it configures none.
    ///
    /// # Errors
    /// One of the fleet's names is missing or invalid.
    pub(super) fn start(
        log: &Logger,
        name: &str,
        router: &Router,
        seed: u64,
        operator: &Operator,
    ) -> Result<Option<Box<Self>>, FleetSettingsError> {
        let Some(file) = &operator.fleet else { return Ok(None) };
        let conf = router.instance_settings();
        let zone = conf.zones.get(conf.settings.zone as usize).map_or("", String::as_str);
        // An incarnation number must exceed the previous one. If the clock was set back in between, other instances
        // refute the number and this instance raises it.
        let start = clock::now() as u64;
        let mut settings = file.settings(name, zone, start)?;
        let health_checks = conf.limits.health_checks;
        if !health_checks && settings.observers > 0 {
            warn!(log, "fleet: the platform allows no health checks: members are not observed");
            settings.observers = 0;
        }
        let mut admission = None;
        if let Some(overload) = &file.overload {
            let platform = platform_settings(conf);
            settings.overload = Some(overload.settings(&file.name, &platform));
            let by_address = overload.client_identity() == Client::Address;
            admission = Some(RequestAdmission::new(&conf.classes, by_address, platform.sends_retry_after));
        }
        let own = settings.own.clone();
        info!(log, "fleet: joining"; "fleet" => &file.name, "instance" => &*own.name, "zone" => &*own.zone,
            "address" => %own.address, "incarnation" => start);
        // The platform may give the same seed to all instances.
        let seed = seed ^ start.rotate_left(32) ^ deckproxy_fleet::rendezvous::hash_of_name(&own.name);
        let mut core = fleet::Fleet::new(clock::steady(), settings, seed);
        core.set_members(router.listed_members().map(|(member, name)| listed_member(router, member, name)));
        let members = router.listed_members().map(|(member, name)| (name.to_string(), member.id)).collect();
        let fleet = Fleet {
            log: log.clone(),
            core,
            platform_names: PlatformNames { instance: name.to_string(), zone: zone.to_string() },
            health_checks,
            members,
            trial_attempts: HashMap::new(),
            admission,
        };
        Ok(Some(Box::new(fleet)))
    }

    /// Updates the entries of some members from the router's.
    fn update_members(&mut self, router: &Router, changed: &[MemberId]) {
        for id in changed {
            match router.listed_member(*id) {
                Some((member, name)) => {
                    self.members.insert(name.to_string(), *id);
                    self.core.set_member(listed_member(router, member, name));
                }
                None => self.remove_member(*id),
            }
        }
    }

    fn remove_member(&mut self, id: MemberId) {
        let Some(removed) = self.core.remove_member(id) else { return };
        if self.members.get(&*removed.name) == Some(&id) {
            self.members.remove(&*removed.name);
        }
    }

    /// Whether connect events have to carry the client's address.
    pub(super) fn wants_addresses(&self) -> bool {
        self.admission.as_ref().is_some_and(admission::RequestAdmission::wants_addresses)
    }

    /// Records an attempt if its member is half-open.
    fn trial_sent(&mut self, key: AttemptKey, member: &str) {
        let Some(member) = self.members.get(member).copied() else { return };
        if !self.core.is_on_trial(member) {
            return;
        }
        if self.trial_attempts.len() >= MAX_TRIAL_ATTEMPTS {
            self.trial_attempts.clear();
        }
        self.trial_attempts.insert(key, member);
    }

    /// Reports the result of an attempt that was recorded as a trial.
    fn trial_ended(&mut self, key: AttemptKey, good: bool) {
        if let Some(member) = self.trial_attempts.remove(&key) {
            self.core.attempt_ended(clock::steady(), member, good);
        }
    }
}

impl Subsystem for Fleet {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, _: &mut Effects) {
        if let Some(admission) = &mut self.admission {
            admission.event(&mut self.core, event);
        }
        match *event {
            Event::Datagram { from, bytes } => self.core.handle_datagram(clock::steady(), from, bytes),
            Event::HealthChecked { member, healthy } => {
                self.core.health_checked(clock::steady(), member, healthy);
            }
            Event::MemberListChanged { members } => self.update_members(cx.router, members),
            Event::AttemptSent { key, member, .. } if self.core.has_trials() => self.trial_sent(key, member),
            Event::MemberReplied { key: Some(key), status, .. } if !self.trial_attempts.is_empty() => {
                // A member that is overloaded or has no copy is not faulty.
                self.trial_ended(key, !matches!(status, Status::Error));
            }
            Event::AttemptEnded { key, outcome } if !self.trial_attempts.is_empty() => match outcome {
                Outcome::Failed => self.trial_ended(key, false),
                _ => drop(self.trial_attempts.remove(&key)),
            },
            Event::Housekeeping => {
                self.core.set_open_requests(u32::try_from(cx.router.unanswered()).unwrap_or(u32::MAX));
            }
            Event::ShutdownBegan => self.core.leave(clock::steady()),
            _ => {}
        }
    }

    fn request(&mut self, _: &Context<'_>, request: RequestKey, call: &Call, _: &mut Effects) -> Verdict {
        match &mut self.admission {
            Some(admission) => admission.request(&mut self.core, request, call),
            None => Verdict::Pass,
        }
    }

    fn answer(&mut self, _: &Context<'_>, request: RequestKey, answer: &Answer) -> Option<Answer> {
        self.admission.as_mut().and_then(|admission| admission.answer(&mut self.core, request, answer))
    }

    fn poll(&mut self, _: &Context<'_>, out: &mut Effects) {
        while let Some(effect) = self.core.next_effect() {
            match effect {
                fleet::Effect::Send { to, bytes } => out.push_back(Effect::SendDatagram { to, bytes }),
                fleet::Effect::HealthCheck(member) => out.push_back(Effect::HealthCheck(member)),
                fleet::Effect::Eject(members) => out.push_back(Effect::EjectMembers(members)),
                fleet::Effect::StatusChanged(status) => self.log_status(&status),
                fleet::Effect::Log(text) => info!(self.log, "fleet"; "what" => text),
            }
        }
    }

    fn next_due(&self) -> Option<f64> {
        Some(clock::now() + self.core.next_due() - clock::steady())
    }

    fn tick(&mut self, _: &Context<'_>, _: &mut Effects) {
        self.core.tick(clock::steady());
    }

    /// Applies seeds, prefixes, paths, budgets and health check settings of a new operator file.
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, _: &mut Effects) {
        let Some(new) = &operator.fleet else { return };
        let own = self.core.settings().own.clone();
        let names = &self.platform_names;
        match new.settings(&names.instance, &names.zone, own.incarnation) {
            Err(error) => warn!(self.log, "reload: the fleet's settings stay"; "error" => %error),
            Ok(mut settings) => {
                if !self.health_checks {
                    settings.observers = 0;
                }
                settings.overload = new
                    .overload
                    .as_ref()
                    .map(|o| o.settings(&new.name, &platform_settings(cx.router.instance_settings())));
                if self.core.reload(settings) {
                    warn!(
                        self.log,
                        "reload: the fleet's name, listen, instance, zone, address, weight and overload take a restart"
                    );
                }
                info!(self.log, "reload: the fleet's settings are in force");
            }
        }
    }

    fn summary(&mut self) -> Vec<Field> {
        self.report()
    }
}
