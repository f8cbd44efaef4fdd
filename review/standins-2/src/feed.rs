//! The control feed: numbered events, a line each, and each second a line with the last number.

use crate::members::Member;
use crate::record::Record;
use crate::{lock, now_ms, sleep_ms};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How the feed writes an event: in so many pieces, with a pause in ms between two of them.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub pieces: usize,
    pub pause_ms: f64,
}

/// The feed of one site.
pub struct Feed {
    events: Mutex<Vec<String>>,
    pace: Mutex<Option<Pace>>,
    record: Record,
}

/// An entry of the list.
pub fn entry(member: &Member, phase: &str, up_since_ms: f64) -> String {
    format!(
        "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":0,\"phase\":\"{phase}\",\
         \"size\":{},\"up_since_ms\":{up_since_ms:.0}}}",
        member.id, member.address, member.zone, member.kind, member.size
    )
}

impl Feed {
    /// A feed whose first event is the whole list; returns it with its address.
    pub fn start(members: &[Member], record: &Record) -> std::io::Result<(Arc<Feed>, SocketAddr)> {
        let feed =
            Arc::new(Feed { events: Mutex::default(), pace: Mutex::default(), record: record.clone() });
        let entries: Vec<String> = members.iter().map(|member| entry(member, "Ready", 0.0)).collect();
        feed.tell(&format!(
            "\"members\":{{\"revision\":1,\"complete\":true,\"members\":[{}]}}",
            entries.join(",")
        ));
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let own = Arc::clone(&feed);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                std::thread::spawn(move || own.serve(stream));
            }
        });
        Ok((feed, address))
    }

    /// Adds an event, given without its number. Returns the Unix ms.
    pub fn tell(&self, event: &str) -> f64 {
        let mut events = lock(&self.events);
        let number = events.len() + 1;
        events.push(format!("{{\"n\":{number},{event}}}"));
        self.record.line(&format!("feed event {}", events[number - 1]));
        now_ms()
    }

    /// Adds changed entries of the list. Returns the Unix ms.
    pub fn tell_members(&self, entries: &[String]) -> f64 {
        let revision = lock(&self.events).len() + 1;
        self.tell(&format!(
            "\"members\":{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}",
            entries.join(",")
        ))
    }

    /// Sets how events are written from now on.
    pub fn set_pace(&self, pace: Option<Pace>) {
        *lock(&self.pace) = pace;
    }

    /// The events so far, as the configuration's `known`.
    pub fn known(&self) -> String {
        let events = lock(&self.events);
        format!("{{\"n\":{},\"events\":[{}]}}", events.len(), events.join(","))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut line = String::new();
        if BufReader::new(reader).read_line(&mut line).is_err() {
            return;
        }
        self.record.line(&format!("feed got {}", line.trim_end()));
        let Some(mut last) = line.trim_end().strip_prefix("SUB ").and_then(|n| n.parse::<usize>().ok())
        else {
            return;
        };
        let mut next_beat = now_ms() + 1000.0;
        loop {
            let event = lock(&self.events).get(last).cloned();
            if let Some(event) = event {
                if self.write(&stream, &format!("{event}\n")).is_err() {
                    return self.record.line("feed: the gateway closed a connection");
                }
                last += 1;
                self.record.line(&format!("feed wrote event {last} whole"));
            } else if now_ms() >= next_beat {
                next_beat = now_ms() + 1000.0;
                if (&stream).write_all(format!("{last}\n").as_bytes()).is_err() {
                    return;
                }
            } else {
                sleep_ms(5.0);
            }
        }
    }

    fn write(&self, mut stream: &TcpStream, line: &str) -> std::io::Result<()> {
        let pace = *lock(&self.pace);
        let Some(Pace { pieces, pause_ms }) = pace else { return stream.write_all(line.as_bytes()) };
        let size = line.len().div_ceil(pieces);
        for (at, piece) in line.as_bytes().chunks(size).enumerate() {
            if at > 0 {
                sleep_ms(pause_ms);
            }
            stream.write_all(piece)?;
            self.record.line(&format!("feed wrote piece {} of {pieces}", at + 1));
        }
        Ok(())
    }
}
