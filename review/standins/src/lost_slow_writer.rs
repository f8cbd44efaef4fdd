//! The rule `lost`: a client writes one request slowly, beside another that is open on the same connection.

use crate::client::{Client, fresh_ref, request};
use crate::feed::Feed;
use crate::member::{Ask, Member, Reaction};
use crate::run::{free_address, sleep_ms};
use crate::{Case, Config, Verdict, entry, services};

/// The slow request: its body, and the time over which it is written evenly, ms. It ends before the connection is 3 s
/// old, the time in which the pages want an answer or a close for a client whose messages never end.
const BODY: usize = 40_000;
const WRITTEN_OVER: u64 = 2500;
const PIECES: usize = 100;
/// The video part that is open meanwhile: how long the cache takes for it, ms.
const LARGE: &str = "7f3a9c21e0b4d6aa";
const LARGE_TAKES: u64 = 4000;
/// A final answer that is later than this after the request's time is lost (half a second, and 50 ms for sockets), ms.
const LATE: f64 = 550.0;
/// A request that crosses the end of a connection within this time is sent again, ms.
const CROSSES: f64 = 50.0;

/// A request of the client, with the time of its last byte and what it allows, ms.
struct Taken {
    id: u64,
    at: f64,
    allow: f64,
}

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let serve =
        |ask: &Ask| Reaction::Serve(if ask.field("name") == LARGE { LARGE_TAKES } else { 20 }, vec![7; 2000]);
    let cache = Member::start(record, "s-cache", serve);
    let parent = Member::start(record, "s-parent", serve);
    let origin = Member::start(record, "s-origin", serve);
    let mut config = Config {
        name: "n1".to_string(),
        listen: free_address(),
        feed: free_address(),
        services: services(6000),
        goes_through: "[false,false,true]".to_string(),
        max_age: "[0,12000,0]".to_string(),
        members: vec![
            entry(&cache.name, cache.address, "edge-1", "box-a", "Ready"),
            entry(&parent.name, parent.address, "west", "parent", "Ready"),
            entry(&origin.name, origin.address, "west", "origin", "Ready"),
        ],
        position: (0, 1),
        operator: None,
    };
    let feed = Feed::start(record, config.first_event());
    config.feed = feed.address;
    let mut gateway = case.gateway(&config)?;
    let mut client = Client::connect(record, "kiosk", config.listen)?;
    client.expect_ready()?;

    let mut taken = Vec::new();
    let name = fresh_ref();
    let fields = [
        ("ref", name.as_str()),
        ("allow", "5000"),
        ("lookup", LARGE),
        ("seg", "0"),
        ("bucket", "1"),
        ("room", "6000"),
    ];
    let (id, at) = client.send("video", &fields, b"");
    taken.push(Taken { id, at, allow: 5000.0 });

    sleep_ms(100);
    let (id, name) = (client.take_id(), fresh_ref());
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let fields = [
        ("ref", name.as_str()),
        ("allow", "3000"),
        ("replay", key),
        ("lookup", "7f3a9c21e0b4d6bb"),
        ("bucket", "1"),
    ];
    let bytes = request(id, "booking", &fields, &vec![9; BODY]);
    record.line(format!("client kiosk: begins to write request {id} booking, {} bytes", bytes.len()));
    let mut at = 0.0;
    for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
        at = client.write(piece);
        if case.trouble {
            sleep_ms(WRITTEN_OVER / PIECES as u64);
        }
    }
    record.line(format!("client kiosk: has written request {id} whole"));
    taken.push(Taken { id, at, allow: 3000.0 });
    for n in 0..5 {
        sleep_ms(100);
        let (name, object) = (fresh_ref(), format!("{:016x}", 0xcc00 + n));
        let fields = [
            ("ref", name.as_str()),
            ("allow", "2500"),
            ("lookup", &object),
            ("bucket", "1"),
            ("room", "100"),
        ];
        let (id, at) = client.send("small", &fields, b"");
        taken.push(Taken { id, at, allow: 2500.0 });
    }

    let mut lost = Vec::new();
    for Taken { id, at, allow } in &taken {
        let by = at + allow + LATE;
        match client.wait(*id, (by - record.now()).max(1.0) as u64) {
            Some((answered, _)) if answered <= by => {}
            // One that crossed the end of the connection would be sent again.
            _ if client.ended().is_some_and(|ended| at + CROSSES >= ended) => {}
            _ => lost.push(*id),
        }
    }
    let ended = client.ended().map_or("never".to_string(), |at| format!("at {at:.0} ms"));
    if !gateway.runs() {
        return Err("the gateway has ended".to_string());
    }
    if lost.contains(&taken[0].id) {
        return Err("the video part was not answered".to_string());
    }
    let text = format!(
        "{} of {} requests got no final answer: message ids {lost:?}; the gateway closed the connection: {ended}",
        lost.len(),
        taken.len()
    );
    Ok(Verdict { broken: !lost.is_empty(), text })
}
