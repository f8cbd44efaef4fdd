//! A control feed that runs by itself: it keeps all events and sends each subscriber those that it lacks. Further views
//! can serve the same events at other addresses: later, changed, or not at all.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two heartbeats to a subscriber: the protocol has one each second.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// How long a subscriber's thread sleeps at most until it looks for events that have become due.
const POLL: Duration = Duration::from_millis(50);
/// How long a subscription line is waited for.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_secs(5);

/// An event and when it was published.
struct Published {
    at: Instant,
    event: Value,
}

#[derive(Default)]
struct EventLog {
    events: Vec<Published>,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    log: Mutex<EventLog>,
    /// Signalled when an event was published or the feed closed.
    changed: Condvar,
}

/// What a view sends in place of an event.
pub type EventTransform = Box<dyn Fn(&Value) -> Value + Send + Sync>;

/// How one address serves the events.
struct ViewSettings {
    transform: Option<EventTransform>,
    /// By how much events are late, ms.
    delay_ms: AtomicU64,
    /// Nothing is sent, and connections stay open.
    silent: AtomicBool,
    closed: AtomicBool,
}

/// An address at which a feed's events are served.
pub struct FeedView {
    /// Where it listens.
    pub address: SocketAddr,
    settings: Arc<ViewSettings>,
}

impl FeedView {
    fn start(shared: &Arc<Shared>, transform: Option<EventTransform>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (delay_ms, silent, closed) = Default::default();
        let settings = Arc::new(ViewSettings { transform, delay_ms, silent, closed });
        let (shared, own) = (shared.clone(), settings.clone());
        thread::spawn(move || accept_subscribers(&shared, &own, &listener));
        FeedView { address, settings }
    }

    /// From now on events are sent this much later, ms.
    pub fn set_delay(&self, ms: u64) {
        self.settings.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// From now on nothing is sent (`true`), or everything is again; connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.settings.silent.store(silent, Ordering::SeqCst);
    }
}

impl Drop for FeedView {
    fn drop(&mut self) {
        self.settings.closed.store(true, Ordering::SeqCst);
    }
}

/// A control feed.
pub struct LiveFeed {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _view: FeedView,
}

impl LiveFeed {
    /// Starts a feed whose first event is the complete member list.
    ///
    /// # Panics
    /// If it can't listen.
    pub fn start(members: &[Value]) -> Self {
        let shared = Arc::<Shared>::default();
        let first = json!({"n": 1, "members": {"revision": 1, "complete": true, "members": members}});
        shared.log.lock().unwrap().events.push(Published { at: Instant::now(), event: first });
        let view = FeedView::start(&shared, None);
        LiveFeed { address: view.address, shared, _view: view }
    }

    /// Serves the same events at another address, each one transformed.
    pub fn view(&self, transform: EventTransform) -> FeedView {
        FeedView::start(&self.shared, Some(transform))
    }

    /// Publishes an event; its number is filled in.
    ///
    /// # Panics
    /// Panics if the event is not a JSON object, or if a thread panicked while it held the lock.
    pub fn publish(&self, mut event: Value) {
        let mut log = self.shared.log.lock().unwrap();
        event["n"] = (log.events.len() + 1).into();
        log.events.push(Published { at: Instant::now(), event });
        drop(log);
        self.shared.changed.notify_all();
    }

    /// All events so far, as a configuration's `known` has them.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn known(&self) -> Value {
        let log = self.shared.log.lock().unwrap();
        let all: Vec<&Value> = log.events.iter().map(|published| &published.event).collect();
        json!({"n": all.len(), "events": all})
    }
}

impl Drop for LiveFeed {
    fn drop(&mut self) {
        self.shared.log.lock().unwrap().closed = true;
        self.shared.changed.notify_all();
    }
}

fn accept_subscribers(shared: &Arc<Shared>, settings: &Arc<ViewSettings>, listener: &TcpListener) {
    while !shared.log.lock().unwrap().closed && !settings.closed.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let (shared, settings) = (shared.clone(), settings.clone());
                thread::spawn(move || serve_subscriber(&shared, &settings, &stream));
            }
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// Reads the number of events that a subscriber has.
fn read_subscription(stream: &TcpStream) -> Option<usize> {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(SUBSCRIBE_TIMEOUT));
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.trim().strip_prefix("SUB ").and_then(|number| number.parse().ok())
}

/// Sends a subscriber events and heartbeats until it leaves or the feed closes.
fn serve_subscriber(shared: &Shared, settings: &ViewSettings, stream: &TcpStream) {
    let Some(mut sent) = read_subscription(stream) else { return };
    let mut heartbeat = Instant::now() + HEARTBEAT;
    let mut log = shared.log.lock().unwrap();
    while !log.closed && !settings.closed.load(Ordering::SeqCst) {
        let text = due_lines(&log, settings, &mut sent, &mut heartbeat);
        if text.is_empty() {
            log = shared.changed.wait_timeout(log, POLL).unwrap().0;
            continue;
        }
        drop(log);
        if (&mut &*stream).write_all(text.as_bytes()).is_err() {
            return;
        }
        log = shared.log.lock().unwrap();
    }
}

/// The lines that are due to a subscriber that was sent so many events.
fn due_lines(log: &EventLog, settings: &ViewSettings, sent: &mut usize, heartbeat: &mut Instant) -> String {
    let mut text = String::new();
    if settings.silent.load(Ordering::SeqCst) {
        return text;
    }
    let delay = Duration::from_millis(settings.delay_ms.load(Ordering::SeqCst));
    let due = log.events.iter().skip(*sent).take_while(|published| published.at.elapsed() >= delay);
    for Published { event, .. } in due {
        let changed = settings.transform.as_ref().map(|transform| transform(event));
        text.push_str(&changed.as_ref().unwrap_or(event).to_string());
        text.push('\n');
        *sent += 1;
    }
    if Instant::now() >= *heartbeat {
        *heartbeat += HEARTBEAT;
        text.push_str(&sent.to_string());
        text.push('\n');
    }
    text
}
