//! The drill of the gateway between sites.

use super::{Options, Report, Spoil};
use crate::traffic;
use deckproxy_standins::link_relay::{LinkRelay, LinkState};
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::{Fact, Outcome, Record, Seen, Stamp};
use deckproxy_standins::rules;
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address, until};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Share of the time for which links are cut.
const CUT: f64 = 0.2;
/// Objects of each site.
const OBJECTS: usize = 400;
/// Requests a second of each site's clients.
const RATE: f64 = 120.0;
const NAMES: [&str; 2] = ["north", "south"];

fn operator(site: usize, listen: SocketAddr, peer: SocketAddr) -> String {
    let other = 1 - site;
    format!(
        "sites {{\n name: \"{}\"\n listen: \"{listen}\"\n peers {{ site: \"{}\" addresses: \"{peer}\" }}\n \
         routes {{ prefix: \"{other}\" home: \"{}\" }}\n \
         # Of the other's objects, those whose number goes on with 0 to 3 may be kept here too.\n \
         {}\n trust {{ known_ms: 3600000 }}\n}}\n",
        NAMES[site],
        NAMES[other],
        NAMES[other],
        (0..4)
            .map(|d| format!(
                "routes {{ class: \"page\" prefix: \"{other}{d}\" home: \"{}\" mode: COPIES }}",
                NAMES[other]
            ))
            .collect::<Vec<_>>()
            .join("\n ")
    )
}

/// One gateway and what starts it again.
struct Post {
    site: Arc<Site>,
    listen: SocketAddr,
    operator: String,
    gateway: Gateway,
}

impl Post {
    fn start(site: &Arc<Site>, listen: SocketAddr, operator: String) -> Self {
        let gateway = site.gateway(NAMES[site.number as usize], listen, Some(&operator));
        Post { site: site.clone(), listen, operator, gateway }
    }

    fn again(&mut self) {
        self.gateway = self.site.gateway(NAMES[self.site.number as usize], self.listen, Some(&self.operator));
    }
}

/// Runs it.
pub fn run(options: &Options) -> Report {
    let record = Record::default();
    let sites: Vec<Arc<Site>> = (0..2)
        .map(|n| {
            Arc::new(Site::start(n, SiteConfig { purge_delay_ms: 2000, ..SiteConfig::default() }, &record))
        })
        .collect();
    let links = [free_address(), free_address()];
    // The link that a site opens goes through a shim to the other's gateway.
    let shims = [LinkRelay::to(links[1]), LinkRelay::to(links[0])];
    shims.iter().for_each(|shim| shim.set_delay(Duration::from_millis(4)));
    let mut posts: Vec<Post> = (0..2)
        .map(|n| Post::start(&sites[n], free_address(), operator(n, links[n], shims[n].address)))
        .collect();
    until("the links are up", || posts.iter().all(|p| p.gateway.log().contains(": up;")));
    let callers: Vec<LoadClients> = (0..2)
        .map(|n| {
            let draw = traffic::draw(n, 2, OBJECTS, 0.5, 0.1);
            let seed = options.seed ^ u64::from(n) << 32;
            LoadClients::start(Load::new(n, posts[n as usize].listen, 6, RATE, seed, &draw), &record)
        })
        .collect();
    let restarts = faults(options, &record, &sites, &shims, &mut posts);
    callers.into_iter().for_each(LoadClients::finish);
    let mut broken = Vec::new();
    for post in &mut posts {
        post.gateway.signal("TERM");
        let code = post.gateway.wait_for_exit();
        let log = post.gateway.log();
        if std::env::var_os("DECKLAB_LOGS").is_some() {
            eprintln!("{log}");
        }
        if code != Some(0) {
            broken.push(format!("a gateway ended with {code:?}: {log}"));
        }
        if log.contains("broken invariant") || log.contains("panicked") {
            broken.push(format!("a gateway's own checks failed: {log}"));
        }
    }
    let end = record.now();
    let mut facts = record.take();
    if let Some(spoil) = options.spoil {
        put_wrong(&mut facts, spoil);
    }
    let verdict = rules::judge(&facts, rules::RuleLimits::default(), end);
    if verdict.home_served_share < 0.95 {
        broken.push(format!(
            "{:.3} of the requests for own objects were served; 0.95 are promised",
            verdict.home_served_share
        ));
    }
    if verdict.cross_site_served_share < 0.75 {
        broken.push(format!(
            "{:.3} of the crossing requests were served; 0.75 are promised",
            verdict.cross_site_served_share
        ));
    }
    let cut: f64 = cut_time(&facts, end);
    if std::env::var_os("DECKLAB_LOGS").is_some() {
        timeline(&facts, end);
    }
    Report {
        figures: json!({"cut_share": super::round(cut / end), "restarts": restarts, "attempts": verdict.attempts,
            "hits": verdict.hits, "fills": verdict.fills}),
        verdict,
        broken,
    }
}

/// Cuts, purges, drains and restarts until the time is over. Gives the number of restarts.
fn faults(
    options: &Options,
    record: &Record,
    sites: &[Arc<Site>],
    shims: &[LinkRelay; 2],
    posts: &mut [Post],
) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ 0xd111);
    let start = Instant::now();
    let length = Duration::from_secs(options.seconds);
    let kinds =
        [(LinkState::Reset, "reset"), (LinkState::Silent, "silent"), (LinkState::HalfOpen, "half open")];
    let mut cut: Option<(Instant, [bool; 2])> = None;
    let mut cut_sum = 0.0;
    let mut next_cut = start + Duration::from_millis(1500);
    let mut next_purge = start;
    let mut next_drain = start + Duration::from_millis(1500);
    let mut leaving: Vec<(Instant, usize, String)> = Vec::new();
    let kill_at = start + length.mul_f64(0.45);
    let term_at = start + length.mul_f64(0.75);
    let (mut killed, mut told, mut ended, mut restarts) = (false, false, false, 0);
    while start.elapsed() < length {
        let now = Instant::now();
        if let Some((until, which)) = cut.filter(|(until, _)| now >= *until) {
            let _ = until;
            which
                .iter()
                .zip(shims)
                .filter(|(hit, _)| **hit)
                .for_each(|(_, shim)| shim.set_state(LinkState::Up));
            record.note(Fact::LinkChanged { kind: "whole", is_cut: false });
            cut = None;
        }
        if cut.is_none() && now >= next_cut {
            let (state, kind) = kinds[rng.random_range(0..3)];
            let lasts = rng.random_range(200..700u64);
            // Half of the cuts take both ways, the others one.
            let which = [[true, true], [true, true], [true, false], [false, true]][rng.random_range(0..4)];
            which.iter().zip(shims).filter(|(hit, _)| **hit).for_each(|(_, shim)| shim.set_state(state));
            record.note(Fact::LinkChanged { kind, is_cut: true });
            cut = Some((now + Duration::from_millis(lasts), which));
            // The next one comes when all of them together are that share of the time again.
            cut_sum += lasts as f64;
            let rest = cut_sum / CUT - start.elapsed().as_secs_f64() * 1000.0;
            next_cut = now + Duration::from_millis(lasts + rest.max(100.0) as u64 + rng.random_range(0..300));
        }
        if now >= next_purge {
            next_purge = now + Duration::from_millis(rng.random_range(20..120));
            // A popular object of either site changes; either side's feed may be the one to tell.
            let home = rng.random_range(0..2usize);
            let object = traffic::object(home as u32, rng.random_range(0..40));
            for site in sites {
                site.change_object(object);
            }
            let at = deckproxy_standins::unix_ms();
            let teller = rng.random_range(0..2usize);
            sites[teller].publish_purge(object, traffic::group(object), at);
        }
        if now >= next_drain {
            next_drain = now + Duration::from_millis(2500);
            let which = rng.random_range(0..2usize);
            let caches = sites[which].caches();
            let name = caches[rng.random_range(0..caches.len())].clone();
            sites[which].add_cache();
            sites[which].drain(&name);
            leaving.push((now + Duration::from_millis(1600), which, name));
        }
        leaving.retain(|(due, which, name)| {
            if now >= *due {
                sites[*which].remove(name);
            }
            now < *due
        });
        if !killed && now >= kill_at {
            killed = true;
            restarts += 1;
            posts[1].gateway.child.kill().expect("a process of our own");
            let _ = posts[1].gateway.child.wait();
            record.note(Fact::GatewayKilled { site: 1 });
            posts[1].again();
        }
        if !told && now >= term_at {
            told = true;
            restarts += 1;
            posts[0].gateway.signal("TERM");
        }
        // It goes on serving for a while; only then its place is free. The other faults go on meanwhile: a cut that
        // was held until the end was over, which waits for what crosses, lasted for seconds.
        if told && !ended && !matches!(posts[0].gateway.child.try_wait(), Ok(None)) {
            ended = true;
            let _ = posts[0].gateway.wait_for_exit();
            posts[0].again();
        }
        thread::sleep(Duration::from_millis(5));
    }
    shims.iter().for_each(|shim| shim.set_state(LinkState::Up));
    if told && !ended {
        let _ = posts[0].gateway.wait_for_exit();
        posts[0].again();
    }
    if cut.is_some() {
        record.note(Fact::LinkChanged { kind: "whole", is_cut: false });
    }
    // Links that were cut to the last come back, so that what waits is answered.
    let _ = TcpStream::connect(posts[0].listen);
    restarts
}

/// Prints what became of requests, in each half second: for a look at a drill that lost many.
fn timeline(facts: &[Seen], end: f64) {
    let mut asked = std::collections::HashMap::new();
    let mut rows = vec![[0usize; 6]; (end / 500.0) as usize + 1];
    for seen in facts {
        match &seen.fact {
            Fact::RequestSent { name, site, home_site: home, .. } => {
                asked.insert(name, (seen.at, site != home));
            }
            Fact::Answered { name, outcome } => {
                let Some((at, crosses)) = asked.get(name) else { continue };
                let kind = match outcome {
                    Outcome::Served(_) | Outcome::Unchanged => 0,
                    Outcome::Rejected(_) => 1,
                    Outcome::Failed => 2,
                };
                rows[(*at / 500.0) as usize][kind + 3 * usize::from(*crosses)] += 1;
            }
            Fact::LinkChanged { .. } | Fact::GatewayKilled { .. } => {
                eprintln!("{:.0} {:?}", seen.at, seen.fact)
            }
            _ => {}
        }
    }
    for (i, row) in rows.iter().enumerate() {
        eprintln!("{:6} own served, refused, failed: {:?} crossing: {:?}", i * 500, &row[..3], &row[3..]);
    }
}

/// Milliseconds for which a link was cut.
fn cut_time(facts: &[Seen], end: f64) -> f64 {
    let mut since = None;
    let mut sum = 0.0;
    for seen in facts {
        match seen.fact {
            Fact::LinkChanged { is_cut: true, .. } => since = Some(seen.at),
            Fact::LinkChanged { is_cut: false, .. } => sum += seen.at - since.take().unwrap_or(seen.at),
            _ => {}
        }
    }
    sum + since.map_or(0.0, |at| end - at)
}

/// Puts one thing wrong in a record.
fn put_wrong(facts: &mut Vec<Seen>, spoil: Spoil) {
    match spoil {
        Spoil::Stale => {
            let purge = facts.iter().find_map(|s| match &s.fact {
                Fact::PurgeAnnounced { object: Some(object), at, .. } => Some((s.at, *object, *at)),
                _ => None,
            });
            let Some((told, object, at)) = purge else { return };
            let late = told + 1500.0;
            let name = "spoilt".to_string();
            let asked = Fact::RequestSent {
                name: name.clone(),
                site: 0,
                home_site: 1,
                class: "page",
                object,
                group: 0,
                timeout_ms: 1400.0,
            };
            let stamp = Stamp { object, part: 0, issued: at - 1, site: 1 };
            facts.push(Seen { at: late - 20.0, fact: asked });
            facts.push(Seen {
                at: late,
                fact: Fact::Answered { name, outcome: Outcome::Served(Some(stamp)) },
            });
        }
        Spoil::Attempt => {
            let came = facts.iter().find(|s| matches!(s.fact, Fact::AttemptReceived { .. })).cloned();
            let Some(Seen { at, fact: Fact::AttemptReceived { name, site, class: lane, .. } }) = came else {
                return;
            };
            let beside = |member: &str| Fact::AttemptReceived {
                name: name.clone(),
                site,
                member: member.into(),
                class: lane.clone(),
            };
            facts.push(Seen { at, fact: beside("spoilt-1") });
            facts.push(Seen { at, fact: beside("spoilt-2") });
            facts.push(Seen {
                at: at + 200.0,
                fact: Fact::AttemptEnded { name: name.clone(), member: "spoilt-1".into() },
            });
            facts.push(Seen { at: at + 210.0, fact: Fact::AttemptEnded { name, member: "spoilt-2".into() } });
        }
        Spoil::Effect => {
            let ran = facts.iter().find(|s| matches!(s.fact, Fact::EffectApplied { .. })).cloned();
            facts.extend(ran.map(|s| Seen { at: s.at + 1.0, ..s }));
        }
        Spoil::Answer => {
            // Of the north, whose gateway is not killed: what a killed one owed is excused.
            let northern = facts.iter().find_map(|s| match &s.fact {
                Fact::RequestSent { name, site: 0, .. } => Some(name.clone()),
                _ => None,
            });
            let answers =
                |s: &Seen| matches!(&s.fact, Fact::Answered { name, .. } if Some(name) == northern.as_ref());
            let at = facts.iter().position(answers);
            at.map(|i| facts.remove(i));
        }
        Spoil::Record | Spoil::Probes | Spoil::Coverage | Spoil::Board => {
            unreachable!("{spoil:?} is rejected before the drill starts")
        }
    }
    facts.sort_by(|a, b| a.at.total_cmp(&b.at));
}
