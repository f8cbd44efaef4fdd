//! Accounting of the memory in connections' buffers.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes in the buffers of all connections of one kind.
#[derive(Debug, Default)]
pub struct BufferUsage {
    input: Cell<usize>,
    output: Cell<usize>,
}

impl BufferUsage {
    /// Bytes read and not decoded yet.
    pub fn input(&self) -> usize {
        self.input.get()
    }

    /// Bytes waiting to be written.
    pub fn output(&self) -> usize {
        self.output.get()
    }

    /// Bytes in the input and output buffers together.
    pub fn total(&self) -> usize {
        self.input() + self.output()
    }
}

/// One connection's share of a [`BufferUsage`]; subtracted from the totals when it is dropped.
#[derive(Debug)]
pub(super) struct UsageShare {
    usage: Rc<BufferUsage>,
    input: usize,
    output: usize,
}

impl UsageShare {
    /// The share of a connection whose buffers are empty.
    pub(super) fn new(usage: &Rc<BufferUsage>) -> Self {
        UsageShare { usage: Rc::clone(usage), input: 0, output: 0 }
    }

    /// Sets the current sizes of the connection's buffers, in bytes.
    pub(super) fn set(&mut self, input: usize, output: usize) {
        let BufferUsage { input: total_input, output: total_output } = &*self.usage;
        total_input.set(total_input.get() - self.input + input);
        total_output.set(total_output.get() - self.output + output);
        (self.input, self.output) = (input, output);
    }
}

impl Drop for UsageShare {
    fn drop(&mut self) {
        self.set(0, 0);
    }
}
