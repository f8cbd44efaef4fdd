//! The process's own time, which stands still while the process is paused.
//!
//! A process that was stopped for seconds must not mistake what it did not receive meanwhile for silence of the others. Its
//! timers therefore go by a clock from which such gaps are left out.

use crate::Millis;

/// A reading of the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The process's own time.
    pub own: Millis,
    /// Length of the pause that has just ended; `None` where there was none.
    pub pause: Option<Millis>,
}

/// Own time, derived from the host's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct PauseAwareClock {
    last: Option<Millis>,
    /// Length of all pauses.
    paused: Millis,
    /// A gap between two readings that is longer than this is a pause.
    threshold: Millis,
    /// Number of pauses.
    pub pauses: u64,
}

impl PauseAwareClock {
    /// A clock that is read more often than every `threshold` milliseconds while the process runs.
    pub fn new(threshold: Millis) -> Self {
        PauseAwareClock { last: None, paused: 0.0, threshold, pauses: 0 }
    }

    /// Reads the clock at a time of the host's.
    pub fn read(&mut self, now: Millis) -> Reading {
        let gap = now - self.last.unwrap_or(now);
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
        let pause = (gap > self.threshold).then_some(gap);
        if let Some(gap) = pause {
            self.paused += gap;
            self.pauses += 1;
        }
        Reading { own: now - self.paused, pause }
    }

    /// Changes the longest gap that is no pause.
    pub fn set_threshold(&mut self, threshold: Millis) {
        self.threshold = threshold;
    }

    /// The host's time for a point of own time.
    pub fn to_host(&self, own: Millis) -> Millis {
        own + self.paused
    }
}

#[cfg(test)]
mod tests;
