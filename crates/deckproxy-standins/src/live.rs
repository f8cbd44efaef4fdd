//! A control feed that runs by itself: it keeps all events, and tells each subscriber what it lacks. Others may show the
//! same events at an address of their own, later, with something changed, or not at all.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Shared {
    /// Each event with when it happened, and whether all is over.
    events: Mutex<(Vec<(Instant, Value)>, bool)>,
    changed: Condvar,
}

/// What is shown in place of an event.
pub type Change = Box<dyn Fn(&Value) -> Value + Send + Sync>;

/// How one address shows the events.
struct Face {
    change: Option<Change>,
    /// Milliseconds by which events are late.
    late: AtomicU64,
    /// Nothing is told, connections stay open.
    silent: AtomicBool,
    closed: AtomicBool,
}

/// An address at which a feed's events are shown.
pub struct View {
    pub address: SocketAddr,
    face: Arc<Face>,
}

impl View {
    fn start(shared: &Arc<Shared>, change: Option<Change>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (late, silent, closed) = Default::default();
        let face = Arc::new(Face { change, late, silent, closed });
        let (all, own) = (shared.clone(), face.clone());
        thread::spawn(move || {
            while !all.events.lock().unwrap().1 && !own.closed.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (all, own) = (all.clone(), own.clone());
                        thread::spawn(move || subscriber(&all, &own, &stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        View { address, face }
    }

    /// From now on events come so much later.
    pub fn late(&self, ms: u64) {
        self.face.late.store(ms, Ordering::SeqCst);
    }

    /// From now on nothing is told, or all is again.
    pub fn silent(&self, silent: bool) {
        self.face.silent.store(silent, Ordering::SeqCst);
    }
}

impl Drop for View {
    fn drop(&mut self) {
        self.face.closed.store(true, Ordering::SeqCst);
    }
}

/// A feed.
pub struct LiveFeed {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _own: View,
}

impl LiveFeed {
    /// Starts one whose first event is the whole list.
    pub fn start(members: &[Value]) -> Self {
        let shared = Arc::<Shared>::default();
        let first = json!({"n": 1, "members": {"revision": 1, "complete": true, "members": members}});
        shared.events.lock().unwrap().0.push((Instant::now(), first));
        let own = View::start(&shared, None);
        LiveFeed { address: own.address, shared, _own: own }
    }

    /// Shows the same events at another address, with something changed in each.
    pub fn view(&self, change: Change) -> View {
        View::start(&self.shared, Some(change))
    }

    /// Tells an event; its number is filled in.
    pub fn tell(&self, mut event: Value) {
        let mut events = self.shared.events.lock().unwrap();
        event["n"] = (events.0.len() + 1).into();
        events.0.push((Instant::now(), event));
        drop(events);
        self.shared.changed.notify_all();
    }

    /// All events so far, as a configuration's `known` has them.
    pub fn known(&self) -> Value {
        let events = self.shared.events.lock().unwrap();
        let all: Vec<&Value> = events.0.iter().map(|(_, event)| event).collect();
        json!({"n": all.len(), "events": all})
    }
}

impl Drop for LiveFeed {
    fn drop(&mut self) {
        self.shared.events.lock().unwrap().1 = true;
        self.shared.changed.notify_all();
    }
}

fn subscriber(all: &Shared, face: &Face, stream: &TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut line = String::new();
    if BufReader::new(stream).read_line(&mut line).is_err() {
        return;
    }
    let Some(mut at) = line.trim().strip_prefix("SUB ").and_then(|n| n.parse::<usize>().ok()) else { return };
    let mut beat = Instant::now() + Duration::from_secs(1);
    let mut events = all.events.lock().unwrap();
    while !events.1 && !face.closed.load(Ordering::SeqCst) {
        let late = Duration::from_millis(face.late.load(Ordering::SeqCst));
        let told = events.0.iter().skip(at).take_while(|(since, _)| since.elapsed() >= late);
        let mut text = String::new();
        if !face.silent.load(Ordering::SeqCst) {
            let mut n = 0;
            for (_, event) in told {
                let shown = face.change.as_ref().map(|change| change(event));
                text.push_str(&format!("{}\n", shown.as_ref().unwrap_or(event)));
                n += 1;
            }
            at += n;
            if Instant::now() >= beat {
                beat += Duration::from_secs(1);
                text.push_str(&format!("{at}\n"));
            }
        }
        if text.is_empty() {
            events = all.changed.wait_timeout(events, Duration::from_millis(50)).unwrap().0;
            continue;
        }
        drop(events);
        if (&mut &*stream).write_all(text.as_bytes()).is_err() {
            return;
        }
        events = all.events.lock().unwrap();
    }
}
