//! The times at which an instance could not answer: killed, stopped or ending.

use std::sync::{Arc, Mutex};

/// A span of a run, ms of the record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its beginning.
    pub from: f64,
    /// Its end; `f64::MAX` while it lasts.
    pub to: f64,
}

impl Span {
    /// Whether any of it lies in another span, ends included.
    pub fn overlaps(&self, other: Span) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// The absences of an instance. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Absences(Arc<Mutex<Vec<Span>>>);

impl Absences {
    /// The instance cannot answer from now on.
    pub(crate) fn begin(&self, now: f64) {
        self.0.lock().unwrap().push(Span { from: now, to: f64::MAX });
    }

    /// It can again.
    pub(crate) fn end(&self, now: f64) {
        let mut spans = self.0.lock().unwrap();
        spans.iter_mut().filter(|span| span.to == f64::MAX).for_each(|span| span.to = now);
    }

    /// Whether it could not answer at some time from `from` to `to`, ms of the record.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn overlap(&self, from: f64, to: f64) -> bool {
        self.0.lock().unwrap().iter().any(|span| span.overlaps(Span { from, to }))
    }

    /// All of them, in the order in which they began.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn spans(&self) -> Vec<Span> {
        self.0.lock().unwrap().clone()
    }
}
