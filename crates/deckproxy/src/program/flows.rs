//! Flow export: what passed on clients', members' and links' connections is counted, and told to collectors in the time
//! that requests leave.

use crate::program::gateway::{FAR, Gateway, Peer, micros};
use crate::protocol::back::Word;
use crate::protocol::front::Answer;
use crate::routing::router::{AttemptKey, ClientId};
use crate::transport::client::Client;
use crate::transport::clock;
use crate::transport::collector::Exit;
use crate::transport::outbox::Written;
use crate::transport::stream::Ledger;
use ahash::RandomState;
use calloop::Readiness;
use deckproxy_flow::account::{self, Asker, Attempts, ClientAccount, Micros, Names};
use deckproxy_flow::export::{Effect, Exporter, Place, Transport};
use deckproxy_flow::meter::{Flow, Meter, Name, Outcome, Top};
use deckproxy_flow::work::{Kind, TaskId};
use deckproxy_operator::Operator;
use deckproxy_sites::far::Run;
use ipnet::IpNet;
use slog::{info, warn};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// The way to a collector, by a number that no later one has.
pub(super) type ExitId = u64;

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
    exits: Vec<Option<(ExitId, Exit)>>,
    operator: deckproxy_operator::Flows,
    ledger: Rc<Ledger>,
    telling: TaskId,
    sending: TaskId,
    /// Microseconds from one look at all flows to the next.
    rest: Micros,
    found: Vec<Flow>,
    /// Until when a planned end waits for flows to be told.
    until: Option<f64>,
}

fn outcome(answer: &Answer) -> Outcome {
    match answer {
        Answer::Served(_) | Answer::Unchanged => Outcome::Served,
        Answer::Refused(_) => Outcome::Refused,
        Answer::Failed => Outcome::Failed,
        Answer::Unusable(_) => Outcome::Unusable,
    }
}

fn outcome_of(word: Word) -> Outcome {
    match word {
        Word::Ok | Word::Unchanged => Outcome::Served,
        Word::Miss => Outcome::Missed,
        Word::Full => Outcome::Refused,
        Word::Over => Outcome::Cut,
        Word::Error | Word::Alive(_) => Outcome::Failed,
    }
}

impl Flows {
    /// Starts what the operator file asks for; none where it asks for nothing.
    pub(super) fn start(
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
            meter: Meter::new(limits),
            // Numbers begin anywhere: a collector that remembers an earlier process takes that for a new beginning.
            exporter: Exporter::new(flows.settings(), &ways, seed as u32, now as u64),
            names,
            classes,
            accounts: HashMap::default(),
            attempts: Attempts::default(),
            runs: HashMap::default(),
            top: Top::new(TOP),
            exits: collectors.iter().map(|_| None).collect(),
            collectors,
            operator: flows.clone(),
            ledger: Rc::default(),
            telling,
            sending,
            rest: (limits.idle * 1000 / 4).clamp(20_000, 1_000_000),
            found: Vec::new(),
            until: None,
        }))
    }

    /// Bytes that wait for collectors' connections.
    pub(super) fn holds(&self) -> usize {
        self.ledger.input.get() + self.ledger.output.get()
    }

    // ---- Clients -------------------------------------------------------------------------------------------

    pub(super) fn client_came(&mut self, id: ClientId, address: Option<IpAddr>) {
        let client = address.map(|a| self.meter.client(a));
        self.accounts.insert(id, ClientAccount::new(client));
    }

    /// A client's request came, of so many bytes; one that can't be read has no class.
    pub(super) fn asked(&mut self, now: f64, id: ClientId, request: u32, class: &str, bytes: usize) {
        let class = self.classes.get(class).copied().unwrap_or(0);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.asked(&mut self.meter, micros(now), request, class, bytes as u64);
        }
    }

    pub(super) fn heard(&mut self, now: f64, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.heard(&mut self.meter, micros(now), bytes as u64);
        }
    }

    pub(super) fn crosses(&mut self, id: ClientId, request: u32, site: &str) {
        let site = self.names.number(site);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.crosses(request, site);
        }
    }

    /// An answer was put behind what waits for a client; `request` none: it answers none.
    pub(super) fn answered(&mut self, id: ClientId, request: Option<u32>, outcome: Outcome) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.answered(request, outcome);
        }
    }

    pub(super) fn client_wrote(&mut self, now: f64, id: ClientId, bytes: usize) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.written(&mut self.meter, micros(now), bytes as u64);
            if let Some(client) = account.client() {
                self.top.add(client, bytes as u64);
            }
        }
    }

    pub(super) fn client_gave_up(&mut self, now: f64, id: ClientId, request: u32) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.gone(&mut self.meter, micros(now), request);
        }
    }

    pub(super) fn client_gone(&mut self, now: f64, id: ClientId, client: &Client) {
        if let Some(mut account) = self.accounts.remove(&id) {
            let cut = client.stream.cut().map_or(0, |w| w.bytes as u64);
            account.end(&mut self.meter, micros(now), cut, client.stream.input.len() as u64);
        }
    }

    // ---- Members -------------------------------------------------------------------------------------------

    /// An attempt begins for a client, or for a request that came over a link.
    pub(super) fn sent(&mut self, now: f64, key: AttemptKey, client: ClientId, class: &str, member: &str) {
        let asker = match client {
            0..FAR => {
                let class = self.classes.get(class).copied().unwrap_or(0);
                let client = self.accounts.get(&client).and_then(ClientAccount::client);
                Asker { client, class, site: 0 }
            }
            FAR.. => self.runs.get(&(client - FAR)).map_or_else(Asker::default, |(asker, _)| *asker),
        };
        let member = self.names.number(member);
        self.attempts.sent(micros(now), key, asker, member);
    }

    pub(super) fn member_wrote(&mut self, now: f64, member: &str, written: Written) {
        let bytes = written.bytes as u64;
        if !self.attempts.wrote(written.key, bytes) {
            let member = self.names.number(member);
            Attempts::other(&mut self.meter, micros(now), member, 0, bytes);
        }
    }

    /// An answer came from a member, of so many bytes; `key` none: to nothing that is out.
    pub(super) fn member_answered(
        &mut self,
        now: f64,
        member: &str,
        key: Option<AttemptKey>,
        word: Word,
        bytes: usize,
    ) {
        let outcome = outcome_of(word);
        let attempts = &mut self.attempts;
        let own = key.is_some_and(|k| attempts.ended(&mut self.meter, micros(now), k, outcome, bytes as u64));
        if !own {
            self.member_heard(now, member, bytes);
        }
    }

    /// Bytes came from a member that are no whole answer.
    pub(super) fn member_heard(&mut self, now: f64, member: &str, bytes: usize) {
        if bytes > 0 {
            let member = self.names.number(member);
            Attempts::other(&mut self.meter, micros(now), member, bytes as u64, 0);
        }
    }

    /// An attempt ended without an answer.
    pub(super) fn attempt_ended(&mut self, now: f64, key: AttemptKey, outcome: Outcome) {
        self.attempts.ended(&mut self.meter, micros(now), key, outcome, 0);
    }

    // ---- Links ---------------------------------------------------------------------------------------------

    /// A request came over a link.
    pub(super) fn run_began(&mut self, now: f64, run: Run, class: &str, site: Option<&str>) {
        let class = self.classes.get(class).copied().unwrap_or(0);
        let site = self.names.number(site.unwrap_or(""));
        self.runs.insert(run, (Asker { client: None, class, site }, micros(now)));
    }

    pub(super) fn run_ended(&mut self, now: f64, run: Run, answer: &Answer) {
        self.run_over(now, run, outcome(answer));
    }

    /// A request that came over a link was given up there.
    pub(super) fn run_withdrawn(&mut self, now: f64, run: Run) {
        self.run_over(now, run, Outcome::Cut);
    }

    fn run_over(&mut self, now: f64, run: Run, outcome: Outcome) {
        if let Some((asker, since)) = self.runs.remove(&run) {
            account::over_link(&mut self.meter, micros(now), asker, since, outcome);
        }
    }

    /// Bytes passed on a link's connection.
    pub(super) fn link_passed(&mut self, now: f64, site: Option<&str>, came: usize, went: usize) {
        let site = self.names.number(site.unwrap_or(""));
        account::link(&mut self.meter, micros(now), site, came as u64, went as u64);
    }

    // ---- Summary -------------------------------------------------------------------------------------------

    /// The export's part of the summary; the clients with most bytes are counted anew from it on.
    pub(super) fn summary(&mut self) -> String {
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

/// Puts an answer behind what waits for a client.
pub(super) fn put(
    flows: &mut Option<Box<Flows>>,
    client: &mut Client,
    (id, request): (ClientId, u32),
    answer: &Answer,
    admitted: bool,
) {
    client.answer(request, answer, admitted);
    if let Some(flows) = flows {
        flows.answered(id, Some(request), outcome(answer));
    }
}

impl Gateway {
    // ---- Work in the time that is left ---------------------------------------------------------------------

    /// Whether a task is the export's.
    pub(super) fn is_flow_task(&self, task: TaskId) -> bool {
        self.flows.as_ref().is_some_and(|f| task == f.telling || task == f.sending)
    }

    /// Runs a task of the export for so long. Tells whether it has more to do.
    pub(super) fn work_flows(&mut self, now: f64, task: TaskId, slice: Micros) -> bool {
        let end = micros(now) + slice;
        let telling = self.flows.as_ref().is_some_and(|f| f.telling == task);
        if telling { self.tell_flows(end) } else { self.send_flows(end) }
    }

    fn tell_flows(&mut self, end: Micros) -> bool {
        let Some(flows) = &mut self.flows else { return false };
        loop {
            let now = micros(clock::now());
            let round = flows.meter.tell(now / 1000, LOOKS, &mut flows.found);
            for flow in flows.found.drain(..) {
                flows.exporter.push(flow);
                self.background.wake(now, flows.sending);
            }
            if round {
                self.background.wake_at(flows.telling, now + flows.rest);
                return false;
            }
            if now >= end {
                return true;
            }
        }
    }

    fn send_flows(&mut self, end: Micros) -> bool {
        loop {
            let now = clock::now();
            let Some(flows) = &mut self.flows else { return false };
            // What is closed already is known before anything more is handed to it.
            for place in 0..flows.exits.len() {
                let gone = flows.exits[place].as_mut().is_some_and(|(_, exit)| exit.is_gone());
                if gone && let Some((_, exit)) = flows.exits[place].take() {
                    exit.close(&self.handle);
                    flows.exporter.broke(now as u64, place);
                }
            }
            let names = &flows.names;
            let more = flows.exporter.work(now as u64, MESSAGES, &|n| names.name(n));
            self.pump_flows(now);
            if !more {
                let Some(flows) = &mut self.flows else { return false };
                let due = flows.exporter.next_due(now as u64).map(|at| at * 1000);
                let again = micros(now) + LOOK_AGAIN;
                self.background.wake_at(flows.sending, due.map_or(again, |due| due.min(again)));
                return false;
            }
            if micros(clock::now()) >= end {
                return true;
            }
        }
    }

    /// Carries out what the exporter wants done.
    fn pump_flows(&mut self, now: f64) {
        let at = now as u64;
        let mut written = Vec::new();
        while let Some(effect) = self.flows.as_mut().and_then(|f| f.exporter.effect()) {
            let Some(flows) = &mut self.flows else { return };
            match effect {
                Effect::Connect(place) => {
                    let Some((to, transport)) = flows.collectors.get(place).copied() else { continue };
                    self.next += 1;
                    let id = self.next;
                    let ready = move |g: &mut Gateway, news| g.exit_news(id, news);
                    match Exit::open(&self.handle, &flows.ledger, to, transport, ready) {
                        Ok(exit) => {
                            flows.exits[place] = Some((id, exit));
                            if transport == Transport::Udp {
                                flows.exporter.connected(at, place);
                            }
                        }
                        Err(e) => {
                            flows.exporter.broke(at, place);
                            self.line(&format!("collector {to}: {e}"));
                        }
                    }
                }
                Effect::Send(place, number, message) => {
                    let Some((_, exit)) = flows.exits.get_mut(place).and_then(Option::as_mut) else {
                        continue;
                    };
                    let sent = exit.send(number, message, &mut written);
                    self.exit_sent(now, place, sent.map(|s| s.moved), &mut written);
                }
                Effect::Close(place) => {
                    if let Some((_, exit)) = flows.exits.get_mut(place).and_then(Option::take) {
                        exit.close(&self.handle);
                    }
                }
                Effect::Log(text) => info!(self.log, "flows"; "what" => text),
            }
        }
    }

    fn exit_sent(&mut self, now: f64, place: Place, sent: std::io::Result<bool>, written: &mut Vec<Written>) {
        let Some(flows) = &mut self.flows else { return };
        for one in written.drain(..) {
            flows.exporter.written(now as u64, place, one.key);
        }
        match sent {
            Ok(true) => flows.exporter.moved(now as u64, place),
            Ok(false) => {}
            Err(_) => {
                if let Some((_, exit)) = flows.exits.get_mut(place).and_then(Option::take) {
                    exit.close(&self.handle);
                }
                flows.exporter.broke(now as u64, place);
            }
        }
    }

    fn exit_news(&mut self, id: ExitId, news: Readiness) {
        let exits = self.flows.iter_mut().flat_map(|f| &mut f.exits).flatten();
        if let Some((_, exit)) = exits.into_iter().find(|(other, _)| *other == id) {
            exit.note(news);
            Self::queue(&mut self.ready, Peer::Collector(id));
        }
    }

    /// A collector's connection has news.
    pub(super) fn serve_exit(&mut self, now: f64, id: ExitId) {
        let Some(flows) = &mut self.flows else { return };
        let place = flows.exits.iter().position(|e| e.as_ref().is_some_and(|(other, _)| *other == id));
        let Some(place) = place else { return };
        let Some((_, exit)) = &mut flows.exits[place] else { return };
        let mut written = Vec::new();
        let was = !matches!(exit, Exit::Tcp(stream) if !stream.is_open());
        let done = match exit.is_connecting() {
            Ok(true) => return,
            Err(e) => Err(e),
            Ok(false) if exit.is_gone() => Err(std::io::ErrorKind::ConnectionReset.into()),
            Ok(false) => {
                if !was {
                    flows.exporter.connected(now as u64, place);
                }
                exit.flush(&mut written).map(|s| s.moved)
            }
        };
        self.exit_sent(now, place, done, &mut written);
        if let Some(flows) = &self.flows {
            self.background.wake(micros(now), flows.sending);
        }
    }

    // ---- The end -------------------------------------------------------------------------------------------

    /// All requests are answered and the clients gone: flows are told, for as long as is allowed. Tells whether that is
    /// over.
    pub(super) fn flush_flows(&mut self, now: f64) -> bool {
        if self.flows.is_none() {
            return true;
        }
        if self.flows.as_ref().is_some_and(|f| f.until.is_none()) {
            // What has come on them and was not looked at counts too.
            for id in self.links.keys().copied().collect::<Vec<_>>() {
                self.drop_link(id);
            }
            let Some(flows) = &mut self.flows else { return true };
            let until = now + flows.operator.flush();
            flows.until = Some(until);
            for flow in flows.meter.end() {
                flows.exporter.push(flow);
            }
            self.background.wake(micros(now), flows.sending);
            self.chores.set(until, crate::program::gateway::Chore::Flush);
        }
        let Some(flows) = &self.flows else { return true };
        flows.exporter.is_settled() || flows.until.is_some_and(|until| now >= until)
    }

    // ---- Reload --------------------------------------------------------------------------------------------

    /// Takes collectors, rates and times from a new operator file.
    pub(super) fn reload_flows(&mut self, now: f64, operator: &Operator) {
        let (Some(flows), Some(new)) = (&mut self.flows, &operator.flows) else {
            if self.flows.is_some() != operator.flows.is_some() {
                warn!(self.log, "reload: switching flow export on or off takes a restart");
            }
            return;
        };
        let (old, mut settings) = (flows.operator.settings(), new.settings());
        if (
            settings.version,
            settings.domain,
            settings.enterprise,
            settings.largest,
            settings.spool,
            settings.copies,
        ) != (old.version, old.domain, old.enterprise, old.largest, old.spool, old.copies)
            || new.limits() != flows.operator.limits()
        {
            warn!(
                self.log,
                "reload: flows' delivery, protocol, domain, enterprise, message_bytes, spool_kb and meter take a restart"
            );
        }
        settings = deckproxy_flow::export::Settings {
            rate: settings.rate,
            refresh: settings.refresh,
            stall: settings.stall,
            ..old
        };
        let collectors = new.reached();
        let same: Vec<(Transport, Option<Place>)> = collectors
            .iter()
            .map(|one| (one.1, flows.collectors.iter().position(|other| other == one)))
            .collect();
        flows.exporter.replace(settings, &same, now as u64);
        let mut exits = std::mem::take(&mut flows.exits);
        flows.exits = same
            .iter()
            .map(|(_, place)| place.and_then(|place| exits.get_mut(place)).and_then(Option::take))
            .collect();
        for (_, exit) in exits.into_iter().flatten() {
            exit.close(&self.handle);
        }
        flows.collectors = collectors;
        // What takes a restart stays as it was.
        flows.operator = deckproxy_operator::Flows {
            collectors: new.collectors.clone(),
            rate: new.rate,
            refresh_ms: new.refresh_ms,
            stall_ms: new.stall_ms,
            flush_ms: new.flush_ms,
            ..flows.operator.clone()
        };
        self.background.wake(micros(now), flows.sending);
        info!(self.log, "reload: collectors are taken"; "collectors" => flows.collectors.len());
    }
}
