//! What clients counted.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

/// Requests at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceCounts {
    /// Requests that were sent to it.
    pub requests: u64,
    /// Those that it served.
    pub served: u64,
}

/// What clients counted.
#[derive(Default)]
pub struct Counts {
    /// Requests that clients wanted, retries not counted.
    pub wanted: AtomicU64,
    /// Those that were served in the end, at any instance.
    pub served: AtomicU64,
    /// Attempts by instance.
    pub by_instance: Mutex<HashMap<usize, InstanceCounts>>,
    /// Attempts whose instance was killed, stopped or gone meanwhile.
    pub excused: AtomicU64,
}

impl Counts {
    /// Changes the counts of an instance.
    pub(super) fn change(&self, instance: usize, change: impl FnOnce(&mut InstanceCounts)) {
        change(self.by_instance.lock().unwrap().entry(instance).or_default());
    }
}
