//! The faults of the drill, as they fall due: cuts of the links, purges, drains of caches, a kill and a graceful restart.

use super::SiteGateway;
use crate::traffic;
use deckproxy_standins::link_relay::{LinkRelay, LinkState};
use deckproxy_standins::record::{Fact, Record};
use deckproxy_standins::site::Site;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Share of the time for which links are cut.
const CUT_SHARE: f64 = 0.2;
/// Time before the first cut and the first drain.
const CALM: Duration = Duration::from_millis(1500);
/// Time from one drain of a cache to the next.
const DRAIN_INTERVAL: Duration = Duration::from_millis(2500);
/// Time from the drain of a cache until it is removed.
const DRAIN_DURATION: Duration = Duration::from_millis(1600);
/// Objects of a site that change: its most popular ones.
const CHANGING_OBJECTS: usize = 40;
/// Share of the run after which the south's gateway is killed.
const KILL_AT: f64 = 0.45;
/// Share of the run after which the north's gateway is restarted by SIGTERM.
const RESTART_AT: f64 = 0.75;
/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(5);
/// The ways in which a link is cut, and their names in the record.
const CUT_KINDS: [(LinkState, &str); 3] =
    [(LinkState::Reset, "reset"), (LinkState::Silent, "silent"), (LinkState::HalfOpen, "half open")];
/// Which of the two links a cut takes: half of the cuts take both, the others one.
const CUT_LINKS: [[bool; 2]; 4] = [[true, true], [true, true], [true, false], [false, true]];

/// A cut that lasts.
#[derive(Clone, Copy)]
struct Cut {
    until: Instant,
    links: [bool; 2],
}

/// A cache that drains, and is removed when it is due.
struct DrainingCache {
    due: Instant,
    site: usize,
    name: String,
}

/// How far the graceful restart of the north's gateway is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Restart {
    Pending,
    /// SIGTERM was sent, and the gateway drains.
    Draining,
    Done,
}

/// What the faults are inflicted on, and which of them are due when.
pub struct FaultSchedule<'a> {
    record: &'a Record,
    sites: &'a [Arc<Site>],
    links: &'a [LinkRelay; 2],
    gateways: &'a mut [SiteGateway],
    rng: Pcg64Mcg,
    start: Instant,
    length: Duration,
    cut: Option<Cut>,
    /// Length of all cuts so far, ms.
    cut_ms: f64,
    next_cut: Instant,
    next_purge: Instant,
    next_drain: Instant,
    draining: Vec<DrainingCache>,
    was_killed: bool,
    restart: Restart,
    /// Restarts so far, after the kill and by SIGTERM.
    restarts: usize,
}

impl<'a> FaultSchedule<'a> {
    /// A schedule that starts now.
    pub fn new(
        seed: u64,
        length: Duration,
        record: &'a Record,
        sites: &'a [Arc<Site>],
        links: &'a [LinkRelay; 2],
        gateways: &'a mut [SiteGateway],
    ) -> Self {
        let start = Instant::now();
        FaultSchedule {
            record,
            sites,
            links,
            gateways,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0xd111),
            start,
            length,
            cut: None,
            cut_ms: 0.0,
            next_cut: start + CALM,
            next_purge: start,
            next_drain: start + CALM,
            draining: Vec::new(),
            was_killed: false,
            restart: Restart::Pending,
            restarts: 0,
        }
    }

    /// Inflicts the faults until the time is over, and mends what is still cut. Gives the number of restarts.
    pub fn run(mut self) -> usize {
        while self.start.elapsed() < self.length {
            let now = Instant::now();
            self.end_cut(now);
            self.begin_cut(now);
            self.purge(now);
            self.drain(now);
            self.remove_drained(now);
            self.kill(now);
            self.restart(now);
            thread::sleep(STEP);
        }
        self.finish()
    }

    fn set_links(&self, which: [bool; 2], state: LinkState) {
        for (_, link) in which.iter().zip(self.links).filter(|(is_cut, _)| **is_cut) {
            link.set_state(state);
        }
    }

    fn end_cut(&mut self, now: Instant) {
        let Some(cut) = self.cut.filter(|cut| now >= cut.until) else { return };
        self.set_links(cut.links, LinkState::Up);
        self.record.note(Fact::LinkChanged { kind: "whole", is_cut: false });
        self.cut = None;
    }

    fn begin_cut(&mut self, now: Instant) {
        if self.cut.is_some() || now < self.next_cut {
            return;
        }
        let (state, kind) = CUT_KINDS[self.rng.random_range(0..3)];
        let duration_ms = self.rng.random_range(200..700u64);
        let links = CUT_LINKS[self.rng.random_range(0..4)];
        self.set_links(links, state);
        self.record.note(Fact::LinkChanged { kind, is_cut: true });
        self.cut = Some(Cut { until: now + Duration::from_millis(duration_ms), links });
        // The next cut comes when all cuts together are down to their share of the time again.
        self.cut_ms += duration_ms as f64;
        let pause_ms = self.cut_ms / CUT_SHARE - self.start.elapsed().as_secs_f64() * 1000.0;
        let jitter_ms = self.rng.random_range(0..300);
        self.next_cut = now + Duration::from_millis(duration_ms + pause_ms.max(100.0) as u64 + jitter_ms);
    }

    /// A popular object of either site changes; the feed of either site announces it.
    fn purge(&mut self, now: Instant) {
        if now < self.next_purge {
            return;
        }
        self.next_purge = now + Duration::from_millis(self.rng.random_range(20..120));
        let home = self.rng.random_range(0..2usize);
        // One of two sites.
        let object = traffic::object(home as u32, self.rng.random_range(0..CHANGING_OBJECTS));
        for site in self.sites {
            site.change_object(object);
        }
        let purged_at = deckproxy_standins::unix_ms();
        let announcing = self.rng.random_range(0..2usize);
        self.sites[announcing].publish_purge(object, traffic::group(object), purged_at);
    }

    /// A cache of either site drains, and another one takes its place.
    fn drain(&mut self, now: Instant) {
        if now < self.next_drain {
            return;
        }
        self.next_drain = now + DRAIN_INTERVAL;
        let site = self.rng.random_range(0..2usize);
        let caches = self.sites[site].caches();
        let name = caches[self.rng.random_range(0..caches.len())].clone();
        self.sites[site].add_cache();
        self.sites[site].drain(&name);
        self.draining.push(DrainingCache { due: now + DRAIN_DURATION, site, name });
    }

    fn remove_drained(&mut self, now: Instant) {
        let sites = self.sites;
        self.draining.retain(|cache| {
            if now >= cache.due {
                sites[cache.site].remove(&cache.name);
            }
            now < cache.due
        });
    }

    /// The south's gateway is killed once, and started again at once.
    fn kill(&mut self, now: Instant) {
        if self.was_killed || now < self.start + self.length.mul_f64(KILL_AT) {
            return;
        }
        self.was_killed = true;
        self.restarts += 1;
        let south = &mut self.gateways[1];
        south.gateway.kill();
        self.record.note(Fact::GatewayKilled { site: 1 });
        south.start_again();
    }

    /// The north's gateway ends by SIGTERM once. It serves on while it drains, and its address is free only after that;
    /// the other faults go on meanwhile. A cut kept up until the process had ended lasted for seconds, as the gateway waits
    /// for requests that cross the link.
    fn restart(&mut self, now: Instant) {
        let north = &mut self.gateways[0];
        if self.restart == Restart::Pending && now >= self.start + self.length.mul_f64(RESTART_AT) {
            self.restart = Restart::Draining;
            self.restarts += 1;
            north.gateway.signal("TERM");
        }
        if self.restart == Restart::Draining && !matches!(north.gateway.child.try_wait(), Ok(None)) {
            self.restart = Restart::Done;
            let _ = north.gateway.wait_for_exit();
            north.start_again();
        }
    }

    fn finish(self) -> usize {
        self.links.iter().for_each(|link| link.set_state(LinkState::Up));
        let north = &mut self.gateways[0];
        if self.restart == Restart::Draining {
            let _ = north.gateway.wait_for_exit();
            north.start_again();
        }
        if self.cut.is_some() {
            self.record.note(Fact::LinkChanged { kind: "whole", is_cut: false });
        }
        // Links that were cut to the last come back, so that waiting requests are answered.
        let _ = TcpStream::connect(north.listen);
        self.restarts
    }
}
