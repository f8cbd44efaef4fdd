//! Flow export: accounts bytes and requests on the connections of clients, members and links to flows, and exports
//! these to collectors in background tasks that yield to requests.

mod accounting;

use crate::program::subsystem::{
    Context, Effect, Effects, Event, Field, Note, Subsystem, micros, outcome_of,
};
use crate::transport::clock;
use accounting::Accounting;
use deckproxy_flow::account::Micros;
use deckproxy_flow::export::{self, CollectorIndex, Exporter, Transport};
use deckproxy_flow::meter::{Flow, Outcome};
use deckproxy_flow::scheduler::{Scheduler, TaskId, TaskSettings};
use deckproxy_operator::Operator;
use slog::{Logger, info, warn};
use std::net::SocketAddr;

/// Number of networks with most bytes that the summary lists.
const TOP_LOGGED: usize = 3;
/// Flows checked between two reads of the clock.
const FLOWS_PER_ROUND: usize = 64;
/// Messages encoded between two reads of the clock.
const MESSAGES_PER_ROUND: usize = 2;
/// Scheduling of the task that collects flows; time slice and maximum delay in microseconds.
const COLLECT_TASK: TaskSettings = TaskSettings { priority_weight: 2, time_slice: 300, max_delay: 200_000 };
/// Scheduling of the task that sends to collectors; time slice and maximum delay in microseconds.
const SEND_TASK: TaskSettings = TaskSettings { priority_weight: 2, time_slice: 300, max_delay: 50_000 };
/// Longest time between two polls of the exporter, microseconds.
const EXPORTER_POLL_INTERVAL: Micros = 200_000;

/// The flow export of one gateway.
pub struct Flows {
    log: Logger,
    accounting: Accounting,
    exporter: Exporter,
    collectors: Vec<(SocketAddr, Transport)>,
    /// The settings in force.
    operator: deckproxy_operator::Flows,
    /// The task that moves due flows from the meter to the exporter.
    collect_task: TaskId,
    /// The task that encodes messages and sends them to collectors.
    send_task: TaskId,
    /// Time between two scans of all flows, microseconds.
    collect_interval: Micros,
    /// Reused buffer for due flows.
    due: Vec<Flow>,
    /// When a shutdown stops waiting for the last flows to be exported, ms.
    flush_deadline: Option<f64>,
}

impl Flows {
    /// Starts the flow export that the operator file configures; returns none if it configures none.
    pub(super) fn start(
        log: &Logger,
        now: f64,
        seed: u64,
        classes: &[String],
        operator: &Operator,
        tasks: &mut Scheduler,
    ) -> Option<Box<Self>> {
        let flows = operator.flows.as_ref()?;
        let (limits, collectors) = (flows.meter_limits(), flows.collector_endpoints());
        let transports: Vec<Transport> = collectors.iter().map(|(_, transport)| *transport).collect();
        // Sequence numbers start at the lower half of the seed, so that a collector that remembers an earlier process
        // detects the restart.
        let first_sequence = seed as u32;
        let collect_task = tasks.add(COLLECT_TASK);
        let send_task = tasks.add(SEND_TASK);
        tasks.wake(micros(now), collect_task);
        tasks.wake(micros(now), send_task);
        Some(Box::new(Flows {
            log: log.clone(),
            collect_interval: (limits.idle_timeout * 1000 / 4).clamp(20_000, 1_000_000),
            accounting: Accounting::new(limits, classes),
            exporter: Exporter::new(flows.settings(), &transports, first_sequence, now as u64),
            collectors,
            operator: flows.clone(),
            collect_task,
            send_task,
            due: Vec::new(),
            flush_deadline: None,
        }))
    }

    /// The number of collectors.
    pub(super) fn collectors(&self) -> usize {
        self.collectors.len()
    }

    /// Whether this is the background task that sends to collectors.
    pub(super) fn is_send_task(&self, task: TaskId) -> bool {
        self.send_task == task
    }

    /// Moves due flows to the exporter until the time `end`. Returns whether flows are left to check.
    fn collect(&mut self, end: Micros, out: &mut Effects) -> bool {
        loop {
            let now = micros(clock::now());
            let is_round_complete =
                self.accounting.meter.take_due(now / 1000, FLOWS_PER_ROUND, &mut self.due);
            if !self.due.is_empty() {
                out.push_back(Effect::WakeTask { task: self.send_task, at: None });
            }
            for flow in self.due.drain(..) {
                self.exporter.push(flow);
            }
            if is_round_complete {
                let at = Some(now + self.collect_interval);
                out.push_back(Effect::WakeTask { task: self.collect_task, at });
                return false;
            }
            if now >= end {
                return true;
            }
        }
    }

    /// Lets the exporter encode messages. Returns whether it has more work to do at once.
    fn send(&mut self, now: f64, out: &mut Effects) -> bool {
        let names = &self.accounting.names;
        let more = self.exporter.poll(now as u64, MESSAGES_PER_ROUND, &|number| names.name(number));
        self.apply_exporter_effects(out);
        if !more {
            let due = self.exporter.next_timer(now as u64).map(|at| at * 1000);
            let poll = micros(now) + EXPORTER_POLL_INTERVAL;
            let at = due.map_or(poll, |due| due.min(poll));
            out.push_back(Effect::WakeTask { task: self.send_task, at: Some(at) });
        }
        more
    }

    fn apply_exporter_effects(&mut self, out: &mut Effects) {
        while let Some(effect) = self.exporter.next_effect() {
            match effect {
                export::Effect::Connect(index) => {
                    if let Some((to, transport)) = self.collectors.get(index).copied() {
                        out.push_back(Effect::ConnectCollector { index, to, transport });
                    }
                }
                export::Effect::Send { collector: index, number, message } => {
                    out.push_back(Effect::SendToCollector { index, number, message });
                }
                export::Effect::Close(index) => out.push_back(Effect::CloseCollector(index)),
                export::Effect::Log(event) => info!(self.log, "flows"; "what" => event.to_string()),
            }
        }
    }

    /// Handles an event of a connection to a collector. Returns whether the event was one.
    fn collector_event(&mut self, now: f64, event: &Event<'_>) -> bool {
        let now = now as u64;
        match *event {
            Event::CollectorConnected(index) => self.exporter.connected(now, index),
            Event::CollectorFailed(index) => self.exporter.disconnected(now, index),
            Event::CollectorBytesSent(index) => self.exporter.bytes_sent(now, index),
            Event::CollectorMessageSent { index, number } => self.exporter.message_sent(now, index, number),
            _ => return false,
        }
        true
    }

    /// Accounts for an event on the connections of clients, members and links.
    fn account(&mut self, now: f64, event: &Event<'_>) {
        let accounting = &mut self.accounting;
        match *event {
            Event::ClientConnected { client, address } => accounting.client_connected(client, address),
            Event::ClientBytesReceived { client, bytes } => {
                accounting.client_bytes_received(now, client, bytes);
            }
            Event::RequestReceived { client, id, class, bytes } => {
                accounting.request_received(now, (client, id), class, bytes);
            }
            Event::AnswerQueued { client, id, answer } => {
                accounting.answer_queued(client, Some(id), outcome_of(answer));
            }
            Event::PingAnswered { client } => accounting.answer_queued(client, None, Outcome::Served),
            Event::ClientBytesSent { client, bytes } => accounting.client_bytes_sent(now, client, bytes),
            Event::RequestCancelled { client, id } => accounting.request_cancelled(now, (client, id)),
            Event::ClientGone { client, cut, unread } => accounting.client_gone(now, client, cut, unread),
            Event::AttemptSent { key, client, class, member } => {
                accounting.attempt_sent(now, key, client, class, member);
            }
            Event::MemberBytesSent { member, written } => accounting.member_bytes_sent(now, member, written),
            Event::MemberReplied { member, key, status, bytes } => {
                accounting.member_replied(now, member, key, status, bytes);
            }
            Event::MemberBytesReceived { member, bytes } => {
                accounting.member_bytes_received(now, member, bytes);
            }
            Event::AttemptEnded { key, outcome } => accounting.attempt_ended(now, key, outcome),
            Event::LinkBytesReceived { site, bytes, .. } => accounting.link_bytes(now, site, bytes, 0),
            Event::LinkBytesSent { site, bytes } => accounting.link_bytes(now, site, 0, bytes),
            Event::Notified(note) => Self::account_note(accounting, now, note),
            _ => {}
        }
    }

    fn account_note(accounting: &mut Accounting, now: f64, note: &Note) {
        match note {
            Note::RequestForwarded { client, id, site } => {
                accounting.request_forwarded((*client, *id), site);
            }
            Note::LinkRequestBegan { run, class, site } => {
                accounting.link_request_began(now, *run, class, site.as_deref());
            }
            Note::LinkRequestEnded { run, outcome } => accounting.link_request_ended(now, *run, *outcome),
        }
    }

    /// Logs a warning if a new operator file changes settings that require a restart.
    fn warn_of_restart(&self, new: &deckproxy_operator::Flows) {
        let restart_settings = |flows: &deckproxy_operator::Flows| {
            let settings = flows.settings();
            let export::Settings { version, domain, enterprise, max_message, spool_size, replicate, .. } =
                settings;
            (version, domain, enterprise, max_message, spool_size, replicate)
        };
        if restart_settings(new) != restart_settings(&self.operator)
            || new.meter_limits() != self.operator.meter_limits()
        {
            warn!(
                self.log,
                "reload: flows' delivery, protocol, domain, enterprise, message_bytes, spool_kb and meter take a restart"
            );
        }
    }
}

impl Subsystem for Flows {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects) {
        if self.collector_event(cx.now, event) {
            out.push_back(Effect::WakeTask { task: self.send_task, at: None });
        } else {
            self.account(cx.now, event);
        }
    }

    fn run_task(&mut self, cx: &Context<'_>, task: TaskId, end: Micros, out: &mut Effects) -> Option<bool> {
        if task == self.collect_task {
            Some(self.collect(end, out))
        } else if task == self.send_task {
            Some(self.send(cx.now, out))
        } else {
            None
        }
    }

    /// Exports the remaining flows, for at most the configured flush timeout.
    fn finish(&mut self, cx: &Context<'_>, out: &mut Effects) -> bool {
        if let Some(deadline) = self.flush_deadline {
            return self.exporter.is_drained() || cx.now >= deadline;
        }
        let deadline = cx.now + self.operator.flush_timeout();
        self.flush_deadline = Some(deadline);
        for flow in self.accounting.meter.take_all() {
            self.exporter.push(flow);
        }
        out.push_back(Effect::WakeTask { task: self.send_task, at: None });
        out.push_back(Effect::WakeLoopAt(deadline));
        self.exporter.is_drained() || cx.now >= deadline
    }

    /// Applies the collectors, rates and times of a new operator file.
    fn reload(&mut self, cx: &Context<'_>, operator: &Operator, out: &mut Effects) {
        let Some(new) = &operator.flows else { return };
        self.warn_of_restart(new);
        let new_settings = new.settings();
        let settings = export::Settings {
            message_rate: new_settings.message_rate,
            template_interval: new_settings.template_interval,
            stall_timeout: new_settings.stall_timeout,
            ..self.operator.settings()
        };
        let collectors = new.collector_endpoints();
        let previous_index = |one| self.collectors.iter().position(|other| other == one);
        let previous: Vec<(Transport, Option<CollectorIndex>)> =
            collectors.iter().map(|one| (one.1, previous_index(one))).collect();
        self.exporter.replace_collectors(settings, &previous, cx.now as u64);
        out.push_back(Effect::ReorderCollectors(previous.into_iter().map(|(_, index)| index).collect()));
        self.collectors = collectors;
        // Settings that require a restart stay unchanged.
        self.operator = deckproxy_operator::Flows {
            collectors: new.collectors.clone(),
            rate: new.rate,
            refresh_ms: new.refresh_ms,
            stall_ms: new.stall_ms,
            flush_ms: new.flush_ms,
            ..self.operator.clone()
        };
        out.push_back(Effect::WakeTask { task: self.send_task, at: None });
        info!(self.log, "reload: collectors are in force"; "collectors" => self.collectors.len());
    }

    /// Flow export's part of the summary line. Resets the counts of the networks with most bytes.
    fn summary(&mut self) -> Vec<Field> {
        let counters = self.exporter.counters;
        let backlog = self.exporter.backlog();
        let states =
            self.exporter.collectors_up().map(|up| if up { "up" } else { "down" }.to_string()).collect();
        let top = self.accounting.take_top(TOP_LOGGED);
        let accounting = &self.accounting;
        let open = [
            Field::value("flows", accounting.meter.len()),
            Field::value("kb", accounting.meter.memory_bytes() / 1024),
            Field::value("clients", accounting.clients.len()),
            Field::value("attempts", accounting.attempts.len()),
            Field::value("runs", accounting.link_requests.len()),
        ];
        let exported = [
            Field::value("flows", counters.flows),
            Field::value("messages", counters.messages),
            Field::value("octets", counters.octets),
            Field::value("requests", counters.requests),
        ];
        let lost = [
            Field::value("flows", counters.lost_flows),
            Field::value("unreported", self.exporter.unreported_loss().flows),
        ];
        vec![
            Field::items("collectors", states),
            Field::group("open", open),
            Field::value("folded", accounting.meter.folds),
            Field::value("overflows", accounting.meter.overflows),
            Field::group("exported", exported),
            Field::group(
                "backlog",
                [Field::value("spooled", backlog.spooled), Field::value("in_flight", backlog.in_flight)],
            ),
            Field::value("merged", self.exporter.merged()),
            Field::group("lost", lost),
            Field::value("connections_lost", counters.connections_lost),
            Field::items("top", top),
        ]
    }
}
