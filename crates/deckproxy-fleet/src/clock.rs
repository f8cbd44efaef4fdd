//! A clock that excludes the time for which the process was paused.
//!
//! A process that was stopped for seconds received nothing in the meantime, which must not count as silence of the other
//! instances. Its SWIM timers therefore run on a clock that excludes such gaps.

use crate::Millis;

/// A reading of the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The time on this clock, excluding pauses.
    pub own_time: Millis,
    /// Length of the pause that has just ended; `None` if there was none.
    pub pause: Option<Millis>,
}

/// The process's own time, derived from the host's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct PauseAwareClock {
    last: Option<Millis>,
    /// Total length of all pauses.
    paused: Millis,
    /// Gap between two readings, in milliseconds, above which the process was paused.
    threshold: Millis,
    /// Number of pauses.
    pub pauses: u64,
}

impl PauseAwareClock {
    /// Creates a clock that must be read at least every `threshold` milliseconds while the process runs.
    pub fn new(threshold: Millis) -> Self {
        PauseAwareClock { last: None, paused: 0.0, threshold, pauses: 0 }
    }

    /// Reads the clock at the host's time `now`.
    pub fn read(&mut self, now: Millis) -> Reading {
        let gap = now - self.last.unwrap_or(now);
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
        let pause = (gap > self.threshold).then_some(gap);
        if let Some(gap) = pause {
            self.paused += gap;
            self.pauses += 1;
        }
        Reading { own_time: now - self.paused, pause }
    }

    /// Changes the longest gap that does not count as a pause.
    pub fn set_threshold(&mut self, threshold: Millis) {
        self.threshold = threshold;
    }

    /// Converts a time on this clock to the host's time.
    pub fn to_host(&self, own_time: Millis) -> Millis {
        own_time + self.paused
    }
}

#[cfg(test)]
mod tests;
