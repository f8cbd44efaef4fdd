//! A small deployment of members that answer by hand.

use crate::client::Client;
use crate::feed::Feed;
use crate::gateway::{Gateway, Setup};
use crate::member::{Ask, Member, Seen};
use crate::wait::{QUIET, until};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// A gateway with its feed.
pub struct Fed {
    pub gateway: Gateway,
    pub client: Client,
    pub feed: Feed,
    pub line: TcpStream,
}

/// A whole small deployment: two caches, a parent, the origin.
pub struct World {
    pub caches: [Member; 2],
    pub parent: Member,
    pub origin: Member,
}

impl World {
    pub fn start() -> Self {
        World {
            caches: [Member::start("s-00000001"), Member::start("s-00000002")],
            parent: Member::start("s-00000003"),
            origin: Member::start("s-00000004"),
        }
    }

    pub fn entries(&self) -> Vec<serde_json::Value> {
        vec![
            self.caches[0].entry("edge", "box", "Ready"),
            self.caches[1].entry("edge", "box", "Ready"),
            self.parent.entry("hub", "parent", "Ready"),
            self.origin.entry("hub", "origin", "Ready"),
        ]
    }

    pub fn setup(&self) -> Setup {
        Setup::knowing(&self.entries())
    }

    /// A gateway that has subscribed to its feed, a client of it, and the feed's side of the subscription.
    pub fn fed(&self) -> Fed {
        let feed = Feed::start();
        let mut setup = self.setup();
        setup.feed = feed.address;
        let gateway = setup.start();
        let (from, line) = feed.sub();
        assert_eq!(from, 1);
        Fed { client: gateway.client(), gateway, feed, line }
    }

    /// The next request at either cache, and which it is.
    pub fn ask(&self) -> (&Member, Ask) {
        let mut got = None;
        until("a cache is asked", || {
            got = self.caches.iter().find_map(|c| {
                loop {
                    match c.seen.try_recv() {
                        Ok(Seen::Ask(ask)) => break Some((c, ask)),
                        Ok(_) => {}
                        Err(_) => break None,
                    }
                }
            });
            got.is_some()
        });
        got.unwrap()
    }

    /// The next request at either cache, if one comes in a short while.
    pub fn maybe_ask(&self) -> Option<(&Member, Ask)> {
        let end = Instant::now() + QUIET;
        while Instant::now() < end {
            for cache in &self.caches {
                while let Ok(seen) = cache.seen.try_recv() {
                    if let Seen::Ask(ask) = seen {
                        return Some((cache, ask));
                    }
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// The other cache.
    pub fn other(&self, cache: &Member) -> &Member {
        self.caches.iter().find(|c| c.id != cache.id).unwrap()
    }
}
