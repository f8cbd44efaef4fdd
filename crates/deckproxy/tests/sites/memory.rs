//! The memory that clients can make gateways of two sites hold.

use crate::{SOUTHERN, SitePair};
use deckproxy_standins::*;

/// The limit of both gateways' memory.
const MEMORY_MB: u64 = 48;
/// Clients that write at once, and the writes of each.
const CLIENTS: usize = 60;
const WRITES: usize = 32;
/// The largest body of a write.
static BODY: [u8; 48_000] = [7; 48_000];

/// Guards against a gateway that is killed because the bodies of requests that it forwards to another site are counted
/// nowhere.
#[test]
fn bodies_forwarded_to_another_site_stay_within_the_memory_limit() {
    let pair = SitePair::start_with_memory("", MEMORY_MB);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| pair.north.gateway.client()).collect();
    for client in &mut clients {
        for _ in 0..WRITES {
            client.send_request("once", &[("lookup", SOUTHERN)], &BODY);
        }
    }
    // The origin answers none of them, so that each is rejected at once or fails at its deadline.
    for client in &mut clients {
        for _ in 0..WRITES {
            assert!(matches!(client.next_answer().1, Answer::Error(..)));
        }
    }
    for (name, site) in [("north", &pair.north), ("south", &pair.south)] {
        let memory = site.gateway.own_memory_kb();
        assert!(memory < MEMORY_MB * 1024, "{name}: {memory} KB");
    }
    let mut other = pair.north.gateway.client();
    pair.south.members.serve_object(&mut other, SOUTHERN, b"next");
}
