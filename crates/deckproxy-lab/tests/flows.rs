//! `decklab flows` as an operator runs it: a collector that survives any input, exact sums, filters.

use deckproxy_flow::codec::Version;
use deckproxy_flow::codec::elements::EXAMPLE_ENTERPRISE;
use deckproxy_flow::export::{Effect, Exporter, Settings, Transport};
use deckproxy_flow::meter::{Key, Leg, Limits, Meter, Outcome, Update};
use deckproxy_standins::{free_address, until};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

struct Collect {
    child: Child,
    at: SocketAddr,
    folder: PathBuf,
}

impl Collect {
    fn start() -> Self {
        let at = free_address();
        let folder = std::env::temp_dir().join(format!("decklab-flows-{}-{}", std::process::id(), at.port()));
        let child = Command::new(env!("CARGO_BIN_EXE_decklab"))
            .args(["flows", "collect", "--listen", &at.to_string(), "--out"])
            .arg(&folder)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        until("it listens", || TcpStream::connect(at).is_ok());
        Collect { child, at, folder }
    }

    fn top(&self, options: &[&str]) -> Output {
        run(&["flows", "top"], &self.folder, options)
    }

    /// The rows of a sum as CSV: key, bytes out, requests.
    fn rows(&self, options: &[&str]) -> Vec<(String, u64, u64)> {
        let output = self.top(&[options, &["--csv"]].concat());
        let text = String::from_utf8(output.stdout).unwrap();
        let cells = |line: &str| {
            let all: Vec<&str> = line.split(',').collect();
            (all[0].to_string(), all[1].parse().unwrap(), all[4].parse().unwrap())
        };
        text.lines().skip(1).map(cells).collect()
    }
}

impl Drop for Collect {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn run(first: &[&str], folder: &Path, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_decklab"));
    command.args(first).arg(folder).args(options).output().unwrap()
}

/// The messages that export some flows: of clients in two networks and two classes, of a member, of a link.
fn messages(version: Version) -> Vec<bytes::Bytes> {
    let mut meter = Meter::new(Limits::default());
    for n in 1..=40u8 {
        let address = IpAddr::from([10, n % 2, 0, n]);
        let key = Key {
            client: Some(meter.client(address)),
            class: 1 + u32::from(n % 4 == 0),
            outcome: Some(Outcome::Served),
            ..Key::of(Leg::Client)
        };
        let update = Update {
            bytes_to_client: 1000 * u64::from(n),
            bytes_from_client: 9,
            requests: 2,
            latency: Some(1500),
        };
        meter.count(1_764_576_000_000 + u64::from(n) * 1000, key, &update);
    }
    let more = Update { bytes_to_client: 5, bytes_from_client: 6, requests: 0, latency: None };
    meter.count(1_764_576_000_000, Key { member: 3, ..Key::of(Leg::Member) }, &more);
    meter.count(1_764_576_000_000, Key { site: 4, ..Key::of(Leg::Link) }, &more);
    let settings = Settings {
        version,
        domain: 3,
        enterprise: EXAMPLE_ENTERPRISE,
        max_message: 1400,
        message_rate: 0,
        template_interval: 60_000,
        spool_size: 1 << 20,
        max_in_flight: 1 << 20,
        stall_timeout: 1000,
        replicate: false,
    };
    let mut exporter = Exporter::new(settings, &[Transport::Tcp], 0, 0);
    meter.take_all().into_iter().for_each(|f| exporter.push(f));
    let name = |n: u32| ["", "page", "video", "s-00c41f7a", "south"][n as usize];
    exporter.poll(0, 1, &name);
    exporter.connected(0, 0);
    while exporter.poll(1, 100, &name) {}
    std::iter::from_fn(|| exporter.next_effect())
        .filter_map(|effect| if let Effect::Send { message, .. } = effect { Some(message) } else { None })
        .collect()
}

#[test]
fn exported_flows_are_stored_summed_filtered_and_drawn() {
    let collect = Collect::start();
    let mut stream = TcpStream::connect(collect.at).unwrap();
    // In pieces that end anywhere.
    let all: Vec<u8> = messages(Version::Ipfix).concat();
    for piece in all.chunks(777) {
        stream.write_all(piece).unwrap();
    }
    until("all is stored", || collect.rows(&["--by", "class"]).iter().map(|r| r.2).sum::<u64>() == 80);
    assert_eq!(
        collect.rows(&["--by", "class"]),
        [("page".to_string(), 600_000, 60), ("video".to_string(), 220_000, 20)]
    );
    let odd = collect.rows(&["--by", "client", "--where", "client in 10.1.0.0/16 and out >= 37kB"]);
    assert_eq!(odd, [("10.1.0.39/32".to_string(), 39_000, 2), ("10.1.0.37/32".to_string(), 37_000, 2)]);
    assert_eq!(collect.rows(&["--by", "box"]), [("s-00c41f7a".to_string(), 5, 0)]);
    assert_eq!(collect.rows(&["--by", "link"]), [("south".to_string(), 5, 0)]);
    let late =
        collect.rows(&["--by", "class", "--from", "2025-12-01T08:00:39Z", "--to", "2025-12-01T08:00:41Z"]);
    assert_eq!(late, [("video".to_string(), 40_000, 2), ("page".to_string(), 39_000, 2)]);
    let picture = collect.folder.join("top.svg");
    assert!(collect.top(&["--by", "class", "--svg", picture.to_str().unwrap()]).status.success());
    let svg = std::fs::read_to_string(picture).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("video") && svg.matches("<polygon").count() >= 2);
    let followed =
        run(&["flows", "follow"], &collect.folder, &["--all", "--seconds", "0", "--where", "class = video"]);
    assert_eq!(String::from_utf8(followed.stdout).unwrap().lines().count(), 10);
}

#[test]
fn netflow_v9_over_udp_is_stored() {
    let collect = Collect::start();
    let socket = UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    for message in messages(Version::NetflowV9) {
        socket.send_to(&message, collect.at).unwrap();
    }
    until("all is stored", || collect.rows(&["--by", "class"]).iter().map(|r| r.2).sum::<u64>() == 80);
    assert_eq!(collect.rows(&["--by", "box"]), [("s-00c41f7a".to_string(), 5, 0)]);
}

#[test]
fn hostile_input_ends_only_its_own_connection() {
    let collect = Collect::start();
    let good = messages(Version::Ipfix);
    let udp = UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    // Not the protocol, a length that is none, sets of any length, a template of 65,535 fields, and each message of
    // the good ones with each byte inverted in its turn.
    let mut bad: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0, 10, 0, 3, 0, 0, 0, 0],
        vec![0xff; 4096],
        [
            &[0, 10, 0, 28, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 1][..],
            &[0, 2, 0, 12, 1, 0, 0xff, 0xff, 0, 8, 0, 4],
        ]
        .concat(),
        [&[0, 10, 0, 20, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 1][..], &[1, 0, 0xff, 0xff]].concat(),
    ];
    bad.extend((0..good[0].len()).map(|at| {
        let mut inverted = good[0].to_vec();
        inverted[at] ^= 0xff;
        inverted
    }));
    for message in &bad {
        let _ = udp.send_to(message, collect.at);
    }
    for message in bad.iter().take(5) {
        let mut stream = TcpStream::connect(collect.at).unwrap();
        stream.write_all(message).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        stream.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
        // The collector closes it; with unread bytes left, by a reset.
        assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)));
    }
    let mut stream = TcpStream::connect(collect.at).unwrap();
    stream.write_all(&good.concat()).unwrap();
    let is_complete = || {
        collect.rows(&["--by", "class", "--where", "domain = 3"]).iter().any(|r| r.0 == "page" && r.2 >= 60)
    };
    until("the good ones are stored", is_complete);
}

/// An inverted byte made counters of near 2^64, and the sum of two of them ended `top`.
#[test]
fn counters_of_any_size_are_summed() {
    let folder = std::env::temp_dir().join(format!("decklab-flows-{}-large", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let most = u64::MAX;
    let line = format!(
        "{{\"leg\":\"client\",\"class\":\"page\",\"out\":{most},\"back\":{most},\"requests\":{most},\"folded\":1}}\n"
    );
    let other = line.replace("page", "video");
    let lost = format!("{{\"leg\":\"loss\",\"lost\":{most},\"lost_bytes\":{most}}}\n");
    let text = [line.as_str(), &line, &other, &lost, &lost].concat();
    std::fs::write(folder.join("flows-00000001.jsonl"), text).unwrap();
    let output = run(&["flows", "top"], &folder, &["--by", "class", "--csv"]);
    let rows = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success() && rows.lines().count() == 3, "{rows}{:?}", output.stderr);
    assert!(rows.lines().skip(1).all(|row| row.split(',').nth(1) == Some(&most.to_string())), "{rows}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn invalid_lines_filters_and_folders_are_reported_with_their_place() {
    let folder = std::env::temp_dir().join(format!("decklab-flows-{}-bad", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("flows-00000001.jsonl"), "{\"leg\":\"client\",\"out\":7}\nnonsense\n{\"leg\"")
        .unwrap();
    let output = run(&["flows", "top"], &folder, &["--by", "class", "--csv"]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        output.status.success()
            && stderr.contains(".jsonl:2: not a record")
            && stderr.contains("2 lines are not records")
    );
    assert!(String::from_utf8(output.stdout).unwrap().contains("(none),7,100.0"));
    let output = run(&["flows", "top"], &folder, &["--where", "class = page or"]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.code() == Some(2) && stderr.contains("column 16: expected a field"), "{stderr}");
    let output = run(&["flows", "top"], &folder.join("nowhere"), &[]);
    assert!(
        output.status.code() == Some(2) && String::from_utf8(output.stderr).unwrap().contains("nowhere: ")
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
