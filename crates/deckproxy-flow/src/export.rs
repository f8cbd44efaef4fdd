//! The exporting process, without sockets: templates, messages, and collectors that come and go.
//!
//! Collectors are copies of each other (each gets all flows, from a spool of its own) or stand by (the first that is up
//! gets them, from one spool). What was handed to a connection whole counts as sent: neither protocol acknowledges, and
//! the sequence numbers tell the collector what it lacks. What was not, goes again.

use crate::codec::elements::{self, OWN};
use crate::codec::{Element, Encoder, Field, Template, VARIABLE, Value, Version};
use crate::meter::{Flow, Leg, Outcome, Reason};
use crate::spool::{Loss, Spool};
use bytes::Bytes;
use std::collections::VecDeque;
use std::net::IpAddr;

/// Unix milliseconds.
pub type Millis = u64;

/// How a collector is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Templates are told again and again; a loss is not seen.
    Udp,
    /// Templates are told once a connection.
    Tcp,
}

/// How the export is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What is spoken.
    pub version: Version,
    /// Observation domain.
    pub domain: u32,
    /// The enterprise number of this project's own elements.
    pub enterprise: u32,
    /// Bytes of one message.
    pub largest: usize,
    /// Messages a second to one collector; 0: no bound.
    pub rate: u32,
    /// Over UDP, milliseconds until templates are told again.
    pub refresh: Millis,
    /// Bytes that may wait for one collector (or for all that stand by).
    pub spool: usize,
    /// Bytes that may wait at one connection before nothing more is put there.
    pub queued: usize,
    /// Milliseconds without movement after which a connection with bytes waiting is given up.
    pub stall: Millis,
    /// Every collector gets all; else the first that is up.
    pub copies: bool,
}

/// Until a collector is tried again, at first and at most.
const AGAIN: (Millis, Millis) = (200, 10_000);

/// Over UDP, how long templates go ahead of the first flows: where nobody listens, the network says so within that time
/// (ICMP), and no flow was sent.
const AHEAD: Millis = 100;

/// A collector, by its place in the list.
pub type Place = usize;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection (over UDP: a socket).
    Connect(Place),
    /// Send one message, under a number that tells when it is written.
    Send(Place, u64, Bytes),
    /// Close the connection.
    Close(Place),
    /// A line for the operators.
    Log(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Down { next: Millis },
    Connecting,
    Up,
}

/// A message that a connection holds and has not written.
#[derive(Debug)]
struct Pending {
    number: u64,
    /// The sequence number in its header.
    sequence: u32,
    bytes: usize,
    flows: Vec<Flow>,
    loss: Loss,
}

#[derive(Debug)]
struct Collector {
    transport: Transport,
    state: State,
    wait: Millis,
    encoder: Encoder,
    /// When templates were told last on this connection.
    told: Option<Millis>,
    pending: VecDeque<Pending>,
    moved: Millis,
    /// Messages that may go now, in thousandths.
    tokens: u64,
    filled: Millis,
    /// Over UDP, until when nothing follows the first templates.
    quiet: Millis,
}

impl Collector {
    fn new(transport: Transport, encoder: Encoder, now: Millis) -> Self {
        Collector {
            transport,
            state: State::Down { next: now },
            wait: AGAIN.0,
            encoder,
            told: None,
            pending: VecDeque::new(),
            moved: now,
            tokens: 1000,
            filled: now,
            quiet: 0,
        }
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages and flows that were handed over whole.
    pub messages: u64,
    /// See `messages`.
    pub flows: u64,
    /// Bytes, both ways, and requests in those flows.
    pub octets: u64,
    /// See `octets`.
    pub requests: u64,
    /// Flows dropped for room.
    pub lost: u64,
    /// Times at which a collector was lost.
    pub breaks: u64,
}

/// The exporting process.
#[derive(Debug)]
pub struct Exporter {
    settings: Settings,
    collectors: Vec<Collector>,
    spools: Vec<Spool>,
    templates: [Template; 2],
    options: [Template; 2],
    next: u64,
    effects: VecDeque<Effect>,
    /// Counts.
    pub counters: Counters,
}

fn field(element: Element, length: u16) -> Field {
    Field { element, length }
}

/// The templates of flows of clients by IPv4 and IPv6, and of options: what was lost, and what our own elements are.
fn templates(settings: &Settings) -> ([Template; 2], [Template; 2]) {
    let v9 = settings.version == Version::NetflowV9;
    let text = |length: u16| if v9 { length } else { VARIABLE };
    // NetFlow v9 has no enterprises: its own elements take numbers that vendors may use.
    let own = |one: elements::Own| match v9 {
        true => Element { id: 0xe000 + one.id, enterprise: None },
        false => one.under(settings.enterprise),
    };
    let back = if v9 { elements::OCTETS_BACK_V9 } else { elements::reverse(elements::OCTETS) };
    let flow = |id, client, bits, length| Template {
        id,
        scope: 0,
        fields: vec![
            field(client, length),
            field(bits, 1),
            field(elements::OCTETS, 8),
            field(back, 8),
            field(elements::FLOWS, 8),
            field(elements::START, 8),
            field(elements::END, 8),
            field(elements::END_REASON, 1),
            field(elements::APPLICATION, text(24)),
            field(own(elements::MEMBER), text(24)),
            field(own(elements::SITE), text(24)),
            field(own(elements::RESULT), text(8)),
            field(own(elements::P99), 4),
            field(own(elements::FOLDED), 1),
            field(own(elements::LEG), text(8)),
        ],
    };
    let lost = Template {
        id: 258,
        scope: 1,
        fields: vec![
            field(elements::EXPORTER, 4),
            field(elements::LOST_FLOWS, 8),
            field(elements::LOST_OCTETS, 8),
            field(elements::FLOWS, 8),
        ],
    };
    let types = Template {
        id: 259,
        scope: 2,
        fields: vec![
            field(elements::IE_ENTERPRISE, 4),
            field(elements::IE_ID, 2),
            field(elements::IE_TYPE, 1),
            field(elements::IE_SEMANTICS, 1),
            field(elements::IE_UNITS, 2),
            field(elements::IE_NAME, text(32)),
        ],
    };
    let v4 = flow(256, elements::CLIENT_V4, elements::CLIENT_V4_LENGTH, 4);
    let v6 = flow(257, elements::CLIENT_V6, elements::CLIENT_V6_LENGTH, 16);
    ([v4, v6], [lost, types])
}

impl Exporter {
    /// For these collectors. `sequence`: where numbers begin.
    pub fn new(settings: Settings, collectors: &[Transport], sequence: u32, now: Millis) -> Self {
        let (templates, options) = templates(&settings);
        let encoder = Encoder::new(settings.version, settings.domain, settings.largest, sequence, now);
        let collector = |transport: &Transport| Collector::new(*transport, encoder.clone(), now);
        let spools = if settings.copies { collectors.len() } else { 1 };
        Exporter {
            settings,
            collectors: collectors.iter().map(collector).collect(),
            spools: (0..spools).map(|_| Spool::new(settings.spool)).collect(),
            templates,
            options,
            next: 0,
            effects: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// A flow is to be exported.
    pub fn push(&mut self, flow: Flow) {
        for spool in &mut self.spools {
            spool.push(flow);
        }
    }

    /// Flows that wait, and those with a connection.
    pub fn waiting(&self) -> (usize, usize) {
        let pending = self.collectors.iter().flat_map(|c| &c.pending).map(|p| p.flows.len()).sum();
        (self.spools.iter().map(Spool::len).sum(), pending)
    }

    /// What was lost and could not be told yet.
    pub fn untold(&self) -> Loss {
        let mut sum = Loss::default();
        self.spools.iter().for_each(|s| sum.add(s.loss()));
        sum
    }

    /// Collectors that are up.
    pub fn up(&self) -> usize {
        self.collectors.iter().filter(|c| c.state == State::Up).count()
    }

    /// Takes another list of collectors. `same` has for each of them its place in the old list, if it was there: its
    /// connection goes on, and where every collector gets all, what waits for it stays its own. Who takes the place of
    /// one that is gone takes what waited there. Where the list got shorter, what waited for the last ones alone ends.
    pub fn replace(&mut self, settings: Settings, collectors: &[(Transport, Option<Place>)], now: Millis) {
        let fixed = |s: &Settings| (s.version, s.domain, s.enterprise, s.largest, s.copies);
        debug_assert!(fixed(&settings) == fixed(&self.settings), "these take a restart");
        let kept = |place: Place| collectors.iter().any(|(_, same)| *same == Some(place));
        for place in (0..self.collectors.len()).filter(|p| !kept(*p)) {
            // The gateway closes its connection; what it did not write waits again.
            self.broke(now, place);
        }
        let mut old: Vec<Option<Collector>> =
            std::mem::take(&mut self.collectors).into_iter().map(Some).collect();
        let mut spools: Vec<Option<Spool>> = std::mem::take(&mut self.spools).into_iter().map(Some).collect();
        for (i, (transport, same)) in collectors.iter().enumerate() {
            let from = same.or(Some(i).filter(|i| !kept(*i)));
            let before = from.and_then(|place| old.get_mut(place)).and_then(Option::take);
            let next = |c: &Collector| c.encoder.sequence();
            let collector = match before {
                Some(collector) if same.is_some() => collector,
                other => {
                    let sequence = other.as_ref().map_or(0, next);
                    let s = &settings;
                    let encoder = Encoder::new(s.version, s.domain, s.largest, sequence, now);
                    Collector::new(*transport, encoder, now)
                }
            };
            self.collectors.push(collector);
            if settings.copies {
                let spool = from.and_then(|place| spools.get_mut(place)).and_then(Option::take);
                self.spools.push(spool.unwrap_or_else(|| Spool::new(settings.spool)));
            }
        }
        if !settings.copies {
            self.spools.extend(spools.into_iter().flatten());
        }
        self.settings = settings;
    }

    /// Whether nothing waits to be told.
    pub fn is_settled(&self) -> bool {
        self.waiting() == (0, 0) && self.untold().is_none()
    }

    /// Collectors, and for each whether it is up.
    pub fn states(&self) -> impl Iterator<Item = bool> {
        self.collectors.iter().map(|c| c.state == State::Up)
    }

    /// Flows merged in the spools so far.
    pub fn merged(&self) -> u64 {
        self.spools.iter().map(|s| s.merged).sum()
    }

    fn spool(&self, place: Place) -> usize {
        if self.settings.copies { place } else { 0 }
    }

    // ---- Connections ---------------------------------------------------------------------------------------

    /// A connection that was asked for is there.
    pub fn connected(&mut self, now: Millis, place: Place) {
        let Some(collector) = self.collectors.get_mut(place) else { return };
        collector.state = State::Up;
        collector.told = None;
        collector.moved = now;
        self.effects.push_back(Effect::Log(format!("collector {place}: up")));
    }

    /// A connection could not be made, or has ended. What it did not write goes again.
    pub fn broke(&mut self, now: Millis, place: Place) {
        let at = self.spool(place);
        let Some(collector) = self.collectors.get_mut(place) else { return };
        if matches!(collector.state, State::Down { .. }) {
            return;
        }
        if collector.state == State::Up {
            self.counters.breaks += 1;
            self.effects.push_back(Effect::Log(format!("collector {place}: lost")));
        }
        collector.state = State::Down { next: now + collector.wait };
        collector.wait = (collector.wait * 2).min(AGAIN.1);
        // Messages that were not written never counted: the numbers go on from the first of them.
        let unsent = std::mem::take(&mut collector.pending);
        if let Some(first) = unsent.front() {
            collector.encoder.rewind(first.sequence);
        }
        for pending in &unsent {
            self.spools[at].untold(pending.loss);
        }
        let flows: Vec<Flow> = unsent.into_iter().flat_map(|p| p.flows).collect();
        self.spools[at].put_back(flows.into_iter());
    }

    /// A message was written whole.
    pub fn written(&mut self, now: Millis, place: Place, number: u64) {
        let Some(collector) = self.collectors.get_mut(place) else { return };
        collector.moved = now;
        let Some(i) = collector.pending.iter().position(|p| p.number == number) else { return };
        let Some(pending) = collector.pending.remove(i) else { return };
        if !pending.flows.is_empty() {
            // That it takes flows shows that the collector is well.
            collector.wait = AGAIN.0;
        }
        self.counters.messages += 1;
        for flow in &pending.flows {
            self.counters.flows += 1;
            self.counters.octets += flow.counts.out + flow.counts.back;
            self.counters.requests += flow.counts.requests;
        }
    }

    /// Some bytes went, though no message is whole.
    pub fn moved(&mut self, now: Millis, place: Place) {
        if let Some(collector) = self.collectors.get_mut(place) {
            collector.moved = now;
        }
    }

    // ---- Work ----------------------------------------------------------------------------------------------

    /// Does what is due: tries collectors, gives up stalled ones, sends at most `messages`. Tells whether there is more
    /// to send now. `name` resolves a flow's names.
    pub fn work<'a>(&mut self, now: Millis, messages: usize, name: &impl Fn(u32) -> &'a str) -> bool {
        let mut left = messages;
        let mut more = false;
        let mut served = false;
        for place in 0..self.collectors.len() {
            self.keep(now, place);
            let up = self.collectors[place].state == State::Up;
            // Those that stand by get nothing while one before them is up.
            if !up || (served && !self.settings.copies) {
                continue;
            }
            served = true;
            while self.sendable(now, place) {
                if left == 0 {
                    more = true;
                    break;
                }
                left -= 1;
                self.message(now, place, name);
            }
        }
        more
    }

    /// Connects, gives up what stalls, and fills the tokens of one collector.
    fn keep(&mut self, now: Millis, place: Place) {
        let rate = u64::from(self.settings.rate);
        let stall = self.settings.stall;
        let collector = &mut self.collectors[place];
        collector.tokens =
            (collector.tokens + now.saturating_sub(collector.filled) * rate).min(rate.max(1) * 1000);
        collector.filled = now;
        match collector.state {
            State::Down { next } if now >= next => {
                collector.state = State::Connecting;
                collector.moved = now;
                self.effects.push_back(Effect::Connect(place));
            }
            // A clock that was set back does not keep a collector down.
            State::Down { next } if next > now + AGAIN.1 => {
                collector.state = State::Down { next: now + AGAIN.0 }
            }
            State::Up if !collector.pending.is_empty() && now.saturating_sub(collector.moved) > stall => {
                self.effects.push_back(Effect::Log(format!("collector {place}: takes nothing")));
                self.effects.push_back(Effect::Close(place));
                self.broke(now, place);
            }
            State::Connecting if now.saturating_sub(collector.moved) > stall => {
                self.effects.push_back(Effect::Close(place));
                self.broke(now, place);
            }
            _ => {}
        }
    }

    fn sendable(&self, now: Millis, place: Place) -> bool {
        let collector = &self.collectors[place];
        let queued: usize = collector.pending.iter().map(|p| p.bytes).sum();
        let spool = &self.spools[self.spool(place)];
        let due = collector.told.is_none() || self.refreshes(now, collector);
        if now < collector.quiet && collector.quiet <= now + AHEAD {
            return false;
        }
        let any =
            !spool.is_empty() || !spool.loss().is_none() || due && collector.transport == Transport::Udp;
        let allowed = self.settings.rate == 0 || collector.tokens >= 1000;
        any && allowed && queued < self.settings.queued
    }

    fn refreshes(&self, now: Millis, collector: &Collector) -> bool {
        collector.transport == Transport::Udp
            && collector.told.is_none_or(|at| now.saturating_sub(at) >= self.settings.refresh || at > now)
    }

    /// Builds one message and hands it over.
    fn message<'a>(&mut self, now: Millis, place: Place, name: &impl Fn(u32) -> &'a str) {
        let at = self.spool(place);
        let tells = self.collectors[place].told.is_none() || self.refreshes(now, &self.collectors[place]);
        let collector = &mut self.collectors[place];
        let mut whole = true;
        let ahead = collector.transport == Transport::Udp && collector.told.is_none();
        if tells {
            for template in self.templates.iter().chain(&self.options) {
                whole &= collector.encoder.template(template);
            }
            if self.settings.version == Version::Ipfix {
                for one in OWN {
                    whole &= collector.encoder.record(&self.options[1], &describe(&self.settings, one));
                }
            }
            // A message too small for the templates could tell nothing: the settings are checked for that.
            debug_assert!(whole, "the templates fit into one message");
            collector.told = Some(now);
        }
        if ahead {
            collector.quiet = now + AHEAD;
        }
        let spool = &mut self.spools[at];
        let mut loss = if ahead { Loss::default() } else { spool.take_loss() };
        if !loss.is_none() {
            let numbers = [u64::from(self.settings.domain), loss.flows, loss.octets, loss.requests];
            if !collector.encoder.record(&self.options[0], &numbers.map(Value::Number)) {
                spool.untold(std::mem::take(&mut loss));
            }
            self.counters.lost += loss.flows;
        }
        let mut flows = Vec::new();
        while let Some(flow) = spool.first().filter(|_| !ahead) {
            let v6 = flow.key.client.is_some_and(|net| net.addr().is_ipv6());
            let template = &self.templates[usize::from(v6)];
            if !collector.encoder.record(template, &values(flow, name)) {
                break;
            }
            flows.extend(spool.pop());
        }
        let sequence = collector.encoder.sequence();
        let Some(bytes) = collector.encoder.finish(now) else { return };
        collector.tokens = collector.tokens.saturating_sub(1000);
        if collector.pending.is_empty() {
            collector.moved = now;
        }
        self.next += 1;
        collector.pending.push_back(Pending { number: self.next, sequence, bytes: bytes.len(), flows, loss });
        self.effects.push_back(Effect::Send(place, self.next, bytes));
    }

    /// When `work` is to be called next, at the latest, where nothing comes up before.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        let due = |c: &Collector| match c.state {
            State::Down { next } => Some(next),
            State::Connecting => Some(c.moved + self.settings.stall + 1),
            State::Up if !c.pending.is_empty() => Some(c.moved + self.settings.stall + 1),
            State::Up if c.quiet > now => Some(c.quiet),
            State::Up if c.transport == Transport::Udp => c.told.map(|at| at + self.settings.refresh),
            State::Up => None,
        };
        self.collectors.iter().filter_map(due).min().map(|at| at.max(now))
    }
}

fn describe(settings: &Settings, one: elements::Own) -> Vec<Value> {
    vec![
        Value::Number(u64::from(settings.enterprise)),
        Value::Number(u64::from(one.id)),
        Value::Number(u64::from(one.kind)),
        Value::Number(u64::from(one.semantics)),
        Value::Number(u64::from(one.units)),
        Value::text(one.name),
    ]
}

/// A text, or the word for none: there are decoders that give up a whole set for one empty text.
fn text(text: &str) -> Value {
    Value::text(if text.is_empty() { elements::NONE } else { text })
}

/// A flow's values in the order of its template.
fn values<'a>(flow: &Flow, name: &impl Fn(u32) -> &'a str) -> Vec<Value> {
    let (address, bits) = match flow.key.client {
        None => (Value::Number(0), 0),
        Some(net) => {
            let address = match net.addr() {
                IpAddr::V4(v4) => Bytes::copy_from_slice(&v4.octets()),
                IpAddr::V6(v6) => Bytes::copy_from_slice(&v6.octets()),
            };
            (Value::Bytes(address), net.prefix_len())
        }
    };
    let outcome = match flow.key.outcome {
        None => "",
        Some(Outcome::Served) => "served",
        Some(Outcome::Refused) => "refused",
        Some(Outcome::Failed) => "failed",
        Some(Outcome::Cut) => "cut",
        Some(Outcome::Unusable) => "unusable",
        Some(Outcome::Missed) => "missed",
    };
    let leg = match flow.key.leg {
        Leg::Client => "client",
        Leg::Member => "member",
        Leg::Link => "link",
    };
    let reason = match flow.reason {
        Reason::Idle => 1,
        Reason::Active => 2,
        Reason::End => 4,
    };
    let counts = &flow.counts;
    vec![
        address,
        Value::Number(u64::from(bits)),
        Value::Number(counts.out),
        Value::Number(counts.back),
        Value::Number(counts.requests),
        Value::Number(counts.first),
        Value::Number(counts.last),
        Value::Number(reason),
        text(name(flow.key.class)),
        text(name(flow.key.member)),
        text(name(flow.key.site)),
        text(outcome),
        Value::Number(counts.p99()),
        Value::Number(u64::from(flow.key.folded)),
        Value::text(leg),
    ]
}
