//! The queue of flows for a collector.
//!
//! The queue is bounded in bytes. When it is full, the oldest three quarters are merged by key: the sums are
//! preserved, the times become coarser. The oldest flow is dropped only if merging frees too little; it is
//! counted, so that the loss can be reported.

use crate::meter::{Flow, Key};
use std::collections::{HashMap, VecDeque};

/// Sums over flows that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Number of flows.
    pub flows: u64,
    /// Bytes in both directions.
    pub octets: u64,
    /// Number of requests.
    pub requests: u64,
}

impl Loss {
    /// Whether nothing was lost.
    pub fn is_zero(&self) -> bool {
        *self == Loss::default()
    }

    /// The loss of one flow.
    pub fn of(flow: &Flow) -> Self {
        let counts = &flow.counts;
        Loss {
            flows: 1,
            octets: counts.bytes_to_client + counts.bytes_from_client,
            requests: counts.requests,
        }
    }

    /// Adds another loss.
    pub fn add(&mut self, other: Loss) {
        self.flows += other.flows;
        self.octets += other.octets;
        self.requests += other.requests;
    }
}

/// A queue of flows with bounded memory.
#[derive(Debug)]
pub struct Spool {
    /// Largest number of flows in the queue.
    capacity: usize,
    queue: VecDeque<Flow>,
    loss: Loss,
    /// Number of flows that were merged into others since the start.
    pub merged: u64,
}

/// Size of one flow in memory, bytes.
const FLOW_BYTES: usize = size_of::<Flow>();
/// Smallest capacity, flows.
const MIN_CAPACITY: usize = 16;

impl Spool {
    /// An empty queue with space for `bytes` bytes, but for at least 16 flows.
    pub fn new(bytes: usize) -> Self {
        let capacity = (bytes / FLOW_BYTES).max(MIN_CAPACITY);
        Spool { capacity, queue: VecDeque::new(), loss: Loss::default(), merged: 0 }
    }

    /// Appends a flow.
    pub fn push(&mut self, flow: Flow) {
        if self.queue.len() >= self.capacity {
            self.merge_older();
        }
        while self.queue.len() >= self.capacity {
            self.drop_oldest();
        }
        self.queue.push_back(flow);
    }

    /// Puts flows that were removed but not exported back at the front of the queue, in their order.
    pub fn requeue(&mut self, flows: impl DoubleEndedIterator<Item = Flow>) {
        for flow in flows.rev() {
            if self.queue.len() >= self.capacity {
                self.merge_older();
            }
            self.queue.push_front(flow);
        }
        while self.queue.len() > self.capacity {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(flow) = self.queue.pop_front() {
            self.loss.add(Loss::of(&flow));
        }
    }

    /// Merges the oldest three quarters by key; the newest flows keep their exact times.
    fn merge_older(&mut self) {
        let newer = self.queue.split_off(self.queue.len() * 3 / 4);
        let older = std::mem::take(&mut self.queue);
        let mut positions: HashMap<Key, usize> = HashMap::new();
        for flow in older {
            if let Some(position) = positions.get(&flow.key) {
                self.queue[*position].counts.merge(&flow.counts);
                self.merged += 1;
            } else {
                positions.insert(flow.key, self.queue.len());
                self.queue.push_back(flow);
            }
        }
        self.queue.extend(newer);
    }

    /// The oldest flow.
    pub fn first(&self) -> Option<&Flow> {
        self.queue.front()
    }

    /// Removes and returns the oldest flow.
    pub fn pop(&mut self) -> Option<Flow> {
        self.queue.pop_front()
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Resets the unreported loss, and returns it to be reported.
    pub fn take_loss(&mut self) -> Loss {
        std::mem::take(&mut self.loss)
    }

    /// Adds a loss back to the unreported loss, because the message that reported it was not sent.
    pub fn restore_loss(&mut self, loss: Loss) {
        self.loss.add(loss);
    }

    /// The loss that was not reported yet.
    pub fn loss(&self) -> Loss {
        self.loss
    }
}
