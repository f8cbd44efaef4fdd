//! A small site whose members a test answers by hand.

use crate::client::Client;
use crate::feed::Feed;
use crate::gateway::Gateway;
use crate::gateway_setup::Setup;
use crate::member::{Member, MemberEvent, MemberRequest, entry};
use crate::wait::{QUIET, until};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// An object that tests request.
pub const OBJECT: &str = "7f3a9c21e0b4d655";

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

    /// Starts the four members, a gateway that knows them, and a client of that.
    ///
    /// # Panics
    /// If the gateway isn't ready in time.
    pub fn start_with_client() -> (Self, Gateway, Client) {
        let site = Self::start();
        let gateway = site.setup().start();
        let client = gateway.client();
        (site, gateway, client)
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

    /// The configuration of a gateway that knows the parent, the origin, and as the only cache a member at this address.
    pub fn setup_with_cache_at(&self, address: SocketAddr) -> Setup {
        Setup::knowing(&[
            entry("s-00000009", address, "edge", "box", "Ready"),
            self.parent.entry("hub", "parent", "Ready"),
            self.origin.entry("hub", "origin", "Ready"),
        ])
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

    /// Has a client request an object, which a cache answers with this body, and expects that the client is served.
    /// Returns that cache and the request that it received.
    ///
    /// # Panics
    /// If no cache receives the request or the client isn't served in time.
    pub fn serve_object(&self, client: &mut Client, object: &str, body: &[u8]) -> (&Member, MemberRequest) {
        let id = client.request_object(object);
        let (cache, request) = self.next_request();
        cache.answer(&request, "200", body);
        client.expect_served(id, body);
        (cache, request)
    }

    /// Has a client send a write without an idempotency key, which the origin answers, and expects that the client is
    /// served. Returns the request that the origin received.
    ///
    /// # Panics
    /// If the origin doesn't receive the request or the client isn't served in time.
    pub fn serve_write(&self, client: &mut Client, body: &[u8], answer: &[u8]) -> MemberRequest {
        let id = client.send_request("once", &[("lookup", OBJECT)], body);
        let request = self.origin.next_request();
        self.origin.answer(&request, "200", answer);
        client.expect_served(id, answer);
        request
    }

    /// Sends `count` writes, each after the previous one has arrived at the origin. Returns their ids and the
    /// requests that the origin received.
    ///
    /// # Panics
    /// If the origin doesn't receive a request in time.
    pub fn send_writes(&self, client: &mut Client, count: usize) -> Vec<(u64, MemberRequest)> {
        let send_write = || client.send_request("once", &[("lookup", OBJECT)], b"x");
        std::iter::repeat_with(send_write).take(count).map(|id| (id, self.origin.next_request())).collect()
    }

    /// Has a client request an object that the cache misses, so that the client's request leads a fill. Returns its id,
    /// the cache, and the fill that the cache received.
    ///
    /// # Panics
    /// If no cache receives the request and the fill in time.
    pub fn start_fill(&self, leader: &mut Client, object: &str) -> (u64, &Member, MemberRequest) {
        let id = leader.request_object(object);
        let (cache, lookup) = self.next_request();
        cache.answer(&lookup, "404", &[]);
        (id, cache, cache.next_request())
    }

    /// Has a client request an object of a purge group, and returns whether the cache was asked for a copy of bounded
    /// age, as it is after a purge.
    ///
    /// # Panics
    /// If no cache receives the request or the client isn't served in time.
    pub fn is_bound_by_purge(&self, client: &mut Client, group: u32) -> bool {
        let id = client.send_request("page", &[("lookup", OBJECT), ("bucket", &group.to_string())], &[]);
        let (cache, request) = self.next_request();
        cache.answer(&request, "200", b"x");
        client.expect_served(id, b"x");
        request.field("within").is_some()
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
