//! This instance among the others of its fleet: datagrams, probes of members for all, and members that are held back.

use crate::program::subsystem::{Context, Effect, Effects, Event, Subsystem};
use crate::protocol::back::Word;
use crate::routing::router::{AttemptKey, Router};
use crate::transport::clock;
use deckproxy_control::interface::Lifecycle;
use deckproxy_fleet::fleet::{self, Listed, Seen};
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::view::Standing;
use deckproxy_fleet::wire::DOUBTS;
use deckproxy_flow::meter::Outcome;
use deckproxy_operator::Operator;
use slog::{Logger, info, warn};
use std::collections::HashMap;

/// One instance's part in its fleet.
pub struct Fleet {
    log: Logger,
    core: fleet::Fleet,
    /// The platform's names for this instance and its locality, which a new operator file may leave in force.
    named: (String, String),
    /// Whether the platform allows probes.
    probes: bool,
    /// Members by name.
    members: HashMap<String, u32>,
    /// Attempts at members that are tried, by key.
    attempts: HashMap<AttemptKey, u32>,
}

/// Attempts that are remembered; those that end unseen would stay else.
const ATTEMPTS: usize = 65_536;

fn listed(router: &Router) -> impl Iterator<Item = Listed> + '_ {
    router.listed().map(|(member, name)| Listed {
        id: member.id,
        name: name.into(),
        zone: router.conf().zones.get(member.zone as usize).map_or("", String::as_str).into(),
        kind: member.kind,
        ready: member.lifecycle == Lifecycle::Ready,
    })
}

impl Fleet {
    /// Starts what the operator file asks for; none where it asks for nothing. The error tells what a name lacks.
    pub(super) fn start(
        log: &Logger,
        name: &str,
        router: &Router,
        seed: u64,
        operator: &Operator,
    ) -> Result<Option<Box<Self>>, String> {
        let Some(file) = &operator.fleet else { return Ok(None) };
        let conf = router.conf();
        let zone = conf.zones.get(conf.settings.zone as usize).map_or("", String::as_str);
        // The number of a life has to be higher than that of the last one. Where the clock went back meanwhile, the others
        // tell, and the number is raised.
        let start = clock::now() as u64;
        let mut settings = file.settings(name, zone, start)?;
        let probes = conf.limits.probes;
        if !probes && settings.observers > 0 {
            warn!(log, "fleet: the platform allows no probes: members are not observed");
            settings.observers = 0;
        }
        let own = settings.own.clone();
        info!(log, "fleet: takes part"; "fleet" => &file.name, "instance" => &*own.name, "zone" => &*own.zone,
            "address" => %own.address, "start" => start);
        // The platform may give the same seed to all.
        let seed = seed ^ start.rotate_left(32) ^ deckproxy_fleet::duties::key(&own.name);
        let mut core = fleet::Fleet::new(clock::steady(), settings, seed);
        core.list(listed(router));
        let mut fleet = Fleet {
            log: log.clone(),
            core,
            named: (name.to_string(), zone.to_string()),
            probes,
            members: HashMap::new(),
            attempts: HashMap::new(),
        };
        fleet.relist(router);
        Ok(Some(Box::new(fleet)))
    }

    fn relist(&mut self, router: &Router) {
        self.core.list(listed(router));
        self.members = router.listed().map(|(member, name)| (name.to_string(), member.id)).collect();
    }

    fn attempted(&mut self, key: AttemptKey, good: bool) {
        if let Some(member) = self.attempts.remove(&key) {
            self.core.attempted(clock::steady(), member, good);
        }
    }

    fn seen(&self, seen: &Seen) {
        let names = |all: &[Name]| all.iter().map(|name| &**name).collect::<Vec<_>>().join(" ");
        let view = &seen.view;
        info!(self.log, "fleet view"; "heard" => names(&seen.heard), "lost" => names(&seen.lost),
            "sure" => view.sure, "expected" => view.expected, "larger" => view.larger, "old" => view.old, "observes" => self.core.observed(), "held" => seen.held,
            "board" => format!("{:016x}", seen.board));
    }
}

impl Subsystem for Fleet {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, _: &mut Effects) {
        match *event {
            Event::Datagram { from, bytes } => self.core.datagram(clock::steady(), from, bytes),
            Event::Probed { member, good } => self.core.probed(clock::steady(), member, good),
            Event::Listed => self.relist(cx.router),
            Event::Sent { key, member, .. } if self.core.tries() => {
                if let Some(member) = self.members.get(member).copied().filter(|m| self.core.is_tried(*m)) {
                    if self.attempts.len() >= ATTEMPTS {
                        self.attempts.clear();
                    }
                    self.attempts.insert(key, member);
                }
            }
            Event::MemberAnswered { key: Some(key), word, .. } if !self.attempts.is_empty() => {
                // That it is full or has no copy says nothing against it.
                self.attempted(key, !matches!(word, Word::Error));
            }
            Event::AttemptEnded { key, outcome } if !self.attempts.is_empty() => match outcome {
                Outcome::Failed => self.attempted(key, false),
                _ => drop(self.attempts.remove(&key)),
            },
            Event::Kept => self.core.load(u32::try_from(cx.router.owed()).unwrap_or(u32::MAX)),
            Event::Ending => self.core.leave(clock::steady()),
            _ => {}
        }
    }

    fn pump(&mut self, _: &Context<'_>, out: &mut Effects) {
        while let Some(effect) = self.core.effect() {
            match effect {
                fleet::Effect::Send(to, bytes) => out.push_back(Effect::Datagram { to, bytes }),
                fleet::Effect::Probe(member) => out.push_back(Effect::Probe(member)),
                fleet::Effect::Hold(members) => out.push_back(Effect::HoldBack(members)),
                fleet::Effect::Seen(seen) => self.seen(&seen),
                fleet::Effect::Log(text) => info!(self.log, "fleet"; "what" => text),
            }
        }
    }

    fn due(&self) -> Option<f64> {
        Some(clock::now() + self.core.next_due() - clock::steady())
    }

    fn tick(&mut self, _: &Context<'_>, _: &mut Effects) {
        self.core.tick(clock::steady());
    }

    /// Takes seeds, prefixes, ways, budgets and probes from a new operator file.
    fn reload(&mut self, _: &Context<'_>, operator: &Operator, _: &mut Effects) {
        let Some(new) = &operator.fleet else { return };
        let own = self.core.settings().own.clone();
        match new.settings(&self.named.0, &self.named.1, own.start) {
            Err(why) => warn!(self.log, "reload: the fleet's settings stay"; "why" => why),
            Ok(mut settings) => {
                if !self.probes {
                    settings.observers = 0;
                }
                if self.core.reload(settings) {
                    warn!(
                        self.log,
                        "reload: the fleet's name, listen, instance, zone, address and weight take a restart"
                    );
                }
                info!(self.log, "reload: the fleet's settings are taken");
            }
        }
    }

    fn summary(&mut self) -> String {
        let c = self.core.counters;
        let view = self.core.view();
        let doubts = DOUBTS.iter().zip(c.doubted).filter(|(_, n)| *n > 0);
        let doubts: Vec<String> = doubts.map(|(what, n)| format!("{what}:{n}")).collect();
        let lost = self.core.standing(Standing::Lost).count();
        let (authors, entries) = self.core.board().sizes();
        format!(
            "heard:{}/{},sure:{},lost:{lost},larger:{},old:{},observes:{},held:{},probes:{},board[authors:{authors},\
             entries:{entries},over:{}],datagrams[sent:{},bytes:{},kept_back:{},taken:{},dropped[{}]],renewed:{},pauses:{}",
            view.heard,
            view.expected,
            view.sure,
            view.larger,
            view.old,
            self.core.observed(),
            self.core.held().len(),
            c.probes,
            c.over,
            c.sent,
            c.sent_bytes,
            c.held_back,
            c.taken,
            doubts.join(" "),
            c.renewed,
            c.pauses,
        )
    }
}
