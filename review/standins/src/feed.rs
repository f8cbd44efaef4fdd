//! The control feed, and a relay that delays what the feed says.

use crate::run::{Record, sleep_ms};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The control feed: all events so far, from number 1.
pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
}

impl Feed {
    /// Starts with the first event.
    pub fn start(record: &Record, first: String) -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let events = Arc::new(Mutex::new(vec![first]));
        let (shared, record) = (Arc::clone(&events), record.clone());
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let (events, record) = (Arc::clone(&shared), record.clone());
                spawn(move || subscription(socket, &events, &record));
            }
        });
        Feed { address, events }
    }

    /// Adds an event, without its number: `"members":{...}` or `"purge":{...}`. Returns when it was told.
    pub fn tell(&self, record: &Record, event: &str) -> f64 {
        let mut events = self.events.lock().expect("no subscription panicked");
        let n = events.len() + 1;
        let line = format!(r#"{{"n":{n},{event}}}"#);
        events.push(line.clone());
        record.line(format!("feed: event in the feed: {line}"))
    }
}

/// Serves one connection: every event after the subscribed number, and each second the last number alone.
fn subscription(socket: TcpStream, events: &Mutex<Vec<String>>, record: &Record) {
    let _ = socket.set_nodelay(true);
    let Ok(mut output) = socket.try_clone() else { return };
    let mut line = String::new();
    if BufReader::new(socket).read_line(&mut line).is_err() {
        return;
    }
    record.line(format!("feed: a subscription: {}", line.trim_end()));
    let Some(mut sent) = line.trim_end().strip_prefix("SUB ").and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    let mut beat = Instant::now();
    loop {
        let later: Vec<String> = {
            let events = events.lock().expect("no teller panicked");
            events.iter().skip(sent).cloned().collect()
        };
        for event in later {
            sent += 1;
            if writeln!(output, "{event}").is_err() {
                return;
            }
        }
        if beat.elapsed() >= Duration::from_secs(1) {
            beat += Duration::from_secs(1);
            if writeln!(output, "{sent}").is_err() {
                return;
            }
        }
        sleep_ms(5);
    }
}

/// A relay in front of the feed: passes on at once what a gateway says, and each byte of the feed `delay` ms later.
pub fn delaying_relay(record: &Record, to: SocketAddr, delay: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let record = record.clone();
    spawn(move || {
        for gateway in listener.incoming().flatten() {
            record.line("relay: the gateway connects to the feed");
            let Ok(feed) = TcpStream::connect(to) else { continue };
            relay(gateway, feed, Duration::from_millis(delay), &record);
        }
    });
    address
}

fn relay(gateway: TcpStream, feed: TcpStream, delay: Duration, record: &Record) {
    let (Ok(mut from_gateway), Ok(mut to_feed)) = (gateway.try_clone(), feed.try_clone()) else { return };
    let (mut from_feed, mut to_gateway) = (feed, gateway);
    let _ = to_gateway.set_nodelay(true);
    let (ended, arrived) = (record.clone(), record.clone());
    spawn(move || {
        let mut chunk = [0; 4096];
        while let Ok(count) = from_gateway.read(&mut chunk) {
            if count == 0 || to_feed.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        ended.line("relay: the gateway has closed its connection to the feed");
        let _ = to_feed.shutdown(Shutdown::Both);
    });
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut chunk = [0; 4096];
        while let Ok(count) = from_feed.read(&mut chunk) {
            if count == 0 || sender.send((Instant::now() + delay, chunk[..count].to_vec())).is_err() {
                break;
            }
        }
    });
    spawn(move || {
        for (due, bytes) in receiver {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if to_gateway.write_all(&bytes).is_err() {
                return;
            }
            let text = String::from_utf8_lossy(&bytes).trim_end().replace('\n', " | ");
            arrived.line(format!("relay: passed on to the gateway: {text}"));
        }
    });
}

/// A relay on the link between two sites, which can be cut: connections break, and no new one comes up.
pub struct CutRelay {
    pub address: SocketAddr,
    is_cut: Arc<Mutex<bool>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl CutRelay {
    pub fn start(record: &Record, to: SocketAddr) -> CutRelay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let is_cut = Arc::new(Mutex::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (cut, streams) = (Arc::clone(&is_cut), Arc::clone(&open));
        spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.lock().expect("nobody panicked");
                let far = TcpStream::connect(to);
                let (false, Ok(far)) = (*cut, far) else { continue };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let _ = to.set_nodelay(true);
                    spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Both);
                        let _ = from.shutdown(Shutdown::Both);
                    });
                }
                streams.lock().expect("nobody panicked").extend([near, far]);
            }
        });
        CutRelay { address, is_cut, open, record: record.clone() }
    }

    /// Cuts the link, or restores it.
    pub fn cut(&self, is_cut: bool) {
        *self.is_cut.lock().expect("nobody panicked") = is_cut;
        self.record.line(format!("relay: the link is cut: {is_cut}"));
        if is_cut {
            for stream in self.open.lock().expect("nobody panicked").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}
