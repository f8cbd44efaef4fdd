//! One collector: its connection, the messages in flight, and its rate limit.

use super::Millis;
use super::settings::{Settings, Transport};
use crate::codec::Encoder;
use crate::meter::Flow;
use crate::spool::Loss;
use std::collections::VecDeque;

/// Backoff before the first reconnect, ms.
const FIRST_BACKOFF: Millis = 200;
/// Longest backoff before a reconnect, ms.
const LONGEST_BACKOFF: Millis = 10_000;
/// Over UDP, how long templates are sent ahead of the first flows, ms: where no collector listens, the network reports
/// it within that time (ICMP), and no flow was sent.
const TEMPLATE_LEAD: Millis = 100;
/// Tokens that one message costs: the bucket counts in thousandths of a message, as its rate is per second and its
/// clock in milliseconds.
const TOKENS_PER_MESSAGE: u64 = 1000;

/// The state of a collector's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Down { reconnect_at: Millis },
    Connecting,
    Up,
}

/// A message that is not written completely.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    /// The sequence number in its header.
    pub(super) sequence: u32,
    pub(super) bytes: usize,
    pub(super) flows: Vec<Flow>,
    /// The loss that it reports.
    pub(super) loss: Loss,
}

/// A collector.
#[derive(Debug)]
pub(super) struct Collector {
    pub(super) transport: Transport,
    pub(super) state: State,
    backoff: Millis,
    pub(super) encoder: Encoder,
    /// When templates were sent last on this connection.
    pub(super) templates_sent_at: Option<Millis>,
    pub(super) in_flight: VecDeque<InFlight>,
    /// When the connection last made progress.
    pub(super) progress_at: Millis,
    /// Tokens of the rate limit.
    tokens: u64,
    tokens_filled_at: Millis,
    /// Over UDP, until when nothing follows the first templates.
    lead_until: Millis,
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
            tokens_filled_at: now,
            lead_until: 0,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Takes the connection for lost, and doubles the backoff.
    pub(super) fn set_down(&mut self, now: Millis) {
        self.state = State::Down { reconnect_at: now + self.backoff };
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }

    /// Starts the backoff from its beginning.
    pub(super) fn reset_backoff(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Corrects a reconnect that is too far off, as the clock was set back.
    pub(super) fn correct_reconnect(&mut self, now: Millis) {
        if let State::Down { reconnect_at } = &mut self.state
            && *reconnect_at > now + LONGEST_BACKOFF
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

    /// Adds the tokens of the rate limit for the time that has passed.
    pub(super) fn fill_tokens(&mut self, now: Millis, rate: u32) {
        let rate = u64::from(rate);
        let earned = now.saturating_sub(self.tokens_filled_at) * rate;
        self.tokens = (self.tokens + earned).min(rate.max(1) * TOKENS_PER_MESSAGE);
        self.tokens_filled_at = now;
    }

    /// Whether the rate limit allows a message.
    pub(super) fn has_token(&self, rate: u32) -> bool {
        rate == 0 || self.tokens >= TOKENS_PER_MESSAGE
    }

    /// Takes the tokens of one message.
    pub(super) fn take_token(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKENS_PER_MESSAGE);
    }

    /// Whether templates have to be sent before anything else.
    pub(super) fn needs_templates(&self, now: Millis, settings: &Settings) -> bool {
        let Some(sent_at) = self.templates_sent_at else { return true };
        let is_old = now.saturating_sub(sent_at) >= settings.template_interval || sent_at > now;
        self.transport == Transport::Udp && is_old
    }

    /// Whether the next message carries templates ahead of all flows.
    pub(super) fn is_lead_due(&self) -> bool {
        self.transport == Transport::Udp && self.templates_sent_at.is_none()
    }

    /// Sends nothing for a while after the first templates.
    pub(super) fn start_lead(&mut self, now: Millis) {
        self.lead_until = now + TEMPLATE_LEAD;
    }

    /// Whether it waits after the first templates; not where the clock was set back since.
    pub(super) fn is_in_lead(&self, now: Millis) -> bool {
        now < self.lead_until && self.lead_until <= now + TEMPLATE_LEAD
    }

    /// When it needs attention next, where nothing happens before.
    pub(super) fn next_timer(&self, now: Millis, settings: &Settings) -> Option<Millis> {
        let stall_at = self.progress_at + settings.stall_timeout + 1;
        match self.state {
            State::Down { reconnect_at } => Some(reconnect_at),
            State::Connecting => Some(stall_at),
            State::Up if !self.in_flight.is_empty() => Some(stall_at),
            State::Up if self.lead_until > now => Some(self.lead_until),
            State::Up if self.transport == Transport::Udp => {
                self.templates_sent_at.map(|at| at + settings.template_interval)
            }
            State::Up => None,
        }
    }
}
