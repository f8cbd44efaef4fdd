//! The rule on purges: a gateway of a fleet returns after a pause, and goes on with what it knew before.

use crate::cache::{Cache, Origin, serve_current};
use crate::client::{Answer, Client, fresh_ref};
use crate::feed::Feed;
use crate::member::Member;
use crate::run::{Gateway, free_address, sleep_ms};
use crate::{Case, Config, Verdict, entry, services};
use std::time::{Duration, Instant};

/// How long the instance is paused, ms.
const PAUSE: u64 = 3000;
/// When the object is purged, ms after the pause began.
const PURGE_AFTER: u64 = 500;
/// The grace of the rule on purges (`familyInfo.obeyAfterMs`), and the 50 ms by which limits are longer on sockets, ms.
const GRACE: f64 = 1050.0;
/// Connections of clients, and the time between two requests on one of them, ms.
const CLIENTS: usize = 4;
const PERIOD: u64 = 200;
const OBJECT: &str = "7f3a9c21e0b4d655";

fn operator(listen: &str, seeds: &[String]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "fleet {{\n  name: \"edge\"\n  listen: \"{listen}\"\n  seeds: [{}]\n  prefixes: \"127.0.0.0/8\"\n  instances: 2\n  \
         probes {{ observers: 2 interval_ms: 1000 }}\n}}\n",
        seeds.join(", ")
    )
}

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let origin = Origin::default();
    let copies = [Cache::new(&origin), Cache::new(&origin)];
    let caches: Vec<Member> = copies
        .iter()
        .zip(["s-cache1", "s-cache2"])
        .map(|(cache, name)| {
            let cache = cache.clone();
            Member::start(record, name, move |ask| cache.react(ask))
        })
        .collect();
    let (at_parent, at_store) = (origin.clone(), origin.clone());
    let parent = Member::start(record, "s-parent", move |ask| serve_current(&at_parent, ask));
    let store = Member::start(record, "s-origin", move |ask| serve_current(&at_store, ask));
    for cache in &copies {
        cache.warm(OBJECT);
    }
    let mut members: Vec<String> =
        caches.iter().map(|cache| entry(&cache.name, cache.address, "edge-1", "box-a", "Ready")).collect();
    members.push(entry(&parent.name, parent.address, "west", "parent", "Ready"));
    members.push(entry(&store.name, store.address, "west", "origin", "Ready"));
    let fleet: Vec<String> = (0..2).map(|_| free_address().to_string()).collect();
    let mut gateways: Vec<(Gateway, Config)> = Vec::new();
    let mut feeds = Vec::new();
    for position in 0..2 {
        let mut config = Config {
            name: format!("n{}", position + 1),
            listen: free_address(),
            feed: free_address(),
            services: services(6000),
            goes_through: "[false,false,true]".to_string(),
            max_age: "[0,12000,0]".to_string(),
            members: members.clone(),
            position: (position, 2),
            operator: Some(operator(&fleet[position], &fleet)),
        };
        let feed = Feed::start(record, config.first_event());
        config.feed = feed.address;
        gateways.push((case.gateway(&config)?, config));
        feeds.push(feed);
    }
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let mut client = Client::connect(record, &format!("terminal{n}"), gateways[0].1.listen)?;
        client.expect_ready()?;
        clients.push(client);
    }
    sleep_ms(2000);

    let mut sent: Vec<(usize, u64)> = Vec::new();
    let mut request = |clients: &mut Vec<Client>, until: Duration, began: Instant, next: &mut Duration| {
        while *next < until {
            std::thread::sleep(next.saturating_sub(began.elapsed()));
            let n = sent.len() % CLIENTS;
            let name = fresh_ref();
            let fields = [
                ("ref", name.as_str()),
                ("allow", "5000"),
                ("lookup", OBJECT),
                ("seg", "0"),
                ("bucket", "17"),
                ("room", "100"),
            ];
            let (id, _) = clients[n].send("video", &fields, b"");
            sent.push((n, id));
            *next += Duration::from_millis(PERIOD / CLIENTS as u64);
        }
    };
    let (began, mut next) = (Instant::now(), Duration::ZERO);
    let ms = Duration::from_millis;
    request(&mut clients, ms(2000), began, &mut next);
    if case.trouble {
        gateways[0].0.signal("STOP");
        record.line("gateway n1 is paused");
    }
    request(&mut clients, ms(2000 + PURGE_AFTER), began, &mut next);
    let at = origin.change(OBJECT);
    let event = format!(r#""purge":{{"key":"{OBJECT}","at":{at:.0}}}"#);
    let told = feeds.iter().map(|feed| feed.tell(record, &event)).fold(0.0, f64::max);
    request(&mut clients, ms(2000 + PAUSE), began, &mut next);
    if case.trouble {
        gateways[0].0.signal("CONT");
        record.line("gateway n1 goes on");
    }
    request(&mut clients, ms(2000 + PAUSE + 1500), began, &mut next);
    let mut served = 0;
    for (n, id) in &sent {
        if matches!(clients[*n].wait(*id, 2000), Some((_, Answer::Served(_)))) {
            served += 1;
        }
    }
    if !gateways.iter_mut().all(|(gateway, _)| gateway.runs()) {
        return Err("a gateway has ended".to_string());
    }
    if served == 0 {
        return Err("nothing was served".to_string());
    }
    // What a cache answered from its first copy (version 1), to a request that came later than the grace.
    let mut stale = 0;
    let mut after = 0;
    for cache in &caches {
        for ask in cache.asks().iter().filter(|ask| ask.at > told + GRACE) {
            after += 1;
            let answered = cache.answer_to(&ask.id, ask.at);
            stale += usize::from(answered.is_some_and(|body| body == Origin::body(OBJECT, 1)));
        }
    }
    let text = format!(
        "{stale} of {after} requests that came to a cache later than {GRACE:.0} ms after the purge was in the feed were \
         answered from the older copy; {served} of {} requests of the clients were served",
        sent.len()
    );
    Ok(Verdict { broken: stale > 0, text })
}
