//! Pending events, in order of time; events of the same time in the order in which they were added.

mod heap;
mod wheel;

#[cfg(test)]
mod tests;

pub use heap::HeapQueue;
pub use wheel::TimingWheel;

use crate::Micros;

/// A queue of pending events.
pub trait EventQueue<E> {
    /// Adds an event; one in the past is due immediately.
    fn push(&mut self, at: Micros, event: E);
    /// Removes the next event and returns it with its time.
    fn pop(&mut self) -> Option<(Micros, E)>;
    /// Number of pending events.
    fn len(&self) -> usize;
    /// Whether no event is pending.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
