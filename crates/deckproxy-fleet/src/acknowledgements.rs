//! Whether others receive our heartbeats, as their digests acknowledge.
//!
//! An instance whose own heartbeats do not come back in the others' digests is cut off as much as one that receives none.

use crate::Millis;
use crate::instance::Name;
use crate::liveness::Timeouts;
use std::collections::{BTreeMap, VecDeque};

/// Own heartbeats that are remembered.
const HEARTBEATS: usize = 64;

/// An own heartbeat.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    version: u64,
    written_at: Millis,
}

/// The last digest of another instance.
#[derive(Clone, Copy, Debug)]
struct LastDigest {
    received_at: Millis,
    /// It acknowledged a recent heartbeat.
    is_current: bool,
}

/// Digests that were received lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DigestCount {
    /// All of them.
    pub received: usize,
    /// Those that acknowledged a recent heartbeat.
    pub current: usize,
}

/// Acknowledgements of our own heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    heartbeats: VecDeque<Heartbeat>,
    digests: BTreeMap<Name, LastDigest>,
}

impl Acknowledgements {
    /// A heartbeat was written under that version.
    pub fn heartbeat_written(&mut self, now: Millis, version: u64) {
        self.heartbeats.push_back(Heartbeat { version, written_at: now });
        if self.heartbeats.len() > HEARTBEATS {
            self.heartbeats.pop_front();
        }
    }

    /// A digest came that acknowledges our entries up to a version; `None`: none of the present incarnation.
    pub fn digest_received(
        &mut self,
        now: Millis,
        from: &Name,
        acknowledged: Option<u64>,
        timeouts: &Timeouts,
    ) {
        // The first heartbeat that is missing shows for how long the sender has not heard us.
        let is_missing = |heartbeat: &&Heartbeat| acknowledged.is_none_or(|upto| heartbeat.version > upto);
        let missing = self.heartbeats.iter().find(is_missing);
        let is_recent = |heartbeat: &Heartbeat| now - heartbeat.written_at <= timeouts.suspect_after;
        let is_current = acknowledged.is_some() && missing.is_none_or(is_recent);
        self.digests.insert(from.clone(), LastDigest { received_at: now, is_current });
    }

    /// Counts the last digests of instances that `counts`, received after `since` and not longer ago than a heartbeat may
    /// take.
    pub fn count(
        &self,
        now: Millis,
        timeouts: &Timeouts,
        since: Millis,
        counts: impl Fn(&Name) -> bool,
    ) -> DigestCount {
        let mut count = DigestCount::default();
        for (name, digest) in &self.digests {
            let is_recent = now - digest.received_at <= timeouts.suspect_after && digest.received_at >= since;
            if is_recent && counts(name) {
                count.received += 1;
                count.current += usize::from(digest.is_current);
            }
        }
        count
    }

    /// Forgets an instance.
    pub fn forget(&mut self, name: &str) {
        self.digests.remove(name);
    }
}
