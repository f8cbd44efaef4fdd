//! Flows that wait for a collector.
//!
//! The queue is bounded in bytes. When it is full, the older half is merged by key: the sums stay, the times get coarser.
//! Only when that frees too little is the oldest dropped, and counted, so that the loss can be told.

use crate::meter::{Flow, Key};
use std::collections::{HashMap, VecDeque};

/// What was dropped and not told yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Flows.
    pub flows: u64,
    /// Their bytes, both ways.
    pub octets: u64,
    /// Their requests.
    pub requests: u64,
}

impl Loss {
    /// Whether nothing was lost.
    pub fn is_none(&self) -> bool {
        *self == Loss::default()
    }

    /// One flow.
    pub fn of(flow: &Flow) -> Self {
        let c = &flow.counts;
        Loss { flows: 1, octets: c.out + c.back, requests: c.requests }
    }

    /// Adds another loss.
    pub fn add(&mut self, other: Loss) {
        self.flows += other.flows;
        self.octets += other.octets;
        self.requests += other.requests;
    }
}

/// The queue.
#[derive(Debug)]
pub struct Spool {
    most: usize,
    queue: VecDeque<Flow>,
    loss: Loss,
    /// Flows that were merged into others.
    pub merged: u64,
}

/// Bytes that one flow takes.
const EACH: usize = size_of::<Flow>();
/// Least number of flows that there is room for.
const LEAST: usize = 16;

impl Spool {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Self {
        Spool { most: (bytes / EACH).max(LEAST), queue: VecDeque::new(), loss: Loss::default(), merged: 0 }
    }

    /// Appends a flow.
    pub fn push(&mut self, flow: Flow) {
        if self.queue.len() >= self.most {
            self.merge();
        }
        while self.queue.len() >= self.most {
            self.drop_first();
        }
        self.queue.push_back(flow);
    }

    /// Puts flows back in front that were taken and did not go.
    pub fn put_back(&mut self, flows: impl DoubleEndedIterator<Item = Flow>) {
        for flow in flows.rev() {
            if self.queue.len() >= self.most {
                self.merge();
            }
            self.queue.push_front(flow);
        }
        while self.queue.len() > self.most {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some(flow) = self.queue.pop_front() {
            self.loss.add(Loss::of(&flow));
        }
    }

    /// Merges the older three quarters by key; the newest keep their times.
    fn merge(&mut self) {
        let newer = self.queue.split_off(self.queue.len() * 3 / 4);
        let older = std::mem::take(&mut self.queue);
        let mut at: HashMap<Key, usize> = HashMap::new();
        for flow in older {
            match at.get(&flow.key) {
                Some(i) => {
                    self.queue[*i].counts.merge(&flow.counts);
                    self.merged += 1;
                }
                None => {
                    at.insert(flow.key, self.queue.len());
                    self.queue.push_back(flow);
                }
            }
        }
        self.queue.extend(newer);
    }

    /// The oldest flow.
    pub fn first(&self) -> Option<&Flow> {
        self.queue.front()
    }

    /// Takes the oldest flow.
    pub fn pop(&mut self) -> Option<Flow> {
        self.queue.pop_front()
    }

    /// Flows that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// What was lost since this was asked last.
    pub fn take_loss(&mut self) -> Loss {
        std::mem::take(&mut self.loss)
    }

    /// A loss could not be told: it counts on.
    pub fn untold(&mut self, loss: Loss) {
        self.loss.add(loss);
    }

    /// What was lost and not told.
    pub fn loss(&self) -> Loss {
        self.loss
    }
}
