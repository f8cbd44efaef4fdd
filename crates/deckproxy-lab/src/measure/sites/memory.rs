//! Memory of the requesting side's gateway with many crossing requests open.

use crate::measure::show;
use crate::output::print_line;
use crate::traffic;
use bytes::BytesMut;
use deckproxy::protocol::link;
use deckproxy_sites::frame::{Heartbeat, Hello, Payload, VERSION};
use deckproxy_standins::record::Record;
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Client, Gateway, free_address, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Connections of clients.
const CLIENTS: usize = 320;
/// Numbers of open requests at which memory is read.
const OPEN_REQUESTS: [usize; 2] = [1000, 10_000];

/// Runs the measurement.
pub fn run() {
    print_line!(
        "\nMemory of the near gateway with crossing requests open (for a far end that never answers)"
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let address = free_address();
    let gateway = start_gateway(&site, address, silent_peer());
    let idle_kb = resident_kb(&gateway);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(address)).collect();
    thread::sleep(Duration::from_millis(200));
    let mut rows = vec![vec!["0".into(), idle_kb.to_string(), String::new()]];
    let mut open = 0;
    for goal in OPEN_REQUESTS {
        while open < goal {
            let object = format!("{:016x}", traffic::object(1, open));
            clients[open % CLIENTS].send_request("page", &[("lookup", &object), ("allow", "25000")], b"");
            open += 1;
        }
        thread::sleep(Duration::from_millis(500));
        let kb = resident_kb(&gateway);
        let each = kb.saturating_sub(idle_kb) as f64 / goal as f64;
        rows.push(vec![goal.to_string(), kb.to_string(), format!("{each:.2}")]);
    }
    show(&["open", "resident KB", "KB each"], &rows);
}

fn start_gateway(site: &Site, address: SocketAddr, peer: SocketAddr) -> Gateway {
    let mut config = site.config("north", address);
    config["limits"]["sockets"] = 4096.into();
    for service in config["settings"]["services"].as_array_mut().into_iter().flatten() {
        service["deadlineMs"] = 30_000.into();
    }
    let operator_file = format!(
        "sites {{ name: \"north\" peers {{ site: \"south\" addresses: \"{peer}\" }} routes {{ prefix: \"1\" home: \"south\" }} \
         link {{ ramp_ms: 0 }} }}"
    );
    let gateway = site.gateway_with_config(&config, "north", address, Some(&operator_file));
    until("the link is up", || gateway.log().contains("link to south (0): up"));
    gateway
}

/// Resident memory of a gateway's process, KB.
fn resident_kb(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// A serving side that says hello and answers heartbeats, and nothing else.
fn silent_peer() -> SocketAddr {
    let listener = TcpListener::bind(free_address()).expect("a free address");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || keep_link_up(stream));
        }
    });
    address
}

fn keep_link_up(mut stream: TcpStream) {
    let (mut buffer, mut chunk) = (BytesMut::new(), vec![0; 64 * 1024]);
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        buffer.extend_from_slice(&chunk[..n]);
        while let Ok(Some(frame)) = link::Decoder.next(&mut buffer) {
            if let Some(reply) = frame.payload.and_then(reply) {
                let _ = stream.write_all(&link::encode_frame(&reply.into()));
            }
        }
    }
}

fn reply(message: Payload) -> Option<Payload> {
    match message {
        Payload::Hello(hello) => Some(Payload::Hello(Hello {
            version: VERSION,
            site: hello.peer_site.clone(),
            peer_site: hello.site.clone(),
            epoch: 7,
            credit_window: 65_536,
            resume_timeout: 5000,
            ..hello
        })),
        Payload::Ping(heartbeat) => {
            Some(Payload::Pong(Heartbeat { sequence: heartbeat.sequence, ..Heartbeat::default() }))
        }
        _ => None,
    }
}
