//! Times of records: Unix milliseconds, shown and read as RFC 3339 text.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// The last second that RFC 3339 can write: 9999-12-31T23:59:59Z, in Unix time.
const LAST_SECOND: u64 = 253_402_300_799;

/// Why a text is not a time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TimeError {
    /// It is neither a time nor a duration.
    #[error("{0:?}: expected a time such as 2026-12-01T08:00:00Z, or a duration before now such as 15m")]
    Malformed(String),
    /// The duration goes back further than the clock.
    #[error("{0:?}: before the first time of the clock")]
    TooEarly(String),
}

/// Reads a time, given as such or as a duration before `now`. In Unix ms; 0 for times before 1970.
pub fn parse(text: &str, now: SystemTime) -> Result<u64, TimeError> {
    let time = match humantime::parse_rfc3339(text) {
        Ok(time) => time,
        Err(_) => before(text, now)?,
    };
    Ok(unix_ms(time))
}

fn before(text: &str, now: SystemTime) -> Result<SystemTime, TimeError> {
    let duration = humantime::parse_duration(text.trim_start_matches('-'))
        .map_err(|_| TimeError::Malformed(text.to_string()))?;
    now.checked_sub(duration).ok_or_else(|| TimeError::TooEarly(text.to_string()))
}

/// A time in Unix ms; 0 for times before 1970.
pub fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// A time in Unix ms as RFC 3339 text with milliseconds.
///
/// A time after the year 9999, which an exporter may send, has no such text: its number is shown.
pub fn format_millis(unix_ms: u64) -> String {
    representable(unix_ms)
        .map_or_else(|| format!("{unix_ms} ms"), |time| humantime::format_rfc3339_millis(time).to_string())
}

/// A time in Unix ms as RFC 3339 text to the second; like [`format_millis`] after the year 9999.
pub fn format_seconds(unix_ms: u64) -> String {
    representable(unix_ms)
        .map_or_else(|| format!("{unix_ms} ms"), |time| humantime::format_rfc3339_seconds(time).to_string())
}

fn representable(unix_ms: u64) -> Option<SystemTime> {
    (unix_ms / 1000 <= LAST_SECOND).then(|| UNIX_EPOCH + Duration::from_millis(unix_ms))
}

#[cfg(test)]
mod tests;
