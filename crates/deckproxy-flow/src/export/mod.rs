//! The exporting process, without I/O: templates, messages and the state of the connections to collectors.
//!
//! Collectors are either replicas, each of which receives all flows from a spool of its own, or standbys, of
//! which the first that is up receives all flows from one common spool. Neither IPFIX nor NetFlow v9 acknowledges
//! messages: a message counts as sent once it is completely written to a connection, and its content is sent again
//! otherwise. A collector detects missing messages by gaps in the sequence numbers.
//!
//! - [`settings`]: the settings of the export.
//! - [`effects`]: effects for the caller, log events and counters.
//! - `collector`: one collector's connection, backoff and rate limit.
//! - `messages`: building and sending messages.
//! - `templates`, `records`: the templates and the records of flows in the messages.

mod collector;
pub mod effects;
mod messages;
mod records;
pub mod settings;
mod templates;

pub use effects::{Backlog, CollectorIndex, Counters, Effect, LogEvent};
pub use settings::{Settings, Transport};

use crate::codec::Encoder;
use crate::meter::Flow;
use crate::spool::{Loss, Spool};
use collector::{Collector, State};
use std::collections::VecDeque;
use templates::Templates;

/// Unix milliseconds.
pub type Millis = u64;

/// The exporting process.
#[derive(Debug)]
pub struct Exporter {
    settings: Settings,
    collectors: Vec<Collector>,
    /// One for each collector if they are replicas, otherwise one for all.
    spools: Vec<Spool>,
    templates: Templates,
    last_message: u64,
    effects: VecDeque<Effect>,
    /// Counters since the start.
    pub counters: Counters,
}

impl Exporter {
    /// Creates an exporter for these collectors; `sequence` is the first sequence number.
    pub fn new(settings: Settings, collectors: &[Transport], sequence: u32, now: Millis) -> Self {
        let encoder = new_encoder(&settings, sequence, now);
        let collector = |transport: &Transport| Collector::new(*transport, encoder.clone(), now);
        let spools = if settings.replicate { collectors.len() } else { 1 };
        Exporter {
            settings,
            collectors: collectors.iter().map(collector).collect(),
            spools: (0..spools).map(|_| Spool::new(settings.spool_size)).collect(),
            templates: Templates::new(&settings),
            last_message: 0,
            effects: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Removes and returns the next effect that the caller has to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Queues a flow for export.
    pub fn push(&mut self, flow: Flow) {
        for spool in &mut self.spools {
            spool.push(flow);
        }
    }

    /// Flows that are not exported yet.
    pub fn backlog(&self) -> Backlog {
        let in_flight = self.collectors.iter().flat_map(|collector| &collector.in_flight);
        Backlog {
            spooled: self.spools.iter().map(Spool::len).sum(),
            in_flight: in_flight.map(|message| message.flows.len()).sum(),
        }
    }

    /// The sum of the losses that were not reported to a collector yet.
    pub fn unreported_loss(&self) -> Loss {
        let mut sum = Loss::default();
        for spool in &self.spools {
            sum.add(spool.loss());
        }
        sum
    }

    /// Whether nothing is left to export or report.
    pub fn is_drained(&self) -> bool {
        self.backlog() == Backlog::default() && self.unreported_loss().is_zero()
    }

    /// For each collector, whether it is connected.
    pub fn collectors_up(&self) -> impl Iterator<Item = bool> {
        self.collectors.iter().map(Collector::is_up)
    }

    /// Number of flows merged into others in the spools since the start.
    pub fn merged(&self) -> u64 {
        self.spools.iter().map(|spool| spool.merged).sum()
    }

    /// The index of the spool from which a collector is served.
    fn spool_index(&self, index: CollectorIndex) -> usize {
        if self.settings.replicate { index } else { 0 }
    }

    /// Replaces the list of collectors.
    ///
    /// Each entry has the index that the collector had in the old list, or `None` if it is new. A collector
    /// of the old list keeps its connection and, if collectors are replicas, its spool. A new one takes over
    /// the spool and the sequence numbers of the collector that was removed from its index. Spools of removed
    /// collectors that are not taken over are dropped. The protocol version, domain, enterprise, message size
    /// and replication can't be changed without a restart.
    pub fn replace_collectors(
        &mut self,
        settings: Settings,
        collectors: &[(Transport, Option<CollectorIndex>)],
        now: Millis,
    ) {
        debug_assert!(settings.has_same_restart_settings(&self.settings), "these require a restart");
        let is_kept = |index| collectors.iter().any(|(_, previous)| *previous == Some(index));
        for index in (0..self.collectors.len()).filter(|index| !is_kept(*index)) {
            // The caller closes the connection; flows of unwritten messages return to the spool.
            self.disconnected(now, index);
        }
        let mut old_collectors: Vec<Option<Collector>> =
            std::mem::take(&mut self.collectors).into_iter().map(Some).collect();
        let mut old_spools: Vec<Option<Spool>> =
            std::mem::take(&mut self.spools).into_iter().map(Some).collect();
        for (index, (transport, previous)) in collectors.iter().enumerate() {
            let source = previous.or(Some(index).filter(|index| !is_kept(*index)));
            let old = source.and_then(|source| old_collectors.get_mut(source)).and_then(Option::take);
            self.collectors.push(match old {
                Some(collector) if previous.is_some() => collector,
                removed => {
                    let sequence = removed.map_or(0, |collector| collector.encoder.sequence());
                    Collector::new(*transport, new_encoder(&settings, sequence, now), now)
                }
            });
            if settings.replicate {
                let spool = source.and_then(|source| old_spools.get_mut(source)).and_then(Option::take);
                self.spools.push(spool.unwrap_or_else(|| Spool::new(settings.spool_size)));
            }
        }
        if !settings.replicate {
            self.spools.extend(old_spools.into_iter().flatten());
        }
        self.settings = settings;
    }

    /// A connection requested by [`Effect::Connect`] is established.
    pub fn connected(&mut self, now: Millis, index: CollectorIndex) {
        let Some(collector) = self.collectors.get_mut(index) else { return };
        collector.state = State::Up;
        collector.templates_sent_at = None;
        collector.progress_at = now;
        self.effects.push_back(Effect::Log(LogEvent::Up(index)));
    }

    /// A connection could not be established, or was closed. The flows of its unwritten messages return to
    /// the spool.
    pub fn disconnected(&mut self, now: Millis, index: CollectorIndex) {
        let spool_index = self.spool_index(index);
        let Some(collector) = self.collectors.get_mut(index) else { return };
        match collector.state {
            State::Down { .. } => return,
            State::Connecting => {}
            State::Up => {
                self.counters.connections_lost += 1;
                self.effects.push_back(Effect::Log(LogEvent::Lost(index)));
            }
        }
        collector.set_down(now);
        let unsent = std::mem::take(&mut collector.in_flight);
        // Unwritten messages don't count as sent: sequence numbers continue from the first of them.
        if let Some(first) = unsent.front() {
            collector.encoder.rewind(first.sequence);
        }
        let spool = &mut self.spools[spool_index];
        for message in &unsent {
            spool.restore_loss(message.loss);
        }
        let flows: Vec<Flow> = unsent.into_iter().flat_map(|message| message.flows).collect();
        spool.requeue(flows.into_iter());
    }

    /// A message was written completely.
    pub fn message_sent(&mut self, now: Millis, index: CollectorIndex, number: u64) {
        let Some(collector) = self.collectors.get_mut(index) else { return };
        collector.progress_at = now;
        let position = collector.in_flight.iter().position(|message| message.number == number);
        let Some(message) = position.and_then(|position| collector.in_flight.remove(position)) else {
            return;
        };
        if !message.flows.is_empty() {
            // Templates alone don't prove that the collector is reachable.
            collector.reset_backoff();
        }
        self.counters.messages += 1;
        for flow in &message.flows {
            self.counters.flows += 1;
            self.counters.octets += flow.counts.bytes_to_client + flow.counts.bytes_from_client;
            self.counters.requests += flow.counts.requests;
        }
    }

    /// Some bytes of a message were written: the connection has made progress.
    pub fn bytes_sent(&mut self, now: Millis, index: CollectorIndex) {
        if let Some(collector) = self.collectors.get_mut(index) {
            collector.progress_at = now;
        }
    }

    /// Connects to collectors, closes stalled connections, and sends up to `max_messages` messages. Returns whether
    /// more messages can be sent now. `name` returns the name with a given number.
    pub fn poll<'a>(&mut self, now: Millis, max_messages: usize, name: &impl Fn(u32) -> &'a str) -> bool {
        let mut messages_left = max_messages;
        let mut has_more = false;
        let mut has_active = false;
        for index in 0..self.collectors.len() {
            self.poll_connection(now, index);
            // A standby receives no messages while an earlier collector of the list is up.
            if !self.collectors[index].is_up() || (has_active && !self.settings.replicate) {
                continue;
            }
            has_active = true;
            while self.can_send(now, index) {
                if messages_left == 0 {
                    has_more = true;
                    break;
                }
                messages_left -= 1;
                self.send_message(now, index, name);
            }
        }
        has_more
    }

    /// Connects to a collector when its backoff has passed, or closes its connection when it has stalled.
    fn poll_connection(&mut self, now: Millis, index: CollectorIndex) {
        let collector = &mut self.collectors[index];
        collector.refill_tokens(now, self.settings.message_rate);
        let is_stalled = collector.is_stalled(now, self.settings.stall_timeout);
        match collector.state {
            State::Down { reconnect_at } if now >= reconnect_at => {
                collector.state = State::Connecting;
                collector.progress_at = now;
                self.effects.push_back(Effect::Connect(index));
            }
            State::Down { .. } => collector.correct_reconnect(now),
            State::Up if is_stalled && !collector.in_flight.is_empty() => {
                self.effects.push_back(Effect::Log(LogEvent::Stalled(index)));
                self.effects.push_back(Effect::Close(index));
                self.disconnected(now, index);
            }
            State::Connecting if is_stalled => {
                self.effects.push_back(Effect::Close(index));
                self.disconnected(now, index);
            }
            State::Connecting | State::Up => {}
        }
    }

    /// The latest time at which [`Exporter::poll`] must be called again if no other event occurs before.
    pub fn next_timer(&self, now: Millis) -> Option<Millis> {
        let timers = self.collectors.iter().filter_map(|collector| collector.next_timer(now, &self.settings));
        timers.min().map(|at| at.max(now))
    }
}

fn new_encoder(settings: &Settings, sequence: u32, now: Millis) -> Encoder {
    Encoder::new(settings.version, settings.domain, settings.max_message, sequence, now)
}
