//! The purge log, and the leases under which copies are trusted.
//!
//! Each gateway numbers all purges in one log: those from its own feed and those that other sites relay. Every peer
//! acknowledges the last number that it has received, and is sent the later entries. Each heartbeat response carries
//! the last number of the peer's log. If everything up to that number was received, the lease starts at the time at
//! which the heartbeat was sent, on this side's clock: neither clock skew nor a delay on the link can make the
//! confirmation seem more recent than it is.

mod peer;

pub use peer::Distrust;

use crate::frame::{Heartbeat, Hello, Purge};
use crate::{Millis, TrustLimits};
use peer::PeerLog;
use std::collections::{HashMap, HashSet, VecDeque};

/// Most entries of the log. If more purges arrive within the lifetime of a copy, peers that lack the dropped entries
/// detect a gap.
const LOG_CAPACITY: usize = 65_536;
/// Share of the grace period after which a purge is enforced. The notification was in flight for an unknown time, which
/// the lease keeps below the rest of the grace period.
const ENFORCE_AFTER_SHARE: f64 = 0.5;

/// A notification of a purge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PurgeNotice {
    /// The object; `None` purges the complete group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
    /// Time since the purge, ms.
    pub age: Millis,
}

/// Identifies a purge in all logs: epoch and log number of the process whose own feed reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PurgeOrigin {
    epoch: u64,
    number: u64,
}

/// The times of a purge, on this side's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PurgeTimes {
    purged_at: Millis,
    /// The latest time at which the first site was notified.
    notified_at: Millis,
}

#[derive(Clone, Debug)]
struct LogEntry {
    number: u64,
    object: Option<u64>,
    group: u32,
    times: PurgeTimes,
    site_path: Vec<String>,
    origin: PurgeOrigin,
}

/// The purge log, and the known state of the peers' logs.
#[derive(Debug)]
pub struct PurgeLog {
    limits: TrustLimits,
    own_site: String,
    epoch: u64,
    /// Time from which the log contains all purges of this site's feed.
    complete_since: Millis,
    next_number: u64,
    entries: VecDeque<LogEntry>,
    known_origins: HashSet<PurgeOrigin>,
    object_purges: HashMap<u64, Vec<PurgeTimes>>,
    group_purges: HashMap<u32, Vec<PurgeTimes>>,
    /// Peers by the epoch of their process: a site may have several gateways, each with its own log.
    peers: HashMap<u64, PeerLog>,
    /// Gaps detected in the peers' logs since the start.
    pub gaps: u64,
}

impl PurgeLog {
    /// Creates the empty log of a process that has just started.
    pub fn new(own_site: &str, epoch: u64, limits: TrustLimits, now: Millis) -> Self {
        PurgeLog {
            limits,
            own_site: own_site.to_string(),
            epoch,
            complete_since: now - limits.known_purge_history,
            next_number: 1,
            entries: VecDeque::new(),
            known_origins: HashSet::new(),
            object_purges: HashMap::new(),
            group_purges: HashMap::new(),
            peers: HashMap::new(),
            gaps: 0,
        }
    }

    /// The number of the last entry; 0 if there was none yet.
    pub fn last_number(&self) -> u64 {
        self.next_number - 1
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the log has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Appends a purge from the site's own feed. Returns its number.
    pub fn purge_notified(&mut self, now: Millis, notice: PurgeNotice) -> u64 {
        let origin = PurgeOrigin { epoch: self.epoch, number: self.next_number };
        let times = PurgeTimes { purged_at: now - notice.age, notified_at: now };
        self.append(notice, times, Vec::new(), origin)
    }

    fn append(
        &mut self,
        notice: PurgeNotice,
        times: PurgeTimes,
        site_path: Vec<String>,
        origin: PurgeOrigin,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.known_origins.insert(origin);
        let purges = match notice.object {
            Some(object) => self.object_purges.entry(object).or_default(),
            None => self.group_purges.entry(notice.group).or_default(),
        };
        purges.push(times);
        let PurgeNotice { object, group, .. } = notice;
        self.entries.push_back(LogEntry { number, object, group, times, site_path, origin });
        while self.entries.len() > LOG_CAPACITY {
            self.drop_oldest();
        }
        number
    }

    fn drop_oldest(&mut self) {
        let Some(entry) = self.entries.pop_front() else { return };
        self.known_origins.remove(&entry.origin);
        match entry.object {
            Some(object) => remove_times(&mut self.object_purges, &object, entry.times),
            None => remove_times(&mut self.group_purges, &entry.group, entry.times),
        }
    }

    /// Records that a connection to the process with the given epoch is established.
    pub fn mark_connected(&mut self, now: Millis, epoch: u64) {
        if let Some(peer) = self.peers.get_mut(&epoch) {
            peer.connected_at = now;
        }
    }

    /// Drops purges after which all older copies have expired, and peers to which no connection was established for two
    /// copy lifetimes. A connected peer must be known however quiet it is: purges from unknown peers are ignored.
    pub fn tick(&mut self, now: Millis) {
        let copy_lifetime = self.limits.copy_lifetime;
        let expired =
            |entry: &LogEntry| now - entry.times.purged_at.max(entry.times.notified_at) > copy_lifetime;
        while self.entries.front().is_some_and(expired) {
            self.drop_oldest();
        }
        self.peers.retain(|_, peer| now - peer.connected_at <= 2.0 * copy_lifetime);
    }

    /// Processes a purge that the peer with the given epoch sent. Returns the notice for this site and the number of
    /// the new entry, or `None` if the purge is known already or the peer is unknown.
    pub fn purge_received(
        &mut self,
        now: Millis,
        from_epoch: u64,
        purge: Purge,
    ) -> Option<(PurgeNotice, u64)> {
        let peer = self.peers.get_mut(&from_epoch)?;
        if purge.number <= peer.last_purge {
            return None;
        }
        if purge.number != peer.last_purge + 1 {
            peer.distrusted_until = peer.distrusted_until.max(now + self.limits.copy_lifetime);
            self.gaps += 1;
        }
        peer.last_purge = purge.number;
        let origin = PurgeOrigin { epoch: purge.origin_epoch, number: purge.origin_number };
        let relayed_by = peer.site.clone();
        if self.known_origins.contains(&origin) || purge.site_path.contains(&self.own_site) {
            return None;
        }
        // The time in flight is unknown. Assuming zero makes the purge seem more recent: it voids more copies, never
        // fewer.
        let notice = PurgeNotice { object: purge.object, group: purge.group, age: purge.age.max(0.0) };
        let times =
            PurgeTimes { purged_at: now - notice.age, notified_at: now - purge.notified_age.max(0.0) };
        let mut site_path = purge.site_path;
        site_path.push(relayed_by);
        let number = self.append(notice, times, site_path, origin);
        Some((notice, number))
    }

    /// The entries after a number, with their ages as of now. They include those that the receiver itself relayed, so
    /// that it detects no gap in the numbers.
    pub fn entries_after(&self, now: Millis, number: u64) -> impl Iterator<Item = Purge> {
        let first = self.entries.partition_point(|entry| entry.number <= number);
        self.entries.range(first..).map(move |entry| Purge {
            number: entry.number,
            object: entry.object,
            group: entry.group,
            age: now - entry.times.purged_at,
            notified_age: now - entry.times.notified_at,
            site_path: entry.site_path.clone(),
            origin_epoch: entry.origin.epoch,
            origin_number: entry.origin.number,
        })
    }

    /// Fills in the purge fields of a hello. `to_epoch`: the epoch of the receiving process, if it is known.
    pub fn fill_hello(&self, now: Millis, to_epoch: Option<u64>, hello: Hello) -> Hello {
        Hello {
            epoch: self.epoch,
            purges_received: to_epoch.map_or(0, |epoch| self.last_received_from(epoch)),
            purges_epoch: to_epoch.unwrap_or(0),
            purge_history: now - self.complete_since,
            ..hello
        }
    }

    /// Processes a peer's hello. Returns the number of the last entry of this log that the peer acknowledges.
    pub fn hello_received(&mut self, now: Millis, hello: &Hello) -> u64 {
        let copy_lifetime = self.limits.copy_lifetime;
        let peer = self.peers.entry(hello.epoch).or_insert_with(|| {
            // A newly seen process may lack purges from before its start.
            let unknown = (copy_lifetime - hello.purge_history.max(0.0)).max(0.0);
            PeerLog::new(hello.site.clone(), now + unknown)
        });
        peer.connected_at = now;
        let acknowledged = if hello.purges_epoch == self.epoch { hello.purges_received } else { 0 };
        acknowledged.min(self.last_number())
    }

    /// Processes a peer's response, received at Unix time `unix_time`, to a heartbeat that was sent at `sent_at`.
    pub fn pong_received(
        &mut self,
        now: Millis,
        unix_time: Millis,
        from_epoch: u64,
        sent_at: Millis,
        heartbeat: &Heartbeat,
    ) {
        if let Some(peer) = self.peers.get_mut(&from_epoch) {
            peer.pong_received(now, unix_time, sent_at, heartbeat);
        }
    }

    /// Whether this site may serve copies of another site's objects; if not, why. It is sufficient that one of the
    /// other site's gateways is trusted: each is notified of all purges of its site.
    ///
    /// # Errors
    /// [`Distrust`] if none of the site's gateways is trusted; [`Distrust::LeaseExpired`] if none is known.
    pub fn check_trust(&self, now: Millis, home: &str) -> Result<(), Distrust> {
        let gateways = self.peers.values().filter(|peer| peer.site == home);
        let worst = Err(Distrust::LeaseExpired);
        gateways
            .map(|peer| peer.check_trust(now, &self.limits))
            .fold(worst, |found, result| if found.is_ok() { found } else { result })
    }

    /// The largest known clock skew to a site's gateways, ms; positive if their clock is ahead.
    pub fn clock_skew(&self, site: &str) -> Option<f64> {
        let known = self.peers.values().filter(|peer| peer.site == site).filter_map(|peer| peer.clock_skew);
        known.max_by(|a, b| a.abs().total_cmp(&b.abs()))
    }

    /// Number of the last entry received from the log of the process with the given epoch; 0 if there is none.
    pub fn last_received_from(&self, epoch: u64) -> u64 {
        self.peers.get(&epoch).map_or(0, |peer| peer.last_purge)
    }

    /// Whether a copy that the origin issued at `issued_at` or later may be served: no purge that is enforced by now
    /// voids it.
    pub fn may_serve(&self, now: Millis, object: u64, group: u32, issued_at: Millis) -> bool {
        let enforced_before = now - self.limits.purge_grace * ENFORCE_AFTER_SHARE;
        let voids = |purges: Option<&Vec<PurgeTimes>>| {
            purges.is_some_and(|purges| {
                purges.iter().any(|times| times.purged_at > issued_at && times.notified_at <= enforced_before)
            })
        };
        !voids(self.object_purges.get(&object)) && !voids(self.group_purges.get(&group))
    }
}

/// Removes the times of one purge, and the map entry once it is empty.
fn remove_times<K: std::hash::Hash + Eq>(
    purges: &mut HashMap<K, Vec<PurgeTimes>>,
    key: &K,
    times: PurgeTimes,
) {
    let Some(all) = purges.get_mut(key) else { return };
    all.retain(|other| *other != times);
    if all.is_empty() {
        purges.remove(key);
    }
}
