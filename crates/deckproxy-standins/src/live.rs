//! A control feed that runs by itself: it keeps all events, and tells each subscriber what it lacks.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Shared {
    events: Mutex<(Vec<Value>, bool)>,
    changed: Condvar,
}

/// A feed.
pub struct LiveFeed {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl LiveFeed {
    /// Starts one whose first event is the whole list.
    pub fn start(members: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let shared = Arc::<Shared>::default();
        let first = json!({"n": 1, "members": {"revision": 1, "complete": true, "members": members}});
        shared.events.lock().unwrap().0.push(first);
        let all = shared.clone();
        thread::spawn(move || {
            while !all.events.lock().unwrap().1 {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let all = all.clone();
                        thread::spawn(move || subscriber(&all, &stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        LiveFeed { address, shared }
    }

    /// Tells an event; its number is filled in.
    pub fn tell(&self, mut event: Value) {
        let mut events = self.shared.events.lock().unwrap();
        event["n"] = (events.0.len() + 1).into();
        events.0.push(event);
        drop(events);
        self.shared.changed.notify_all();
    }

    /// All events so far, as a configuration's `known` has them.
    pub fn known(&self) -> Value {
        let events = self.shared.events.lock().unwrap();
        json!({"n": events.0.len(), "events": events.0.clone()})
    }
}

impl Drop for LiveFeed {
    fn drop(&mut self) {
        self.shared.events.lock().unwrap().1 = true;
        self.shared.changed.notify_all();
    }
}

fn subscriber(all: &Shared, stream: &TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut line = String::new();
    if BufReader::new(stream).read_line(&mut line).is_err() {
        return;
    }
    let Some(mut at) = line.trim().strip_prefix("SUB ").and_then(|n| n.parse::<usize>().ok()) else { return };
    let mut beat = Instant::now() + Duration::from_secs(1);
    let mut events = all.events.lock().unwrap();
    while !events.1 {
        let mut text: String = events.0.iter().skip(at).map(|event| format!("{event}\n")).collect();
        at = events.0.len().max(at);
        if Instant::now() >= beat {
            beat += Duration::from_secs(1);
            text.push_str(&format!("{at}\n"));
        }
        if text.is_empty() {
            events = all.changed.wait_timeout(events, Duration::from_millis(100)).unwrap().0;
            continue;
        }
        drop(events);
        if (&mut &*stream).write_all(text.as_bytes()).is_err() {
            return;
        }
        events = all.events.lock().unwrap();
    }
}
