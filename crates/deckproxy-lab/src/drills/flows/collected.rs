//! What collectors received, and what clients saw themselves.

use super::STEADY;
use deckproxy_standins::collector::{Collection, Collector};
use deckproxy_standins::record::{Record, Traffic};
use std::net::{IpAddr, Ipv4Addr};
use std::thread;
use std::time::{Duration, Instant};

/// Time after the gateway's end in which collectors read what it has written.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a client is one of those whose addresses begin at `first`.
fn is_of(first: Ipv4Addr, client: IpAddr) -> bool {
    matches!(client, IpAddr::V4(v4) if v4.octets()[..2] == first.octets()[..2])
}

/// What a collector received about some clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exported {
    /// Bytes towards the clients.
    pub read: u64,
    /// Bytes from the clients.
    pub written: u64,
    /// Requests of the clients.
    pub requests: u64,
}

impl Exported {
    /// The sums of a collector over the clients whose addresses begin at `first`.
    pub fn of(collection: &Collection, first: Ipv4Addr) -> Self {
        let is_counted = |client: Option<IpAddr>| client.is_some_and(|client| is_of(first, client));
        let [read, written, requests] =
            collection.sums(|flow| flow.leg == "client" && is_counted(flow.client));
        Exported { read, written, requests }
    }

    fn sum(self, other: Exported) -> Exported {
        Exported {
            read: self.read + other.read,
            written: self.written + other.written,
            requests: self.requests + other.requests,
        }
    }

    /// The bytes that are missing or too many, as a share of those that clients read.
    pub fn byte_error(&self, seen: &Traffic) -> f64 {
        self.read.abs_diff(seen.read) as f64 / seen.read.max(1) as f64
    }
}

/// What some clients saw themselves.
pub fn seen_by(record: &Record, first: Ipv4Addr) -> Traffic {
    let own = record.traffic().into_iter().filter(|(client, _)| is_of(first, *client));
    own.fold(Traffic::default(), |sum, (_, traffic)| Traffic {
        read: sum.read + traffic.read,
        written: sum.written + traffic.written,
        requests: sum.requests + traffic.requests,
    })
}

/// The collectors of a run. The gateway exports to the unreliable one throughout, and to the first of the reliable ones
/// until it is exchanged for the second.
pub struct Collectors {
    pub unreliable: Collector,
    pub first: Collector,
    pub second: Collector,
}

/// What the collectors received.
pub struct Collections {
    pub unreliable: Collection,
    pub first: Collection,
    pub second: Collection,
}

impl Collectors {
    fn collections(&self) -> Collections {
        Collections {
            unreliable: self.unreliable.collection(),
            first: self.first.collection(),
            second: self.second.collection(),
        }
    }

    /// Waits until the reliable collectors have read what the gateway has written.
    pub fn wait_for(&self, requests: u64) -> Collections {
        let end = Instant::now() + COLLECT_TIMEOUT;
        loop {
            let collections = self.collections();
            if collections.reliable(STEADY).requests >= requests || Instant::now() >= end {
                return collections;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Collections {
    /// What the reliable collectors received together.
    pub fn reliable(&self, first: Ipv4Addr) -> Exported {
        Exported::of(&self.first, first).sum(Exported::of(&self.second, first))
    }

    /// Removes the largest flow of a steady client from the first collector's.
    pub fn remove_largest_flow(&mut self) {
        let flows = self.first.flows.iter().enumerate();
        let steady = flows.filter(|(_, flow)| flow.client.is_some_and(|client| is_of(STEADY, client)));
        if let Some((largest, _)) = steady.max_by_key(|(_, flow)| flow.bytes_out) {
            self.first.flows.swap_remove(largest);
        }
    }
}
