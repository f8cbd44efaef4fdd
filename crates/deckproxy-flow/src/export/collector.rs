//! The state of one collector: its connection, its messages in flight, and its rate limit.

use super::Millis;
use super::settings::{Settings, Transport};
use crate::codec::Encoder;
use crate::meter::Flow;
use crate::spool::Loss;
use std::collections::VecDeque;

/// Backoff before the first reconnect, ms.
const FIRST_BACKOFF: Millis = 200;
/// Longest backoff before a reconnect, ms.
const MAX_BACKOFF: Millis = 10_000;
/// Over UDP, time between the first templates and the first flows, ms. If no collector listens, the network
/// reports that within this time (ICMP), before any flow is sent.
const TEMPLATE_LEAD_TIME: Millis = 100;
/// Tokens that one message costs. A token is a thousandth of a message, as the rate is per second and the clock in
/// milliseconds.
const TOKENS_PER_MESSAGE: u64 = 1000;

/// The state of a collector's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Down { reconnect_at: Millis },
    Connecting,
    Up,
}

/// A message that is not completely written yet.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    /// The sequence number in its header.
    pub(super) sequence: u32,
    pub(super) bytes: usize,
    pub(super) flows: Vec<Flow>,
    /// The loss that the message reports.
    pub(super) loss: Loss,
}

/// A collector and its connection.
#[derive(Debug)]
pub(super) struct Collector {
    pub(super) transport: Transport,
    pub(super) state: State,
    backoff: Millis,
    pub(super) encoder: Encoder,
    /// When templates were last sent on this connection.
    pub(super) templates_sent_at: Option<Millis>,
    pub(super) in_flight: VecDeque<InFlight>,
    /// When the connection last made progress.
    pub(super) progress_at: Millis,
    /// Token bucket of the rate limit.
    tokens: u64,
    refilled_at: Millis,
    /// Over UDP, when the delay between the first templates and the first flows ends.
    flows_delayed_until: Millis,
}

impl Collector {
    /// A collector without a connection.
    pub(super) fn new(transport: Transport, encoder: Encoder, now: Millis) -> Self {
        Collector {
            transport,
            state: State::Down { reconnect_at: now },
            backoff: FIRST_BACKOFF,
            encoder,
            templates_sent_at: None,
            in_flight: VecDeque::new(),
            progress_at: now,
            tokens: TOKENS_PER_MESSAGE,
            refilled_at: now,
            flows_delayed_until: 0,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Marks the connection as down until the backoff has passed, and doubles the backoff.
    pub(super) fn set_down(&mut self, now: Millis) {
        self.state = State::Down { reconnect_at: now + self.backoff };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Resets the backoff to its initial value.
    pub(super) fn reset_backoff(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Brings forward a reconnect that is due later than the longest backoff, because the clock was set back.
    pub(super) fn correct_reconnect(&mut self, now: Millis) {
        if let State::Down { reconnect_at } = &mut self.state
            && *reconnect_at > now + MAX_BACKOFF
        {
            *reconnect_at = now + FIRST_BACKOFF;
        }
    }

    /// Whether the connection made no progress within the timeout.
    pub(super) fn is_stalled(&self, now: Millis, stall_timeout: Millis) -> bool {
        now.saturating_sub(self.progress_at) > stall_timeout
    }

    /// Bytes of the messages in flight.
    pub(super) fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|message| message.bytes).sum()
    }

    /// Refills the token bucket for the time that has passed; `rate`: messages per second.
    pub(super) fn refill_tokens(&mut self, now: Millis, rate: u32) {
        let rate = u64::from(rate);
        let refill = now.saturating_sub(self.refilled_at) * rate;
        self.tokens = (self.tokens + refill).min(rate.max(1) * TOKENS_PER_MESSAGE);
        self.refilled_at = now;
    }

    /// Whether the rate limit allows a message; `rate`: messages per second, 0 is no limit.
    pub(super) fn has_token(&self, rate: u32) -> bool {
        rate == 0 || self.tokens >= TOKENS_PER_MESSAGE
    }

    /// Consumes the tokens of one message.
    pub(super) fn take_token(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKENS_PER_MESSAGE);
    }

    /// Whether the next message must start with the templates.
    pub(super) fn needs_templates(&self, now: Millis, settings: &Settings) -> bool {
        let Some(sent_at) = self.templates_sent_at else { return true };
        let is_old = now.saturating_sub(sent_at) >= settings.template_interval || sent_at > now;
        self.transport == Transport::Udp && is_old
    }

    /// Whether the next message contains only templates: over UDP, the first one of a connection.
    pub(super) fn is_templates_only(&self) -> bool {
        self.transport == Transport::Udp && self.templates_sent_at.is_none()
    }

    /// Starts the delay between the first templates and the first flows.
    pub(super) fn delay_flows(&mut self, now: Millis) {
        self.flows_delayed_until = now + TEMPLATE_LEAD_TIME;
    }

    /// Whether flows are delayed after the first templates. The delay ends at once if the clock was set back.
    pub(super) fn is_delaying_flows(&self, now: Millis) -> bool {
        now < self.flows_delayed_until && self.flows_delayed_until <= now + TEMPLATE_LEAD_TIME
    }

    /// When the collector must be polled next if no other event occurs before.
    pub(super) fn next_timer(&self, now: Millis, settings: &Settings) -> Option<Millis> {
        let stall_at = self.progress_at + settings.stall_timeout + 1;
        match self.state {
            State::Down { reconnect_at } => Some(reconnect_at),
            State::Connecting => Some(stall_at),
            State::Up if !self.in_flight.is_empty() => Some(stall_at),
            State::Up if self.flows_delayed_until > now => Some(self.flows_delayed_until),
            State::Up if self.transport == Transport::Udp => {
                self.templates_sent_at.map(|at| at + settings.template_interval)
            }
            State::Up => None,
        }
    }
}
