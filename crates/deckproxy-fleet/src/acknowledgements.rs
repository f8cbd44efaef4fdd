//! Whether other instances receive our heartbeats, according to the acknowledgements in their digests.
//!
//! An instance whose heartbeats are not acknowledged by the others is as isolated as one that receives no heartbeats.

use crate::Millis;
use crate::instance::Name;
use crate::liveness::Timeouts;
use std::collections::{BTreeMap, VecDeque};

/// Number of own heartbeats that are retained.
const MAX_HEARTBEATS: usize = 64;

/// A heartbeat of this instance.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    version: u64,
    written_at: Millis,
}

/// The last digest from another instance.
#[derive(Clone, Copy, Debug)]
struct LastDigest {
    received_at: Millis,
    /// It acknowledged all retained heartbeats that were written more than `suspect_after` ago.
    is_current: bool,
}

/// Number of instances with a recent digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DigestCount {
    /// All such instances.
    pub received: usize,
    /// Those whose digest acknowledged all retained heartbeats that were written more than `suspect_after` ago.
    pub current: usize,
}

/// Acknowledgements of our own heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    heartbeats: VecDeque<Heartbeat>,
    digests: BTreeMap<Name, LastDigest>,
}

impl Acknowledgements {
    /// Records that a heartbeat was written with this version.
    pub fn heartbeat_written(&mut self, now: Millis, version: u64) {
        self.heartbeats.push_back(Heartbeat { version, written_at: now });
        if self.heartbeats.len() > MAX_HEARTBEATS {
            self.heartbeats.pop_front();
        }
    }

    /// Records a digest that acknowledges our entries up to a version; `None`: no entry of the current incarnation.
    pub fn digest_received(
        &mut self,
        now: Millis,
        from: &Name,
        acknowledged: Option<u64>,
        timeouts: &Timeouts,
    ) {
        // The oldest unacknowledged heartbeat shows for how long the sender has not received any from us.
        let is_missing =
            |heartbeat: &&Heartbeat| acknowledged.is_none_or(|version| heartbeat.version > version);
        let missing = self.heartbeats.iter().find(is_missing);
        let is_recent = |heartbeat: &Heartbeat| now - heartbeat.written_at <= timeouts.suspect_after;
        let is_current = acknowledged.is_some() && missing.is_none_or(is_recent);
        self.digests.insert(from.clone(), LastDigest { received_at: now, is_current });
    }

    /// Counts the instances selected by `is_included` whose last digest was received at `since` or later, and no longer ago
    /// than `suspect_after`.
    pub fn count(
        &self,
        now: Millis,
        timeouts: &Timeouts,
        since: Millis,
        is_included: impl Fn(&Name) -> bool,
    ) -> DigestCount {
        let mut count = DigestCount::default();
        for (name, digest) in &self.digests {
            let is_recent = now - digest.received_at <= timeouts.suspect_after && digest.received_at >= since;
            if is_recent && is_included(name) {
                count.received += 1;
                count.current += usize::from(digest.is_current);
            }
        }
        count
    }

    /// Removes an instance.
    pub fn forget(&mut self, name: &str) {
        self.digests.remove(name);
    }
}
