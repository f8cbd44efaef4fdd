//! Flow export: what passed on clients', members' and links' connections is counted, and told to collectors in the time
//! that requests leave.

use crate::program::subsystem::{
    Context, Effect, Effects, Event, FIRST_LINK_CLIENT, Note, Subsystem, micros, outcome_of,
};
use crate::protocol::upstream::Status;
use crate::routing::{AttemptKey, ClientId};
use crate::transport::clock;
use crate::transport::outbox::Written;
use ahash::RandomState;
use deckproxy_flow::account::{self, Asker, Attempts, ClientAccount, Micros, Names};
use deckproxy_flow::export::{self, Exporter, Place, Transport};
use deckproxy_flow::meter::{Flow, Meter, Name, Outcome, Top};
use deckproxy_flow::work::{Kind, TaskId};
use deckproxy_operator::Operator;
use deckproxy_sites::far::Run;
use ipnet::IpNet;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Names of classes, members and sites that are told apart.
const NAMES: usize = 65_536;
/// Places for the clients with most bytes, and how many of them a summary names.
const TOP: usize = 64;
const TOLD: usize = 3;
/// Flows looked at, and messages made, before the time is looked at again.
const LOOKS: usize = 64;
const MESSAGES: usize = 2;
/// How long the two tasks may run at one time, and wait, microseconds.
const TELLING: Kind = Kind { weight: 2, slice: 300, patience: 200_000 };
const SENDING: Kind = Kind { weight: 2, slice: 300, patience: 50_000 };
/// Microseconds until the exporter is looked at, where nothing comes up before.
const LOOK_AGAIN: Micros = 200_000;

/// The export of one gateway.
pub struct Flows {
    log: Logger,
    meter: Meter,
    exporter: Exporter,
    names: Names,
    /// Numbers of the classes that the settings have.
    classes: HashMap<Box<str>, Name, RandomState>,
    accounts: HashMap<ClientId, ClientAccount, RandomState>,
    attempts: Attempts,
    /// Requests that came over links.
    runs: HashMap<Run, (Asker, Micros), RandomState>,
    /// Clients with most bytes since the last summary.
    top: Top<IpNet>,
    collectors: Vec<(SocketAddr, Transport)>,
    operator: deckproxy_operator::Flows,
    telling: TaskId,
    sending: TaskId,
    /// Microseconds from one look at all flows to the next.
    rest: Micros,
    found: Vec<Flow>,
    /// Until when a planned end waits for flows to be told.
    until: Option<f64>,
}

fn reply_outcome(word: Status) -> Outcome {
    match word {
        Status::Ok | Status::NotModified => Outcome::Served,
        Status::Miss => Outcome::Missed,
        Status::Rejected => Outcome::Refused,
        Status::Expired => Outcome::Cut,
        Status::Error | Status::Health(_) => Outcome::Failed,
    }
}

impl Flows {
    /// Starts what the operator file asks for; none where it asks for nothing.
    pub(super) fn start(
        log: &Logger,
        now: f64,
        seed: u64,
        classes: &[String],
        operator: &Operator,
        tasks: &mut deckproxy_flow::work::Scheduler,
    ) -> Option<Box<Self>> {
        let flows = operator.flows.as_ref()?;
        let (limits, collectors) = (flows.limits(), flows.reached());
        let mut names = Names::new(NAMES);
        let classes = classes.iter().map(|c| (c.as_str().into(), names.number(c))).collect();
        let ways: Vec<Transport> = collectors.iter().map(|(_, how)| *how).collect();
        let telling = tasks.add(TELLING);
        let sending = tasks.add(SENDING);
        tasks.wake(micros(now), telling);
        tasks.wake(micros(now), sending);
        Some(Box::new(Flows {
            log: log.clone(),
            meter: Meter::new(limits),
            // Numbers begin anywhere: a collector that remembers an earlier process takes that for a new beginning.
            exporter: Exporter::new(flows.settings(), &ways, seed as u32, now as u64),
            names,
            classes,
            accounts: HashMap::default(),
            attempts: Attempts::default(),
            runs: HashMap::default(),
            top: Top::new(TOP),
            collectors,
            operator: flows.clone(),
            telling,
            sending,
            rest: (limits.idle * 1000 / 4).clamp(20_000, 1_000_000),
            found: Vec::new(),
            until: None,
        }))
    }

    /// How many collectors there are.
    pub(super) fn collectors(&self) -> usize {
        self.collectors.len()
    }

    /// Whether a background task is the one that sends.
    pub(super) fn is_sending_task(&self, task: TaskId) -> bool {
        self.sending == task
    }

    // ---- Clients -------------------------------------------------------------------------------------------

    fn client_came(&mut self, id: ClientId, address: Option<IpAddr>) {
        let client = address.map(|a| self.meter.client(a));
        self.accounts.insert(id, ClientAccount::new(client));
    }

    /// A client's request came, of so many bytes; one that can't be read has no class.
    fn asked(&mut self, now: f64, id: ClientId, request: u32, class: &str, bytes: usize) {
        let class = self.classes.get(class).copied().unwrap_or(0);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.asked(&mut self.meter, micros(now), request, class, bytes as u64);
        }
    }

    fn heard(&mut self, now: f64, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.heard(&mut self.meter, micros(now), bytes as u64);
        }
    }

    fn crosses(&mut self, id: ClientId, request: u32, site: &str) {
        let site = self.names.number(site);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.crosses(request, site);
        }
    }

    /// An answer was put behind what waits for a client; `request` none: it answers none.
    fn answered(&mut self, id: ClientId, request: Option<u32>, outcome: Outcome) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.answered(request, outcome);
        }
    }

    fn client_wrote(&mut self, now: f64, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.written(&mut self.meter, micros(now), bytes as u64);
            if let Some(client) = account.client() {
                self.top.add(client, bytes as u64);
            }
        }
    }

    fn client_gave_up(&mut self, now: f64, id: ClientId, request: u32) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.gone(&mut self.meter, micros(now), request);
        }
    }

    fn client_gone(&mut self, now: f64, id: ClientId, cut: usize, unread: usize) {
        if let Some(mut account) = self.accounts.remove(&id) {
            account.end(&mut self.meter, micros(now), cut as u64, unread as u64);
        }
    }

    // ---- Members -------------------------------------------------------------------------------------------

    /// An attempt begins for a client, or for a request that came over a link.
    fn sent(&mut self, now: f64, key: AttemptKey, client: ClientId, class: &str, member: &str) {
        let asker = match client {
            0..FIRST_LINK_CLIENT => {
                let class = self.classes.get(class).copied().unwrap_or(0);
                let client = self.accounts.get(&client).and_then(ClientAccount::client);
                Asker { client, class, site: 0 }
            }
            FIRST_LINK_CLIENT.. => {
                self.runs.get(&(client - FIRST_LINK_CLIENT)).map_or_else(Asker::default, |(asker, _)| *asker)
            }
        };
        let member = self.names.number(member);
        self.attempts.sent(micros(now), key, asker, member);
    }

    fn member_wrote(&mut self, now: f64, member: &str, written: Written) {
        let bytes = written.bytes as u64;
        if !self.attempts.wrote(written.key, bytes) {
            let member = self.names.number(member);
            Attempts::other(&mut self.meter, micros(now), member, 0, bytes);
        }
    }

    /// An answer came from a member, of so many bytes; `key` none: to nothing that is out.
    fn member_answered(
        &mut self,
        now: f64,
        member: &str,
        key: Option<AttemptKey>,
        word: Status,
        bytes: usize,
    ) {
        let outcome = reply_outcome(word);
        let attempts = &mut self.attempts;
        let own = key.is_some_and(|k| attempts.ended(&mut self.meter, micros(now), k, outcome, bytes as u64));
        if !own {
            self.member_heard(now, member, bytes);
        }
    }

    /// Bytes came from a member that are no whole answer.
    fn member_heard(&mut self, now: f64, member: &str, bytes: usize) {
        if bytes > 0 {
            let member = self.names.number(member);
            Attempts::other(&mut self.meter, micros(now), member, bytes as u64, 0);
        }
    }

    /// An attempt ended without an answer.
    fn attempt_ended(&mut self, now: f64, key: AttemptKey, outcome: Outcome) {
        self.attempts.ended(&mut self.meter, micros(now), key, outcome, 0);
    }

    // ---- Links ---------------------------------------------------------------------------------------------

    /// A request came over a link.
    fn run_began(&mut self, now: f64, run: Run, class: &str, site: Option<&str>) {
        let class = self.classes.get(class).copied().unwrap_or(0);
        let site = self.names.number(site.unwrap_or(""));
        self.runs.insert(run, (Asker { client: None, class, site }, micros(now)));
    }

    /// It has its answer, or was given up there.
    fn run_over(&mut self, now: f64, run: Run, outcome: Outcome) {
        if let Some((asker, since)) = self.runs.remove(&run) {
            account::over_link(&mut self.meter, micros(now), asker, since, outcome);
        }
    }

    /// Bytes passed on a link's connection.
    fn link_passed(&mut self, now: f64, site: Option<&str>, came: usize, went: usize) {
        let site = self.names.number(site.unwrap_or(""));
        account::link(&mut self.meter, micros(now), site, came as u64, went as u64);
    }

    // ---- Work in the time that is left ---------------------------------------------------------------------

    fn tell(&mut self, end: Micros, out: &mut Effects) -> bool {
        loop {
            let now = micros(clock::now());
            let round = self.meter.tell(now / 1000, LOOKS, &mut self.found);
            if !self.found.is_empty() {
                out.push_back(Effect::WakeTask { task: self.sending, at: None });
            }
            for flow in self.found.drain(..) {
                self.exporter.push(flow);
            }
            if round {
                out.push_back(Effect::WakeTask { task: self.telling, at: Some(now + self.rest) });
                return false;
            }
            if now >= end {
                return true;
            }
        }
    }

    fn send(&mut self, now: f64, out: &mut Effects) -> bool {
        let names = &self.names;
        let more = self.exporter.work(now as u64, MESSAGES, &|n| names.name(n));
        self.exports(out);
        if !more {
            let due = self.exporter.next_due(now as u64).map(|at| at * 1000);
            let again = micros(now) + LOOK_AGAIN;
            let at = due.map_or(again, |due| due.min(again));
            out.push_back(Effect::WakeTask { task: self.sending, at: Some(at) });
        }
        more
    }

    /// What the exporter wants done.
    fn exports(&mut self, out: &mut Effects) {
        while let Some(effect) = self.exporter.effect() {
            match effect {
                export::Effect::Connect(index) => {
                    if let Some((to, transport)) = self.collectors.get(index).copied() {
                        out.push_back(Effect::ConnectCollector { index, to, transport });
                    }
                }
                export::Effect::Send(index, number, message) => {
                    out.push_back(Effect::SendToCollector { index, number, message });
                }
                export::Effect::Close(index) => out.push_back(Effect::CloseCollector(index)),
                export::Effect::Log(text) => info!(self.log, "flows"; "what" => text),
            }
        }
    }
}

impl Subsystem for Flows {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects) {
        let now = cx.now;
        let at = now as u64;
        match *event {
            Event::ClientConnected { client, address } => self.client_came(client, address),
            Event::ClientBytesReceived { client, bytes } => self.heard(now, client, bytes),
            Event::RequestReceived { client, id, class, bytes } => self.asked(now, client, id, class, bytes),
            Event::AnswerQueued { client, id, answer } => self.answered(client, Some(id), outcome_of(answer)),
            Event::PingAnswered { client } => self.answered(client, None, Outcome::Served),
            Event::ClientBytesSent { client, bytes } => self.client_wrote(now, client, bytes),
            Event::RequestCancelled { client, id } => self.client_gave_up(now, client, id),
            Event::ClientGone { client, cut, unread } => self.client_gone(now, client, cut, unread),
            Event::AttemptSent { key, client, class, member } => self.sent(now, key, client, class, member),
            Event::MemberBytesSent { member, written } => self.member_wrote(now, member, written),
            Event::MemberReplied { member, key, word, bytes } => {
                self.member_answered(now, member, key, word, bytes);
            }
            Event::MemberBytesReceived { member, bytes } => self.member_heard(now, member, bytes),
            Event::AttemptEnded { key, outcome } => self.attempt_ended(now, key, outcome),
            Event::LinkBytesReceived { site, bytes, .. } => self.link_passed(now, site, bytes, 0),
            Event::LinkBytesSent { site, bytes } => self.link_passed(now, site, 0, bytes),
            Event::CollectorConnected(index) => self.exporter.connected(at, index),
            Event::CollectorFailed(index) => self.exporter.broke(at, index),
            Event::CollectorBytesSent(index) => self.exporter.moved(at, index),
            Event::CollectorMessageSent { index, number } => self.exporter.written(at, index, number),
            Event::Notified(Note::RequestForwarded { client, id, site }) => self.crosses(*client, *id, site),
            Event::Notified(Note::LinkRequestBegan { run, class, site }) => {
                self.run_began(now, *run, class, site.as_deref());
            }
            Event::Notified(Note::LinkRequestEnded { run, outcome }) => self.run_over(now, *run, *outcome),
            _ => {}
        }
        if let Event::CollectorConnected(_)
        | Event::CollectorFailed(_)
        | Event::CollectorBytesSent(_)
        | Event::CollectorMessageSent { .. } = event
        {
            out.push_back(Effect::WakeTask { task: self.sending, at: None });
        }
    }

    fn run_task(&mut self, cx: &Context<'_>, task: TaskId, end: Micros, out: &mut Effects) -> Option<bool> {
        match task {
            task if task == self.telling => Some(self.tell(end, out)),
            task if task == self.sending => Some(self.send(cx.now, out)),
            _ => None,
        }
    }

    /// Flows are told, for as long as is allowed.
    fn finish(&mut self, cx: &Context<'_>, out: &mut Effects) -> bool {
        let until = match self.until {
            Some(until) => until,
            None => {
                let until = cx.now + self.operator.flush();
                self.until = Some(until);
                for flow in self.meter.end() {
                    self.exporter.push(flow);
                }
                out.push_back(Effect::WakeTask { task: self.sending, at: None });
                out.push_back(Effect::WakeLoopAt(until));
                until
            }
        };
        self.exporter.is_settled() || cx.now >= until
    }

    /// Takes collectors, rates and times from a new operator file.
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, out: &mut Effects) {
        let Some(new) = &operator.flows else { return };
        let (old, mut settings) = (self.operator.settings(), new.settings());
        if (
            settings.version,
            settings.domain,
            settings.enterprise,
            settings.largest,
            settings.spool,
            settings.copies,
        ) != (old.version, old.domain, old.enterprise, old.largest, old.spool, old.copies)
            || new.limits() != self.operator.limits()
        {
            warn!(
                self.log,
                "reload: flows' delivery, protocol, domain, enterprise, message_bytes, spool_kb and meter take a restart"
            );
        }
        settings =
            export::Settings { rate: settings.rate, refresh: settings.refresh, stall: settings.stall, ..old };
        let collectors = new.reached();
        let same: Vec<(Transport, Option<Place>)> = collectors
            .iter()
            .map(|one| (one.1, self.collectors.iter().position(|other| other == one)))
            .collect();
        self.exporter.replace(settings, &same, cx.now as u64);
        out.push_back(Effect::ReorderCollectors(same.into_iter().map(|(_, place)| place).collect()));
        self.collectors = collectors;
        // What takes a restart stays as it was.
        self.operator = deckproxy_operator::Flows {
            collectors: new.collectors.clone(),
            rate: new.rate,
            refresh_ms: new.refresh_ms,
            stall_ms: new.stall_ms,
            flush_ms: new.flush_ms,
            ..self.operator.clone()
        };
        out.push_back(Effect::WakeTask { task: self.sending, at: None });
        info!(self.log, "reload: collectors are taken"; "collectors" => self.collectors.len());
    }

    /// The export's part of the summary; the clients with most bytes are counted anew from it on.
    fn summary(&mut self) -> String {
        let c = self.exporter.counters;
        let (waiting, pending) = self.exporter.waiting();
        let lost = self.exporter.untold();
        let states: Vec<&str> = self.exporter.states().map(|up| if up { "up" } else { "down" }).collect();
        let top = std::mem::replace(&mut self.top, Top::new(TOP));
        let top: Vec<String> =
            top.top(TOLD).into_iter().map(|(net, sum, error)| format!("{net}:{sum}-{error}")).collect();
        format!(
            "collectors[{}],open[flows:{},kb:{},clients:{},attempts:{},runs:{}],folded:{},overflows:{},\
             told[flows:{},messages:{},octets:{},requests:{}],waiting[flows:{waiting},sent:{pending}],\
             merged:{},lost[flows:{},untold:{}],breaks:{},top[{}]",
            states.join(" "),
            self.meter.len(),
            self.meter.size() / 1024,
            self.accounts.len(),
            self.attempts.len(),
            self.runs.len(),
            self.meter.folds,
            self.meter.overflows,
            c.flows,
            c.messages,
            c.octets,
            c.requests,
            self.exporter.merged(),
            c.lost,
            lost.flows,
            c.breaks,
            top.join(" "),
        )
    }
}
