//! The rule `drain`: a cache begins to drain while discovery is slow, each of its bytes some seconds late.

use crate::client::{Client, fresh_ref};
use crate::feed::{Feed, delaying_relay};
use crate::member::{Member, Reaction};
use crate::run::{free_address, sleep_ms};
use crate::{Case, Config, Verdict, entry, services};

/// How late the feed's bytes are, ms.
const DELAY: u64 = 3000;
/// What the feed has to tell counts as told after this time, whether it arrived or not, ms.
const TOLD_AFTER: f64 = 7000.0;
/// The grace of the rule on drains, and the 50 ms by which every limit is longer on sockets, ms.
const GRACE: f64 = 550.0;
/// How long requests are sent after that, ms.
const WATCHED: f64 = 4000.0;

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let serve = |_: &crate::member::Ask| Reaction::Serve(10, vec![7; 2000]);
    let first = Member::start(record, "s-cache1", serve);
    let second = Member::start(record, "s-cache2", serve);
    let parent = Member::start(record, "s-parent", serve);
    let origin = Member::start(record, "s-origin", serve);
    let mut config = Config {
        name: "n1".to_string(),
        position: (0, 1),
        operator: None,
        listen: free_address(),
        feed: free_address(),
        services: services(6000),
        goes_through: "[false,false,true]".to_string(),
        max_age: "[0,12000,0]".to_string(),
        members: vec![
            entry(&first.name, first.address, "edge-1", "box-a", "Ready"),
            entry(&second.name, second.address, "edge-1", "box-a", "Ready"),
            entry(&parent.name, parent.address, "west", "parent", "Ready"),
            entry(&origin.name, origin.address, "west", "origin", "Ready"),
        ],
    };
    let feed = Feed::start(record, config.first_event());
    config.feed = delaying_relay(record, feed.address, if case.trouble { DELAY } else { 0 });
    let mut gateway = case.gateway(&config)?;
    let mut client = Client::connect(record, "terminal", config.listen)?;
    client.expect_ready()?;

    let mut told = None;
    let began = record.now();
    let mut sent = 0u64;
    let (mut served, mut unserved) = (0, 0);
    loop {
        let now = record.now();
        if told.is_none() && now - began > 5000.0 {
            let drains = entry(&first.name, first.address, "edge-1", "box-a", "Terminating");
            let event = format!(r#""members":{{"revision":2,"complete":false,"members":[{drains}]}}"#);
            told = Some(feed.tell(record, &event));
        }
        if told.is_some_and(|at| now - at > TOLD_AFTER + GRACE + WATCHED) {
            break;
        }
        sent += 1;
        let (name, object) = (fresh_ref(), format!("{:016x}", sent.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let fields = [
            ("ref", name.as_str()),
            ("allow", "2500"),
            ("lookup", &object),
            ("bucket", "17"),
            ("room", "100"),
        ];
        let (id, _) = client.send("small", &fields, b"");
        match client.wait(id, 3000) {
            Some((_, crate::client::Answer::Served(_))) => served += 1,
            _ => unserved += 1,
        }
        sleep_ms(40);
    }
    if !gateway.runs() {
        return Err("the gateway has ended".to_string());
    }
    let told = told.ok_or("no event was told")?;
    let asks = first.asks();
    let before = asks.iter().filter(|ask| ask.at < told).count();
    if before == 0 || served == 0 {
        return Err(format!("{before} requests at the first cache before the event, {served} served"));
    }
    let after: Vec<f64> = asks.iter().map(|ask| ask.at - told).filter(|after| *after > 0.0).collect();
    let late: Vec<f64> = after.iter().copied().filter(|after| *after > TOLD_AFTER + GRACE).collect();
    let last = after.iter().copied().fold(0.0, f64::max);
    let text = format!(
        "{} requests came to the draining cache later than {:.0} ms after the event was in the feed (the last one {last:.0} ms \
         after it); {before} before the event; the client: {served} served, {unserved} not",
        late.len(),
        TOLD_AFTER + GRACE
    );
    Ok(Verdict { broken: !late.is_empty(), text })
}
