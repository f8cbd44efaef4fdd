//! The process's own time: it stands still while the process does.
//!
//! A process that was stopped for seconds must not take what it has not heard meanwhile for silence of the others. Its
//! timers therefore go by a time from which such gaps are left out, and whoever asks is told that there was one.

use crate::Millis;

/// Own time from the host's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct OwnTime {
    last: Option<Millis>,
    lost: Millis,
    /// A gap between two looks that is longer than this is a pause.
    longest: Millis,
    /// Pauses so far.
    pub pauses: u64,
}

impl OwnTime {
    /// A clock that is looked at more often than every `longest` ms while the process runs.
    pub fn new(longest: Millis) -> Self {
        OwnTime { last: None, lost: 0.0, longest, pauses: 0 }
    }

    /// Own time at a time of the host's clock, and the length of the pause that has just ended, if there was one.
    pub fn look(&mut self, now: Millis) -> (Millis, Option<Millis>) {
        let gap = now - self.last.unwrap_or(now);
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
        let pause = (gap > self.longest).then_some(gap);
        if let Some(gap) = pause {
            self.lost += gap;
            self.pauses += 1;
        }
        (now - self.lost, pause)
    }

    /// Sets the longest gap that is no pause.
    pub fn allow(&mut self, longest: Millis) {
        self.longest = longest;
    }

    /// The host's time for a point of own time.
    pub fn host(&self, own: Millis) -> Millis {
        own + self.lost
    }
}

#[cfg(test)]
mod tests;
