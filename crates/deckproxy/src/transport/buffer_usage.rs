//! Accounting of the memory in connections' buffers.

use std::cell::Cell;
use std::rc::Rc;

/// What the buffers of all connections of one kind hold together, in bytes.
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

    /// Bytes that wait to be written.
    pub fn output(&self) -> usize {
        self.output.get()
    }

    /// All bytes.
    pub fn total(&self) -> usize {
        self.input() + self.output()
    }
}

/// One connection's part of a usage; it leaves the sum when it is dropped.
#[derive(Debug)]
pub(super) struct UsageShare {
    usage: Rc<BufferUsage>,
    input: usize,
    output: usize,
}

impl UsageShare {
    /// The part of a connection whose buffers are empty.
    pub(super) fn new(usage: &Rc<BufferUsage>) -> Self {
        UsageShare { usage: Rc::clone(usage), input: 0, output: 0 }
    }

    /// Sets what the connection's buffers hold now.
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
