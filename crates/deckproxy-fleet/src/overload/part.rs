//! An instance's part of what the fleet lets in of repeats.

use crate::Millis;

/// For how long an instance's part of the repeats may be saved up, ms.
const SAVED: Millis = 500.0;

/// An instance's part of a budget of the fleet: lent by each cut, gone with it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    left: f64,
    /// A second.
    rate: f64,
    filled: Millis,
}

impl Part {
    /// Nothing is lent.
    pub fn none(now: Millis) -> Self {
        Part { filled: now, ..Part::default() }
    }

    /// So many a second from now on, by a cut.
    pub fn lend(&mut self, now: Millis, rate: f64) {
        self.fill(now);
        self.rate = rate;
    }

    fn fill(&mut self, now: Millis) {
        let more = self.rate * (now - self.filled).max(0.0) / 1000.0;
        self.left = (self.left + more).min((self.rate * SAVED / 1000.0).max(1.0));
        self.filled = now;
    }

    /// Whether one may pass; `promised`: that is owed, and may be paid for a little later.
    pub fn spend(&mut self, now: Millis, promised: bool) -> bool {
        self.fill(now);
        let owed = if promised { self.rate * SAVED / 1000.0 + 1.0 } else { 0.0 };
        let may = self.left + owed >= 1.0;
        if may {
            self.left -= 1.0;
        }
        may
    }
}
