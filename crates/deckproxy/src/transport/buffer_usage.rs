//! Accounting of the memory in connections' buffers.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes in the buffers of all connections of one kind.
#[derive(Debug, Default)]
pub struct BufferUsage {
    input: Cell<usize>,
    output: Cell<usize>,
    requests: Cell<usize>,
    reservations: Cell<usize>,
}

impl BufferUsage {
    /// Bytes allocated for input: received and not decoded yet, or reserved for the rest of a message.
    pub fn input(&self) -> usize {
        self.input.get()
    }

    /// Bytes that messages waiting to be written take.
    pub fn output(&self) -> usize {
        self.output.get()
    }

    /// Bytes of requests that are received and not forwarded yet.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Number of connections that have reserved memory for the rest of a message.
    pub fn reservations(&self) -> usize {
        self.reservations.get()
    }

    /// Bytes in the input and output buffers together.
    pub fn total(&self) -> usize {
        self.input() + self.output()
    }
}

/// What one connection holds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Held {
    /// Bytes allocated for input.
    pub(super) input: usize,
    /// Bytes that messages waiting to be written take.
    pub(super) output: usize,
    /// Bytes of requests that are received and not forwarded yet.
    pub(super) requests: usize,
    /// Whether memory is reserved for the rest of a message.
    pub(super) has_reservation: bool,
}

/// One connection's share of a [`BufferUsage`]; subtracted from the totals when it is dropped.
#[derive(Debug)]
pub(super) struct UsageShare {
    usage: Rc<BufferUsage>,
    held: Held,
}

impl UsageShare {
    /// The share of a connection whose buffers are empty.
    pub(super) fn new(usage: &Rc<BufferUsage>) -> Self {
        UsageShare { usage: Rc::clone(usage), held: Held::default() }
    }

    /// Sets what the connection holds now.
    pub(super) fn set(&mut self, held: Held) {
        let BufferUsage { input, output, requests, reservations } = &*self.usage;
        let before = std::mem::replace(&mut self.held, held);
        input.set(input.get() - before.input + held.input);
        output.set(output.get() - before.output + held.output);
        requests.set(requests.get() - before.requests + held.requests);
        let others = reservations.get() - usize::from(before.has_reservation);
        reservations.set(others + usize::from(held.has_reservation));
    }
}

impl Drop for UsageShare {
    fn drop(&mut self) {
        self.set(Held::default());
    }
}
