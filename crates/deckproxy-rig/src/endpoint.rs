//! An instance as clients know it, and when they excuse that it did not answer.

use crate::absence::Absences;
use std::net::SocketAddr;

/// A request sent so short a time before its connection was closed may have crossed the close, ms.
const CLOSE_RACE_MS: f64 = 50.0;
/// An instance that ended so short a time before a request counts as absent, ms.
const ABSENCE_SLACK_MS: f64 = 5.0;

/// An instance as clients know it.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it could not answer.
    pub absences: Absences,
}

impl Endpoint {
    /// Whether a request whose connection ended needs no answer: the instance could not give one, or the request crossed
    /// the close. Times are ms of the record.
    pub(crate) fn excuses_loss(&self, sent_at: f64, now: f64) -> bool {
        self.absences.overlap(sent_at - ABSENCE_SLACK_MS, now) || now - sent_at < CLOSE_RACE_MS
    }

    /// Whether an answer that came now is late because the instance was stopped meanwhile. Times are ms of the record.
    pub(crate) fn excuses_late_answer(&self, sent_at: f64, timeout_ms: f64, now: f64) -> bool {
        now > sent_at + timeout_ms && self.absences.overlap(sent_at, now)
    }
}
