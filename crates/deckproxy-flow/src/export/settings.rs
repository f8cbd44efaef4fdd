//! How the export is set up.

use super::Millis;
use crate::codec::Version;

/// How a collector is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Templates are sent periodically; a lost message is not noticed.
    Udp,
    /// Templates are sent once per connection.
    Tcp,
}

/// The settings of the export.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The protocol.
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
    /// Flows that may wait for one collector (or for all that stand by), bytes.
    pub spool_size: usize,
    /// Bytes in flight on one connection beyond which it gets no further message.
    pub max_in_flight: usize,
    /// Time without progress after which a connection with messages in flight is closed, ms.
    pub stall_timeout: Millis,
    /// Every collector gets all flows; otherwise the first that is up gets them.
    pub replicate: bool,
}

impl Settings {
    /// Whether the settings that take a restart are the same.
    pub(super) fn has_same_fixed_part(&self, other: &Settings) -> bool {
        let fixed = |s: &Settings| (s.version, s.domain, s.enterprise, s.max_message, s.replicate);
        fixed(self) == fixed(other)
    }
}
