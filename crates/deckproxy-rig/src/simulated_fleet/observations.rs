//! What is observed of a simulated fleet while it runs.

use deckproxy_fleet::Millis;

/// A health check, as the member saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheck {
    /// When it came, ms.
    pub at: Millis,
    /// The instance that made it.
    pub instance: usize,
    /// The member.
    pub member: u32,
}

/// The members that an instance ejects from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// From when on, ms.
    pub at: Millis,
    /// The instance.
    pub instance: usize,
    /// All members that it ejects.
    pub members: Vec<u32>,
}

/// A line of an instance's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, ms.
    pub at: Millis,
    /// The instance.
    pub instance: usize,
    /// The text.
    pub text: String,
}
