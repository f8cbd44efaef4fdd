//! This instance among the others of its fleet: datagrams, probes of members for all, members that are held back, and which
//! requests pass while the fleet is overloaded.

use crate::program::subsystem::{Callers, Context, Effect, Effects, Event, Subsystem, Verdict, ended};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::Word;
use crate::routing::{AttemptKey, ClientId, Router};
use crate::transport::clock;
use deckproxy_control::interface::{self, Lifecycle};
use deckproxy_fleet::fleet::{self, Listed, Seen};
use deckproxy_fleet::instance::Name;
use deckproxy_fleet::overload::{self, Asked, Ended, Ticket};
use deckproxy_fleet::view::Standing;
use deckproxy_fleet::wire::DOUBTS;
use deckproxy_flow::meter::Outcome;
use deckproxy_operator::{Client, Operator, Platform};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};

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
    /// Clients' requests, where the fleet's overload is handled as one.
    requests: Option<Requests>,
}

/// Requests that passed and have no answer yet.
struct Requests {
    open: BTreeMap<(ClientId, u32), Ticket>,
    classes: HashMap<Box<str>, usize>,
    callers: Callers,
    /// Clients are told when to come back.
    advice: bool,
}

/// Attempts that are remembered; those that end unseen would stay else.
const ATTEMPTS: usize = 65_536;

fn listed(router: &Router) -> impl Iterator<Item = Listed> + '_ {
    router.listed_members().map(|(member, name)| Listed {
        id: member.id,
        name: name.into(),
        zone: router.conf().zones.get(member.zone as usize).map_or("", String::as_str).into(),
        kind: member.kind,
        ready: member.lifecycle == Lifecycle::Ready,
    })
}

/// What the platform says that overload has to do with.
fn platform(router: &Router) -> Platform {
    let settings = &router.conf().settings;
    let effect = |c: &interface::Class| c.write || c.idempotency != interface::Idempotency::Idempotent;
    Platform {
        classes: settings.classes.iter().map(|c| (c.priority_weight, effect(c))).collect(),
        advice: settings.retry_after,
        most_back: settings.max_retry_after,
    }
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
        let mut requests = None;
        if let Some(overload) = &file.overload {
            let platform = platform(router);
            settings.overload = Some(overload.settings(&file.name, &platform));
            let classes = conf.classes.iter().enumerate().map(|(i, name)| (name.as_str().into(), i));
            requests = Some(Requests {
                open: BTreeMap::new(),
                classes: classes.collect(),
                callers: Callers::known_by(overload.known_by() == Client::Address),
                advice: platform.advice,
            });
        }
        let own = settings.own.clone();
        info!(log, "fleet: takes part"; "fleet" => &file.name, "instance" => &*own.name, "zone" => &*own.zone,
            "address" => %own.address, "start" => start);
        // The platform may give the same seed to all.
        let seed = seed ^ start.rotate_left(32) ^ deckproxy_fleet::rendezvous::key(&own.name);
        let mut core = fleet::Fleet::new(clock::steady(), settings, seed);
        core.list(listed(router));
        let mut fleet = Fleet {
            log: log.clone(),
            core,
            named: (name.to_string(), zone.to_string()),
            probes,
            members: HashMap::new(),
            attempts: HashMap::new(),
            requests,
        };
        fleet.relist(router);
        Ok(Some(Box::new(fleet)))
    }

    fn relist(&mut self, router: &Router) {
        self.core.list(listed(router));
        self.members = router.listed_members().map(|(member, name)| (name.to_string(), member.id)).collect();
    }

    /// Whether clients' addresses are wanted.
    pub(super) fn wants_addresses(&self) -> bool {
        self.requests.as_ref().is_some_and(|r| r.callers.wants_addresses())
    }

    /// A client gave requests up, or has gone with all of them.
    fn gone(&mut self, id: ClientId, requests: std::ops::RangeInclusive<u32>) {
        let Some(all) = &mut self.requests else { return };
        let keys: Vec<_> = all.open.range((id, *requests.start())..=(id, *requests.end())).collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, ticket)| (*key, *ticket)).collect();
        for (key, ticket) in keys {
            all.open.remove(&key);
            self.core.ended(clock::steady(), &ticket, Ended::Gone, 0.0);
        }
    }

    fn attempted(&mut self, key: AttemptKey, good: bool) {
        if let Some(member) = self.attempts.remove(&key) {
            self.core.attempted(clock::steady(), member, good);
        }
    }

    /// The overload's part of the summary; empty where that is off.
    fn overload(&self) -> String {
        let Some(overload) = self.core.overload() else { return String::new() };
        let c = overload.counters;
        let [remembered, untold] = overload.sizes();
        let line = |line: &Option<overload::shed_level::ShedLine>| {
            line.map_or("none".to_string(), |l| {
                format!(
                    "{:.0}/{:.0}@{:.3}",
                    l.cap,
                    l.come,
                    f64::from(l.rank) / f64::from(overload::rank::RANKS)
                )
            })
        };
        let [caches, sources] = &overload.cut().things;
        format!(
            ",overload[epoch:{},caches:{},sources:{},leads:{},passed:{},kept:{},refused[hasty:{},below:{},no_budget:{},broken:{}],\
             promised:{},remembered:{remembered},untold:{untold}]",
            overload.cut().epoch,
            line(caches),
            line(sources),
            overload.leads(),
            c.passed,
            c.kept,
            c.hasty,
            c.below,
            c.no_budget,
            c.broken,
            c.promised,
        )
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
        if self.requests.is_some() {
            if let Some((client, requests)) = ended(event) {
                self.gone(client, requests);
            }
            self.requests.iter_mut().for_each(|r| r.callers.event(event));
        }
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
            Event::Kept => self.core.load(u32::try_from(cx.router.unanswered()).unwrap_or(u32::MAX)),
            Event::Ending => self.core.leave(clock::steady()),
            _ => {}
        }
    }

    /// A request came: the answer to it, where it does not pass.
    fn request(&mut self, _: &Context<'_>, of: (ClientId, u32), call: &Call, _: &mut Effects) -> Verdict {
        let Some(all) = &mut self.requests else { return Verdict::Pass };
        // What names no class is not for the fleet to judge.
        let Some(class) = all.classes.get(&call.class).copied() else { return Verdict::Pass };
        let client = all.callers.of(of.0);
        let asked = Asked {
            client,
            class,
            object: call.object.1,
            left: call.allow,
            size: call.size,
            again: call.again,
        };
        match self.core.request(clock::steady(), asked) {
            Some(overload::Verdict::Pass(ticket)) => {
                all.open.insert(of, ticket);
                Verdict::Pass
            }
            Some(overload::Verdict::Refuse(back)) => Verdict::Answer(Answer::Refused(back)),
            None => Verdict::Pass,
        }
    }

    /// A request has its final answer. Gives that with the time to come back.
    fn answer(&mut self, _: &Context<'_>, of: (ClientId, u32), answer: &Answer) -> Option<Answer> {
        let all = self.requests.as_mut()?;
        let ticket = all.open.remove(&of)?;
        let (ended, back) = match answer {
            Answer::Served(_) | Answer::Unchanged => (Ended::Served, 0.0),
            Answer::Refused(back) => (Ended::Refused, *back),
            Answer::Failed => (Ended::Failed, 0.0),
            // That says nothing of how the fleet does.
            Answer::Unusable(_) => return None,
        };
        let back = self.core.ended(clock::steady(), &ticket, ended, back);
        (ended == Ended::Refused && all.advice).then_some(Answer::Refused(back))
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
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, _: &mut Effects) {
        let Some(new) = &operator.fleet else { return };
        let own = self.core.settings().own.clone();
        match new.settings(&self.named.0, &self.named.1, own.start) {
            Err(why) => warn!(self.log, "reload: the fleet's settings stay"; "why" => why),
            Ok(mut settings) => {
                if !self.probes {
                    settings.observers = 0;
                }
                settings.overload =
                    new.overload.as_ref().map(|o| o.settings(&new.name, &platform(cx.router)));
                if self.core.reload(settings) {
                    warn!(
                        self.log,
                        "reload: the fleet's name, listen, instance, zone, address, weight and overload take a restart"
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
        ) + &self.overload()
    }
}
