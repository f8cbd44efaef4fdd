//! Effects that the exporter requests from its caller, log events, and counters.

use bytes::Bytes;
use std::fmt;

/// A collector, by its index in the list.
pub type CollectorIndex = usize;

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection (over UDP: a socket).
    Connect(CollectorIndex),
    /// Send a message.
    Send {
        /// The collector.
        collector: CollectorIndex,
        /// The number to pass to [`Exporter::message_sent`] once the message is written.
        ///
        /// [`Exporter::message_sent`]: super::Exporter::message_sent
        number: u64,
        /// The message.
        message: Bytes,
    },
    /// Close the connection.
    Close(CollectorIndex),
    /// Write a line to the operators' log.
    Log(LogEvent),
}

/// An event for the operators' log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A collector is connected.
    Up(CollectorIndex),
    /// The connection to a collector was lost.
    Lost(CollectorIndex),
    /// A collector accepted no bytes within the stall timeout.
    Stalled(CollectorIndex),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::Up(collector) => write!(formatter, "collector {collector}: up"),
            LogEvent::Lost(collector) => write!(formatter, "collector {collector}: lost"),
            LogEvent::Stalled(collector) => write!(formatter, "collector {collector}: stalled"),
        }
    }
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that were written completely.
    pub messages: u64,
    /// Flows in those messages.
    pub flows: u64,
    /// Bytes of those flows, in both directions.
    pub octets: u64,
    /// Requests of those flows.
    pub requests: u64,
    /// Dropped flows reported in messages; counted again if the message is not written and they are reported again.
    pub lost_flows: u64,
    /// Connections to collectors that were lost.
    pub connections_lost: u64,
}

/// Flows that are not exported yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Flows in the spools.
    pub spooled: usize,
    /// Flows in messages that are not completely written yet.
    pub in_flight: usize,
}
