//! The gateway between sites: what crossing costs, what credit does, joining, recovery after a cut, memory.

use super::{Options, show};
use crate::output::print_line;
use crate::traffic;
use bytes::BytesMut;
use deckproxy::protocol::link;
use deckproxy_sites::frame::{Beat, Hello, Say, VERSION};
use deckproxy_standins::link_relay::{LinkRelay, LinkState};
use deckproxy_standins::load_client::{Load, LoadClients, RequestGenerator, RequestSpec, RetryPolicy};
use deckproxy_standins::record::{Fact, Outcome, Record, Seen};
use deckproxy_standins::rules::{self, Verdict};
use deckproxy_standins::site::{Site, SiteConfig, object_size};
use deckproxy_standins::{Client, Gateway, free_address, until};
use rand::RngExt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

struct Pair {
    record: Record,
    sites: [Arc<Site>; 2],
    gateways: [Gateway; 2],
    at: [SocketAddr; 2],
    shim: LinkRelay,
}

impl Pair {
    /// A northern and a southern site; the north's link goes through a shim or straight.
    fn start(link: &str, straight: bool) -> Self {
        let record = Record::default();
        let sites = [0, 1].map(|n| Arc::new(Site::start(n, SiteConfig::default(), &record)));
        let at = [free_address(), free_address()];
        let [north, south] = [free_address(), free_address()];
        let shim = LinkRelay::to(south);
        let way = if straight { south } else { shim.address };
        let texts = [
            format!(
                "sites {{ name: \"north\" listen: \"{north}\" peers {{ site: \"south\" addresses: \"{way}\" }} \
                 routes {{ prefix: \"1\" home: \"south\" }} link {{ {link} }} trust {{ when_cut: SERVE }} }}"
            ),
            format!("sites {{ name: \"south\" listen: \"{south}\" link {{ {link} }} }}"),
        ];
        let start = |n: usize| sites[n].gateway(["north", "south"][n], at[n], Some(&texts[n]));
        let gateways = [start(0), start(1)];
        until("the link is up", || gateways[0].log().contains("link to south (0): up"));
        Pair { record, sites, gateways, at, shim }
    }

    /// Clients of the north for a while; what was seen, and how much CPU the two gateways took, ms.
    fn load(&self, options: &Options, rate: f64, draw: &RequestGenerator) -> (Verdict, Vec<Seen>, [u64; 2]) {
        let before = [self.gateways[0].cpu_ms(), self.gateways[1].cpu_ms()];
        let callers =
            LoadClients::start(Load::new(0, self.at[0], 16, rate, options.seed, draw), &self.record);
        thread::sleep(Duration::from_secs(options.seconds));
        callers.finish();
        let took = [self.gateways[0].cpu_ms() - before[0], self.gateways[1].cpu_ms() - before[1]];
        let facts = self.record.take();
        (rules::judge(&facts, rules::RuleLimits::default(), self.record.now()), facts, took)
    }
}

fn small(site: u32, count: usize) -> RequestGenerator {
    Arc::new(move |rng| {
        // Of those sizes that are small.
        let object = loop {
            let object = traffic::object(site, rng.random_range(0..count));
            if object_size(object) < 8000 {
                break object;
            }
        };
        RequestSpec {
            class: "page",
            object,
            group: traffic::group(object),
            home_site: site,
            timeout_ms: 1400,
        }
    })
}

/// Runs all parts.
pub fn run(options: &Options) {
    cost(options);
    credit(options);
    joining();
    recovery(options);
    memory();
}

fn cost(options: &Options) {
    print_line!(
        "\nCrossing beside staying, 800 requests a second, objects of under 8 KB, no delay on the link"
    );
    let pair = Pair::start("", true);
    // Both sites' caches are filled first.
    for site in 0..2 {
        pair.load(options, 400.0, &small(site, 60));
    }
    let mut rows = Vec::new();
    let mut per_cpu = Vec::new();
    for (name, site, which) in [("own site's", 0, 0), ("crossing", 1, 1)] {
        let (v, _, cpu) = pair.load(options, 800.0, &small(site, 60));
        let all = (cpu[0] + cpu[1]).max(1) as f64 / 1000.0;
        per_cpu.push(v.served as f64 / all);
        rows.push(vec![
            name.to_string(),
            v.served.to_string(),
            format!("{:.2}", v.quantile(which, 0.5)),
            format!("{:.2}", v.quantile(which, 0.99)),
            format!("{} + {}", cpu[0], cpu[1]),
            format!("{:.0}", v.served as f64 / all),
        ]);
    }
    show(&["requests", "served", "p50 ms", "p99 ms", "CPU ms, near + far", "served a CPU second"], &rows);
    print_line!("a crossing request takes {:.2} times the CPU of one that stays", per_cpu[0] / per_cpu[1]);
}

fn credit(options: &Options) {
    print_line!(
        "\nSmall answers beside large ones (180 KB), link of 2 MB a second each connection, one connection"
    );
    let mixed: RequestGenerator = Arc::new(|rng| {
        let large = rng.random_range(0..20) == 0;
        let object = loop {
            let object = traffic::object(1, rng.random_range(0..400));
            let size = object_size(object);
            if large && size == 180_000 || !large && size < 8000 {
                break object;
            }
        };
        RequestSpec { class: "page", object, group: traffic::group(object), home_site: 1, timeout_ms: 1400 }
    });
    let mut rows = Vec::new();
    for (name, link) in [
        ("pieces of 16 KB, credit of 64 KB", "chunk_kb: 16 credit_kb: 64"),
        ("bodies in one piece", "chunk_kb: 256 credit_kb: 16384"),
    ] {
        let pair = Pair::start(link, false);
        pair.load(options, 150.0, &mixed);
        pair.shim.throttle(2000);
        let (v, facts, _) = pair.load(options, 150.0, &mixed);
        let (small, large) = by_size(&facts);
        let q = |all: &[f64], q: f64| {
            all.get(((all.len() as f64 - 1.0) * q).max(0.0) as usize).copied().unwrap_or(0.0)
        };
        rows.push(vec![
            name.to_string(),
            format!("{:.3}", v.served as f64 / v.requests.max(1) as f64),
            format!("{:.1} / {:.1}", q(&small, 0.5), q(&small, 0.99)),
            format!("{:.1} / {:.1}", q(&large, 0.5), q(&large, 0.99)),
        ]);
    }
    show(&["bodies", "served", "small: p50 / p99 ms", "large: p50 / p99 ms"], &rows);
}

/// Times of served requests, small and large objects apart, ascending.
fn by_size(facts: &[Seen]) -> (Vec<f64>, Vec<f64>) {
    let mut asked = std::collections::HashMap::new();
    let (mut small, mut large) = (Vec::new(), Vec::new());
    for seen in facts {
        match &seen.fact {
            Fact::RequestSent { name, object, .. } => drop(asked.insert(name, (seen.at, *object))),
            Fact::Answered { name, outcome: Outcome::Served(_) } => {
                if let Some((at, object)) = asked.get(name) {
                    if object_size(*object) < 8000 { &mut small } else { &mut large }.push(seen.at - at);
                }
            }
            _ => {}
        }
    }
    small.sort_by(f64::total_cmp);
    large.sort_by(f64::total_cmp);
    (small, large)
}

fn joining() {
    print_line!("\n1000 requests of 40 clients for one object of the other site, all within a moment");
    let pair = Pair::start("waiters: 2000", true);
    pair.sites[1].slow_origin(200);
    let object = format!("{:016x}", traffic::object(1, 3));
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(pair.at[0])).collect();
    for client in &mut clients {
        for _ in 0..25 {
            client.send_request("page", &[("lookup", &object), ("allow", "1400")], b"");
        }
    }
    let mut served = 0;
    for client in &mut clients {
        for _ in 0..25 {
            served += usize::from(matches!(client.next_answer().1, deckproxy_standins::Answer::Served(..)));
        }
    }
    let facts = pair.record.take();
    let came = facts.iter().filter(|s| matches!(s.fact, Fact::AttemptReceived { .. }));
    let names: std::collections::HashSet<&String> = came
        .filter_map(|s| match &s.fact {
            Fact::AttemptReceived { name, .. } => Some(name),
            _ => None,
        })
        .collect();
    show(
        &["asked", "served", "requests that crossed"],
        &[vec!["1000".into(), served.to_string(), names.len().to_string()]],
    );
}

fn recovery(options: &Options) {
    print_line!(
        "\nThe link is reset for 2 s; 400 crossing requests a second, clients come again while they have time"
    );
    let mut rows = Vec::new();
    for (name, link, patience) in [
        ("as it is", "", RetryPolicy::AfterAdvice),
        ("plain: no ramp, no waiting, retry at once", "ramp_ms: 0 hold_ms: 0", RetryPolicy::Immediate),
    ] {
        let pair = Pair::start(link, false);
        let draw = traffic::draw(1, 1, 300, 0.0, 0.0);
        let callers = LoadClients::start(
            Load { retry_policy: patience, ..Load::new(0, pair.at[0], 24, 400.0, options.seed, &draw) },
            &pair.record,
        );
        thread::sleep(Duration::from_secs(4));
        let cut = pair.record.now();
        pair.shim.set_state(LinkState::Reset);
        thread::sleep(Duration::from_secs(2));
        let back = pair.record.now();
        pair.shim.set_state(LinkState::Up);
        thread::sleep(Duration::from_secs(4));
        callers.finish();
        let facts = pair.record.take();
        let served = |from: f64, to: f64| {
            let all = facts.iter().filter(|s| s.at >= from && s.at < to);
            all.filter(|s| matches!(&s.fact, Fact::Answered { outcome: Outcome::Served(_), .. })).count()
                as f64
        };
        let calm = served(cut - 2000.0, cut) / 20.0;
        let recovered =
            (0..80).map(|i| back + f64::from(i) * 50.0).find(|at| served(*at, at + 100.0) >= 0.9 * calm);
        // The far side's load: attempts that came to its members, in the fullest 50 ms.
        let came: Vec<f64> =
            facts.iter().filter(|s| matches!(s.fact, Fact::AttemptReceived { .. })).map(|s| s.at).collect();
        let fullest = |from: f64, to: f64| {
            let count = |at: f64| came.iter().filter(|c| **c >= at && **c < at + 50.0).count();
            let steps = ((to - from) / 25.0) as usize;
            (0..steps).map(|i| count(from + i as f64 * 25.0)).max().unwrap_or(0)
        };
        let asked = |from: f64, to: f64| {
            let all = facts.iter().filter(|s| s.at >= from && s.at < to);
            all.filter(|s| matches!(s.fact, Fact::RequestSent { .. })).count() as f64
        };
        let mean = came.iter().filter(|c| **c >= cut - 2000.0 && **c < cut).count() as f64 / 40.0;
        rows.push(vec![
            name.to_string(),
            recovered.map_or("never".into(), |at| format!("{:.0}", at - back + 100.0)),
            format!("{:.1}", fullest(back, back + 1500.0) as f64 / mean),
            format!("{:.1}", fullest(cut - 2000.0, cut) as f64 / mean),
            format!("{:.1}", asked(cut, back) / asked(cut - 2000.0, cut)),
        ]);
    }
    show(
        &[
            "",
            "ms until 0.9 of the former rate",
            "far side's fullest 50 ms, of the calm mean",
            "the same before",
            "requests during the cut, of before",
        ],
        &rows,
    );
}

/// A far end that says hello and answers heartbeats, and nothing else.
fn mute() -> SocketAddr {
    let listener = TcpListener::bind(free_address()).expect("a free address");
    let at = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut buffer, mut chunk) = (BytesMut::new(), vec![0; 64 * 1024]);
                while let Ok(n @ 1..) = stream.read(&mut chunk) {
                    buffer.extend_from_slice(&chunk[..n]);
                    while let Ok(Some(frame)) = link::Decoder.next(&mut buffer) {
                        let say = match frame.say {
                            Some(Say::Hello(hello)) => Say::Hello(Hello {
                                version: VERSION,
                                site: hello.to.clone(),
                                to: hello.site.clone(),
                                epoch: 7,
                                credit: 65_536,
                                reattach: 5000,
                                ..hello
                            }),
                            Some(Say::Ping(beat)) => {
                                Say::Pong(Beat { number: beat.number, ..Beat::default() })
                            }
                            _ => continue,
                        };
                        let _ = stream.write_all(&link::encode_frame(&say.into()));
                    }
                }
            });
        }
    });
    at
}

fn memory() {
    print_line!(
        "\nMemory of the near gateway with crossing requests open (for a far end that never answers)"
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let (at, far) = (free_address(), mute());
    let mut config = site.config("north", at);
    config["limits"]["sockets"] = 4096.into();
    for service in config["settings"]["services"].as_array_mut().expect("a list") {
        service["deadlineMs"] = 30_000.into();
    }
    let operator = format!(
        "sites {{ name: \"north\" peers {{ site: \"south\" addresses: \"{far}\" }} routes {{ prefix: \"1\" home: \"south\" }} \
         link {{ ramp_ms: 0 }} }}"
    );
    let gateway = site.gateway_with_config(&config, "north", at, Some(&operator));
    until("the link is up", || gateway.log().contains("link to south (0): up"));
    let resident = || {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default().to_string();
        line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
    };
    let empty = resident();
    let mut clients: Vec<Client> = (0..320).map(|_| Client::connect(at)).collect();
    thread::sleep(Duration::from_millis(200));
    let mut rows = vec![vec!["0".into(), empty.to_string(), String::new()]];
    let mut open = 0;
    for goal in [1000, 10_000] {
        while open < goal {
            let n = clients.len();
            let object = format!("{:016x}", traffic::object(1, open));
            clients[open % n].send_request("page", &[("lookup", &object), ("allow", "25000")], b"");
            open += 1;
        }
        thread::sleep(Duration::from_millis(500));
        let now = resident();
        rows.push(vec![
            goal.to_string(),
            now.to_string(),
            format!("{:.2}", (now - empty) as f64 / goal as f64),
        ]);
    }
    show(&["open", "resident KB", "KB each"], &rows);
}
