//! A small site whose members a test answers by hand.

use crate::client::Client;
use crate::feed::Feed;
use crate::gateway::Gateway;
use crate::gateway_setup::Setup;
use crate::member::{Member, MemberEvent, MemberRequest};
use crate::wait::{QUIET, until};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// A gateway that has subscribed to its control feed.
pub struct SubscribedGateway {
    /// The gateway.
    pub gateway: Gateway,
    /// A client of it.
    pub client: Client,
    /// Its control feed.
    pub feed: Feed,
    /// The feed's end of the subscription.
    pub subscription: TcpStream,
}

/// Two caches, a parent and the origin, answered by hand.
pub struct TestSite {
    /// The caches.
    pub caches: [Member; 2],
    /// The parent.
    pub parent: Member,
    /// The origin.
    pub origin: Member,
}

impl TestSite {
    /// Starts the four members.
    pub fn start() -> Self {
        TestSite {
            caches: [Member::start("s-00000001"), Member::start("s-00000002")],
            parent: Member::start("s-00000003"),
            origin: Member::start("s-00000004"),
        }
    }

    /// Their entries in the member list.
    pub fn entries(&self) -> Vec<serde_json::Value> {
        vec![
            self.caches[0].entry("edge", "box", "Ready"),
            self.caches[1].entry("edge", "box", "Ready"),
            self.parent.entry("hub", "parent", "Ready"),
            self.origin.entry("hub", "origin", "Ready"),
        ]
    }

    /// The configuration of a gateway that knows them.
    pub fn setup(&self) -> Setup {
        Setup::knowing(&self.entries())
    }

    /// Starts a gateway that has subscribed to its control feed, with a client.
    ///
    /// # Panics
    /// If it doesn't start or subscribe in time.
    pub fn start_subscribed(&self) -> SubscribedGateway {
        let feed = Feed::start();
        let mut setup = self.setup();
        setup.feed = feed.address;
        let gateway = setup.start();
        let (from, subscription) = feed.accept();
        assert_eq!(from, 1);
        SubscribedGateway { client: gateway.client(), gateway, feed, subscription }
    }

    /// The next request at either cache, and that cache.
    ///
    /// # Panics
    /// If none comes in time.
    pub fn next_request(&self) -> (&Member, MemberRequest) {
        let mut received = None;
        until("a cache receives a request", || {
            received = self.received_request();
            received.is_some()
        });
        received.unwrap()
    }

    /// The next request at either cache and that cache, if one comes in a short while.
    pub fn request_if_any(&self) -> Option<(&Member, MemberRequest)> {
        let end = Instant::now() + QUIET;
        while Instant::now() < end {
            if let Some(received) = self.received_request() {
                return Some(received);
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// A request that either cache has received; earlier events are skipped.
    fn received_request(&self) -> Option<(&Member, MemberRequest)> {
        self.caches.iter().find_map(|cache| {
            cache.events.try_iter().find_map(|event| match event {
                MemberEvent::Request(request) => Some((cache, request)),
                _ => None,
            })
        })
    }

    /// The cache that is not this one.
    ///
    /// # Panics
    /// If both have this one's id, which can't be.
    pub fn other_cache(&self, cache: &Member) -> &Member {
        self.caches.iter().find(|other| other.id != cache.id).unwrap()
    }
}
