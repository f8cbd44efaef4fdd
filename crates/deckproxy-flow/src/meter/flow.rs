//! Flow keys, updates, counts, and the flows passed to the exporter.

use super::{Millis, NameId};
use ipnet::IpNet;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The request was served.
    Served,
    /// The request was rejected by admission control.
    Rejected,
    /// The request failed.
    Failed,
    /// The client cancelled the request, or its connection was lost.
    Canceled,
    /// The request was rejected as invalid.
    Invalid,
    /// A cache answered that it has no copy of the object.
    CacheMiss,
}

/// The kind of connection that transferred the bytes. Bytes of different legs are never summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Leg {
    /// Between a client and the gateway.
    Client,
    /// Between the gateway and a cache, parent or origin. Each member that received an attempt has its own
    /// flow, so that retries are visible.
    Member,
    /// Between the gateway and a gateway of another site.
    Link,
}

/// All legs, in the order of their numbers.
pub(super) const LEGS: [Leg; 3] = [Leg::Client, Leg::Member, Leg::Link];

/// The key of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// The leg.
    pub leg: Leg,
    /// The client's prefix; `None`: all clients.
    pub client: Option<IpNet>,
    /// The request class; 0: all classes.
    pub class: NameId,
    /// The member that received the attempt; 0: none.
    pub member: NameId,
    /// The site at the other end of the link; 0: no link.
    pub site: NameId,
    /// The outcome of the requests; `None`: any, or no request.
    pub outcome: Option<Outcome>,
    /// How coarse the key is: 0 as configured, 1 with the wider prefix, 2 without client, member and site, 3
    /// the overflow entry.
    pub folded: u8,
}

impl Key {
    /// The key of all traffic on a leg.
    pub const fn of(leg: Leg) -> Self {
        Key { leg, client: None, class: 0, member: 0, site: 0, outcome: None, folded: 0 }
    }

    /// The overflow entry of a leg.
    pub(super) const fn overflow(leg: Leg) -> Self {
        Key { folded: 3, ..Key::of(leg) }
    }
}

/// An update of a flow's counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Bytes towards the client; on a link, bytes received from the other site.
    pub bytes_to_client: u64,
    /// Bytes from the client; on a link, bytes sent to the other site.
    pub bytes_from_client: u64,
    /// Requests that ended.
    pub requests: u64,
    /// Latency of the request, µs; only if `requests` is 1.
    pub latency: Option<u64>,
}

/// Buckets of the latency histogram. The upper end of each is twice that of the one before; the last is unbounded.
const BUCKETS: usize = 20;
/// Upper end of the first bucket, µs.
const FIRST_BUCKET_END: u64 = 64;

/// The counters of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Bytes towards the client; on a link, bytes received from the other site.
    pub bytes_to_client: u64,
    /// Bytes from the client; on a link, bytes sent to the other site.
    pub bytes_from_client: u64,
    /// Requests that ended.
    pub requests: u64,
    /// Earliest time of an update.
    pub first: Millis,
    /// Latest time of an update.
    pub last: Millis,
    /// Histogram of the latencies.
    latencies: [u32; BUCKETS],
}

impl Counts {
    /// Counts without updates; both times are `now`.
    pub(super) fn new(now: Millis) -> Self {
        Counts {
            bytes_to_client: 0,
            bytes_from_client: 0,
            requests: 0,
            first: now,
            last: now,
            latencies: [0; BUCKETS],
        }
    }

    /// Adds an update.
    pub(super) fn add(&mut self, now: Millis, update: &Update) {
        self.bytes_to_client += update.bytes_to_client;
        self.bytes_from_client += update.bytes_from_client;
        self.requests += update.requests;
        // A flow must not begin after its end, even if the clock is set back.
        self.first = self.first.min(now);
        self.last = self.last.max(now);
        if let Some(latency) = update.latency {
            let bucket = (u64::BITS - (latency / FIRST_BUCKET_END).leading_zeros()) as usize;
            let bucket = &mut self.latencies[bucket.min(BUCKETS - 1)];
            *bucket = bucket.saturating_add(1);
        }
    }

    /// Adds the counts of another flow.
    pub fn merge(&mut self, other: &Counts) {
        self.bytes_to_client += other.bytes_to_client;
        self.bytes_from_client += other.bytes_from_client;
        self.requests += other.requests;
        self.first = self.first.min(other.first);
        self.last = self.last.max(other.last);
        for (own, other) in self.latencies.iter_mut().zip(other.latencies) {
            *own = own.saturating_add(other);
        }
    }

    /// The 99th percentile of the latencies, µs, rounded up to the end of its bucket: at most twice the exact
    /// value from 64 µs on. Values beyond the last bucket's nominal end (33.6 s) are reported as that end; 0
    /// without latencies.
    pub fn p99(&self) -> u64 {
        let all: u64 = self.latencies.iter().map(|n| u64::from(*n)).sum();
        let mut below = 0;
        for (i, n) in self.latencies.iter().enumerate() {
            below += u64::from(*n);
            if all > 0 && below * 100 >= all * 99 {
                return FIRST_BUCKET_END << i;
            }
        }
        0
    }
}

/// Why a flow is exported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The flow was idle for the idle timeout.
    Idle,
    /// The flow reached the active timeout, and may continue.
    Active,
    /// The process is shutting down.
    End,
}

/// A flow to be exported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// The key.
    pub key: Key,
    /// The counts.
    pub counts: Counts,
    /// Why the flow is exported.
    pub reason: EndReason,
}
