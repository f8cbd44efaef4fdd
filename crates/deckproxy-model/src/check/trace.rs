//! The latest events of a run, which explain a violation.

use super::RequestKey;
use crate::Micros;
use crate::members::MemberId;
use std::collections::VecDeque;
use std::fmt::Write;

/// An event that can explain a violation.
#[derive(Clone, Copy, Debug)]
pub enum TraceEvent {
    /// A client's request reached a gateway.
    Requested {
        /// The request.
        request: RequestKey,
    },
    /// A gateway answered a request.
    Answered {
        /// The request.
        request: RequestKey,
        /// How it was answered.
        outcome: &'static str,
    },
    /// An attempt reached a member.
    AttemptArrived {
        /// The request.
        request: RequestKey,
        /// The gateway's key of the attempt.
        attempt: u64,
        /// The member.
        member: MemberId,
    },
    /// An attempt ended at its member.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// The gateway's key of the attempt.
        attempt: u64,
        /// The member.
        member: MemberId,
    },
    /// A write ran at its origin.
    WriteRan {
        /// Number of the write.
        write: u64,
    },
    /// A gateway was notified of a member's state.
    GatewayNotified {
        /// Index of the gateway.
        gateway: u32,
        /// The member.
        member: MemberId,
    },
    /// A member crashed or started.
    MemberChanged {
        /// The member.
        member: MemberId,
        /// Whether it started.
        up: bool,
    },
}

impl TraceEvent {
    /// Whether the event is part of a request.
    pub fn concerns(&self, key: RequestKey) -> bool {
        match self {
            TraceEvent::Requested { request }
            | TraceEvent::Answered { request, .. }
            | TraceEvent::AttemptArrived { request, .. }
            | TraceEvent::AttemptEnded { request, .. } => *request == key,
            TraceEvent::WriteRan { .. }
            | TraceEvent::GatewayNotified { .. }
            | TraceEvent::MemberChanged { .. } => false,
        }
    }
}

/// Events that are kept.
const KEPT_EVENTS: usize = 4096;
/// Events that a description shows at most.
const SHOWN_EVENTS: usize = 30;

/// The latest events, in order of time.
#[derive(Debug, Default)]
pub(super) struct Trace {
    events: VecDeque<(Micros, TraceEvent)>,
}

impl Trace {
    /// Adds an event; the oldest one goes when there are too many.
    pub(super) fn push(&mut self, now: Micros, event: TraceEvent) {
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }

    /// Describes what happened, followed by the latest events that `concerned` selects, one a line.
    pub(super) fn describe(
        &self,
        now: Micros,
        what: &str,
        concerned: impl Fn(&TraceEvent) -> bool,
    ) -> String {
        let mut text = format!("at {:.3} ms: {what}", now as f64 / 1000.0);
        let selected: Vec<_> = self.events.iter().filter(|(_, event)| concerned(event)).collect();
        for (at, event) in selected.iter().skip(selected.len().saturating_sub(SHOWN_EVENTS)) {
            let _ = write!(text, "\n  {:.3} {event:?}", *at as f64 / 1000.0);
        }
        text
    }
}
