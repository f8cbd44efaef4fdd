//! Gateways of two and three sites over sockets: the tests answer for the members and cut the links between sites.

mod closing_connections;
mod forwarding;
mod lifecycle;
mod link_faults;
mod link_protocol;
mod memory;
mod purges;

use deckproxy_standins::link_relay::{LinkRelay, LinkState};
use deckproxy_standins::*;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The limit of a gateway's memory where a test is not about it.
const MEMORY_MB: u64 = 192;
/// Large answers that exceed what the kernel and the relay take for a link.
const UNREAD_ANSWERS: usize = 24;
/// A link on which they take minutes.
const SLOW_LINK_BYTES_PER_MS: u64 = 24;
/// Objects of the north begin with a, those of the south with b, those of the east with c.
const SOUTHERN: &str = "b000000000000001";

/// The operator file of a site; a route is a prefix, its home site and further fields.
fn operator_text(
    name: &str,
    listen: SocketAddr,
    peers: &[(&str, SocketAddr)],
    routes: &[(&str, &str, &str)],
) -> String {
    let peers: Vec<String> = peers
        .iter()
        .map(|(site, at)| format!("peers {{ site: \"{site}\" addresses: \"{at}\" }}\n"))
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, home, more)| format!("routes {{ prefix: \"{prefix}\" home: \"{home}\" {more} }}\n"))
        .collect();
    let (peers, routes) = (peers.concat(), routes.concat());
    format!(
        "sites {{ name: \"{name}\" listen: \"{listen}\"\n{peers}{routes}\
         link {{ heartbeat_ms: 50 silence_ms: 250 hold_ms: 200 }} trust {{ known_ms: 3600000 lease_ms: 400 }} }}\n"
    )
}

struct LinkedSite {
    members: TestSite,
    setup: Setup,
    gateway: Gateway,
    feed: Feed,
    feed_connection: TcpStream,
}

impl LinkedSite {
    fn start(operator: String) -> Self {
        Self::start_configured(operator, |_| {})
    }

    fn start_with_memory(operator: String, memory_mb: u64) -> Self {
        Self::start_configured(operator, |setup| setup.memory_mb = memory_mb)
    }

    /// Starts a site whose reads have this deadline.
    fn start_with_deadline(operator: String, deadline_ms: f64) -> Self {
        Self::start_configured(operator, |setup| {
            setup.settings["services"][0]["deadlineMs"] = serde_json::json!(deadline_ms);
        })
    }

    fn start_configured(operator: String, configure: impl FnOnce(&mut Setup)) -> Self {
        let members = TestSite::start();
        let feed = Feed::start();
        let mut setup = members.setup();
        setup.feed = feed.address;
        setup.operator = Some(operator);
        setup.memory_mb = MEMORY_MB;
        configure(&mut setup);
        let gateway = setup.start();
        let (_, feed_connection) = feed.accept();
        LinkedSite { members, setup, gateway, feed, feed_connection }
    }
}

/// A northern and a southern site; the north connects to the south through a relay.
struct SitePair {
    north: LinkedSite,
    south: LinkedSite,
    link: LinkRelay,
    client: Client,
}

fn wait_for_link(site: &LinkedSite, peer: &str) {
    until("the link is up", || site.gateway.log().contains(&format!("link to {peer} (0): up")));
}

impl SitePair {
    fn start_with(mode: &str) -> Self {
        Self::start_with_memory(mode, MEMORY_MB)
    }

    fn start_with_memory(mode: &str, memory_mb: u64) -> Self {
        Self::start_sites(mode, |operator| LinkedSite::start_with_memory(operator, memory_mb))
    }

    /// Starts two sites whose reads have this deadline.
    fn start_with_deadline(deadline_ms: f64) -> Self {
        Self::start_sites("", |operator| LinkedSite::start_with_deadline(operator, deadline_ms))
    }

    fn start_sites(mode: &str, start: impl Fn(String) -> LinkedSite) -> Self {
        let [north_at, south_at] = [free_address(), free_address()];
        let link = LinkRelay::to(south_at);
        let south = start(operator_text("south", south_at, &[("north", north_at)], &[("a", "north", "")]));
        let routes = [("b", "south", mode)];
        let north = start(operator_text("north", north_at, &[("south", link.address)], &routes));
        wait_for_link(&north, "south");
        wait_for_link(&south, "north");
        let client = north.gateway.client();
        SitePair { north, south, link, client }
    }

    fn start() -> Self {
        Self::start_with("")
    }

    /// Has the south answer more than the kernel takes for the link, which then passes nothing any more. Until then the link
    /// is slow, but not so slow that either side takes it for cut.
    fn fill_silent_link(&mut self) {
        self.link.throttle(SLOW_LINK_BYTES_PER_MS);
        for number in 0..UNREAD_ANSWERS {
            let object = format!("b{number:015x}");
            self.client.send_request("page", &[("lookup", &object), ("room", "200")], b"");
            let (cache, request) = self.south.members.next_request();
            cache.answer(&request, "200", &[1; 200_000]);
        }
        std::thread::sleep(Duration::from_millis(100));
        self.link.set_state(LinkState::Silent);
    }
}
