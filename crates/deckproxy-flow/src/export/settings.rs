//! Settings of the export.

use super::Millis;
use crate::codec::Version;

/// The transport protocol to a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Templates are sent periodically; the exporter doesn't detect lost messages.
    Udp,
    /// Templates are sent once per connection.
    Tcp,
}

/// The settings of the export.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The protocol version.
    pub version: Version,
    /// The observation domain.
    pub domain: u32,
    /// The enterprise number of this project's own elements.
    pub enterprise: u32,
    /// Largest message, bytes.
    pub max_message: usize,
    /// Messages per second to one collector; 0: no limit.
    pub message_rate: u32,
    /// Over UDP, interval at which templates are sent again, ms.
    pub template_interval: Millis,
    /// Size of a spool, bytes: one for each replica, or one for all standbys.
    pub spool_size: usize,
    /// Number of bytes in flight on a connection at which no further messages are sent on it.
    pub max_in_flight: usize,
    /// Time without progress after which a connection attempt, or a connection with messages in flight, is
    /// closed, ms.
    pub stall_timeout: Millis,
    /// Whether every collector receives all flows; otherwise the first that is up receives them.
    pub replicate: bool,
}

impl Settings {
    /// Whether the settings that require a restart are the same.
    pub(super) fn has_same_restart_settings(&self, other: &Settings) -> bool {
        let restart_settings = |s: &Settings| (s.version, s.domain, s.enterprise, s.max_message, s.replicate);
        restart_settings(self) == restart_settings(other)
    }
}
