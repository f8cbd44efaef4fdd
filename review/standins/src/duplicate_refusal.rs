//! The rule `duplicate`: a keyed request whose first attempt ran is refused after the time in which the store remembers
//! its key, so that the client repeats it and it runs again.

use crate::client::{Answer, Client, fresh_ref};
use crate::feed::Feed;
use crate::member::{Member, Reaction};
use crate::run::{free_address, sleep_ms, unix_ms};
use crate::{Case, Config, Verdict, entry, services};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// How long the store remembers a key, ms.
const WINDOW: u64 = 2000;
/// How long the client waits over all of its tries, ms: the deadline of the class.
const PATIENCE: u64 = 3000;
/// When the connection is reset under the request that has begun, ms after it came.
const RESET_AFTER: u64 = 2100;
/// How long the store takes for a booking, ms.
const WORK: u64 = 30;

/// The head office store: it runs a booking once, and drops a repeat of its key for the window.
#[derive(Default)]
struct Store {
    /// The last run of each key, Unix ms.
    runs: HashMap<String, Vec<f64>>,
}

impl Store {
    /// Handles a booking; returns whether it ran, or was dropped as a repeat.
    fn book(&mut self, key: &str) -> bool {
        let now = unix_ms();
        let runs = self.runs.entry(key.to_string()).or_default();
        let is_new = runs.last().is_none_or(|last| now - last > WINDOW as f64);
        if is_new {
            runs.push(now);
        }
        is_new
    }
}

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let (shared, booked, trouble) = (Arc::clone(&store), record.clone(), case.trouble);
    let resets = Mutex::new(0);
    let origin = Member::start(record, "s-origin", move |ask| {
        if ask.field("lane") != "booking" {
            return Reaction::Serve(WORK, b"page".to_vec());
        }
        let key = ask.field("dedupe").to_string();
        let ran = shared.lock().expect("no member panicked").book(&key);
        let what = if ran { "RUNS" } else { "drops a repeat of" };
        booked.line(format!("s-origin: {what} the booking of key {key}"));
        let mut resets = resets.lock().expect("no member panicked");
        if trouble && *resets == 0 {
            *resets += 1;
            return Reaction::Reset(RESET_AFTER);
        }
        Reaction::Serve(WORK, b"booked".to_vec())
    });
    let cache = Member::start(record, "s-cache", |_| Reaction::Serve(20, b"page".to_vec()));
    let parent = Member::start(record, "s-parent", |_| Reaction::Serve(20, b"page".to_vec()));
    let mut config = Config {
        name: "n1".to_string(),
        position: (0, 1),
        operator: None,
        listen: free_address(),
        feed: free_address(),
        services: services(WINDOW),
        goes_through: "[false,false,true]".to_string(),
        max_age: "[0,12000,0]".to_string(),
        members: vec![
            entry("s-cache", cache.address, "edge-1", "box-a", "Ready"),
            entry("s-parent", parent.address, "west", "parent", "Ready"),
            entry("s-origin", origin.address, "west", "origin", "Ready"),
        ],
    };
    let feed = Feed::start(record, config.first_event());
    config.feed = feed.address;
    let mut gateway = case.gateway(&config)?;
    let mut client = Client::connect(record, "kiosk", config.listen)?;
    client.expect_ready()?;

    // One booking. As the pages say of clients: a try again only after a refusal, or after any failure inside the
    // window; never beyond the time that the client waits.
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let began = record.now();
    let mut tries = 0;
    let outcome = loop {
        let left = PATIENCE as f64 - (record.now() - began);
        if left < 50.0 || tries == 3 {
            break "no time or no try left".to_string();
        }
        let (name, allow) = (fresh_ref(), format!("{left:.0}"));
        let mut fields = vec![
            ("ref", name.as_str()),
            ("allow", allow.as_str()),
            ("replay", key),
            ("lookup", "7f3a9c21e0b4d655"),
            ("bucket", "17"),
            ("room", "100"),
        ];
        if tries > 0 {
            fields.push(("dup", "1"));
        }
        tries += 1;
        let (id, _) = client.send("booking", &fields, b"2 tyres, Friday");
        match client.wait(id, left as u64 + 500) {
            Some((_, Answer::Served(_))) => break "served".to_string(),
            Some((_, Answer::Refused(cooldown))) => sleep_ms(cooldown.unwrap_or(100).min(500)),
            Some((at, answer)) if at - began < WINDOW as f64 => {
                record.line(format!("kiosk: {}, inside the window: again", answer.text()));
                sleep_ms(100);
            }
            Some((_, answer)) => break format!("{}, outside the window: not again", answer.text()),
            None => break "no answer".to_string(),
        }
    };
    sleep_ms(300);
    if !gateway.runs() {
        return Err("the gateway has ended".to_string());
    }
    let runs = store.lock().map_err(|e| e.to_string())?.runs.get(key).map_or(0, Vec::len);
    let text = format!(
        "the store ran the booking {runs} times over {tries} tries of the client; the client: {outcome}"
    );
    if runs == 0 {
        return Err(text);
    }
    Ok(Verdict { broken: runs > 1, text })
}
