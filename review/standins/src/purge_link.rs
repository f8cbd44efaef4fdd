//! The rule on purges between sites: a purge is reported on one side only, while the link is cut, or (`quiet`) after a
//! time without purges while the link is up.

use crate::cache::{Cache, Origin, serve_current};
use crate::client::{Answer, Client, fresh_ref};
use crate::feed::{CutRelay, Feed};
use crate::member::Member;
use crate::run::{Gateway, free_address, sleep_ms};
use crate::{Case, Config, Verdict, entry, services};
use std::net::SocketAddr;

/// How long the link is cut, ms.
const CUT: u64 = 5000;
/// "no stale answers more than 1 s after the purge" (GROWTH.md), and the 50 ms by which limits are longer on sockets.
const GRACE: f64 = 1050.0;
/// An object whose home is the south.
pub const OBJECT: &str = "f03a9c21e0b4d655";

/// A site: its origin is shared with the other one, its caches, feed and gateway are its own.
pub struct Site {
    pub gateway: Gateway,
    pub listen: SocketAddr,
    pub feed: Feed,
    pub cache: Member,
}

pub fn site(case: &Case, name: &str, origin: &Origin, operator: String) -> Result<Site, String> {
    let record = &case.record;
    let copies = Cache::new(origin);
    copies.warm(OBJECT);
    let (at_parent, at_store) = (origin.clone(), origin.clone());
    let cache = Member::start(record, &format!("{name}-cache"), move |ask| copies.react(ask));
    let parent = Member::start(record, &format!("{name}-parent"), move |ask| serve_current(&at_parent, ask));
    let store = Member::start(record, &format!("{name}-origin"), move |ask| serve_current(&at_store, ask));
    let mut config = Config {
        name: name.to_string(),
        listen: free_address(),
        feed: free_address(),
        services: services(6000),
        goes_through: "[false,false,true]".to_string(),
        max_age: "[0,12000,0]".to_string(),
        members: vec![
            entry(&cache.name, cache.address, "edge-1", "box-a", "Ready"),
            entry(&parent.name, parent.address, "west", "parent", "Ready"),
            entry(&store.name, store.address, "west", "origin", "Ready"),
        ],
        position: (0, 1),
        operator: Some(operator),
    };
    let feed = Feed::start(record, config.first_event());
    config.feed = feed.address;
    Ok(Site { gateway: case.gateway(&config)?, listen: config.listen, feed, cache })
}

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let origin = Origin::default();
    let south_links = free_address();
    let relay = CutRelay::start(record, south_links);
    // The south forwards nothing: `name` and `listen` are all that it needs (the operators' manual on sites).
    let south = format!("sites {{\n  name: \"south\"\n  listen: \"{south_links}\"\n}}\n");
    let north = format!(
        "sites {{\n  name: \"north\"\n  peers {{ site: \"south\" addresses: [\"{}\"] }}\n  routes {{ prefix: \"f\" home: \"south\" }}\n}}\n",
        relay.address
    );
    let mut south = site(case, "south", &origin, south)?;
    let mut north = site(case, "north", &origin, north)?;
    let mut kiosk = Client::connect(record, "south-kiosk", south.listen)?;
    kiosk.expect_ready()?;
    let mut branch = Client::connect(record, "north-kiosk", north.listen)?;
    branch.expect_ready()?;
    sleep_ms(1500);

    let ask = |client: &mut Client| {
        let name = fresh_ref();
        let fields = [
            ("ref", name.as_str()),
            ("allow", "2000"),
            ("lookup", OBJECT),
            ("seg", "0"),
            ("bucket", "17"),
            ("room", "100"),
        ];
        let (id, _) = client.send("video", &fields, b"");
        matches!(client.wait(id, 2500), Some((_, Answer::Served(_))))
    };
    if !ask(&mut branch) {
        return Err("the north's request did not cross the link".to_string());
    }
    let mut served = 0;
    let mut told = None;
    let began = record.now();
    let mut cut_at = None;
    while record.now() - began < 1000.0 + CUT as f64 {
        let now = record.now() - began;
        if cut_at.is_none() && now > 1000.0 {
            cut_at = Some(now);
            if case.trouble {
                relay.cut(true);
            }
        }
        if told.is_none() && now > 1300.0 {
            let at = origin.change(OBJECT);
            told = Some(north.feed.tell(record, &format!(r#""purge":{{"key":"{OBJECT}","at":{at:.0}}}"#)));
        }
        served += usize::from(ask(&mut kiosk));
        sleep_ms(90);
    }
    relay.cut(false);
    let told = told.ok_or("no purge was told")?;
    if !south.gateway.runs() || !north.gateway.runs() {
        return Err("a gateway has ended".to_string());
    }
    let asks = south.cache.asks();
    let late: Vec<_> = asks.iter().filter(|ask| ask.at > told + GRACE).collect();
    let is_old = |body: Vec<u8>| body == Origin::body(OBJECT, 1);
    let stale = late.iter().filter(|ask| south.cache.answer_to(&ask.id, ask.at).is_some_and(is_old)).count();
    let _ = &south.feed;
    let text = format!(
        "{stale} of {} requests that came to the south's cache later than {GRACE:.0} ms after the purge was in the north's \
         feed were answered from the older copy; {served} requests of the south's client were served",
        late.len()
    );
    Ok(Verdict { broken: stale > 0, text })
}
