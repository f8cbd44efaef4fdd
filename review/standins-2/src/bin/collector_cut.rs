//! Flows are exported over TCP to a collector. The network to the collector is cut for a while and its connection is then
//! lost, as when the collector's machine vanishes and comes back. The exported totals must match the bytes served.

use review_standins_2::case::{self, Case, Verdict};
use review_standins_2::client::{Client, Kind, Request};
use review_standins_2::platform::{Signal, free_address, start_program};
use review_standins_2::relay::Relay;
use review_standins_2::settings::Figures;
use review_standins_2::site::Site;
use review_standins_2::{now_ms, sleep_ms};
use std::fs;
use std::path::Path;
use std::process::ExitCode;

/// "the exported byte totals match the bytes served within 1%"
const TOLERANCE: f64 = 0.01;
const BEFORE_MS: f64 = 12_000.0;
const CUT_MS: f64 = 40_000.0;
const AFTER_MS: f64 = 25_000.0;

/// The value of a whole number in a JSON object on one line.
fn number(line: &str, name: &str) -> Option<u64> {
    let rest = line.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Bytes to clients in the records that the collector has read.
fn exported(folder: &Path) -> std::io::Result<u64> {
    let mut sum = 0;
    for file in fs::read_dir(folder)? {
        let text = fs::read_to_string(file?.path()).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("\"client\""));
        sum += lines.filter(|line| is_client_leg(line)).filter_map(|line| number(line, "out")).sum::<u64>();
    }
    Ok(sum)
}

fn is_client_leg(line: &str) -> bool {
    line.replace(' ', "").contains("\"leg\":\"client\"")
}

fn run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let site = Site::start("s", 8, record)?;
    let flows = case.folder.path().join("flows");
    fs::create_dir_all(&flows)?;
    let listen = free_address()?;
    let collector = start_program(
        &case.root,
        &format!("exec target/release/decklab flows collect --listen {listen} --out '{}'", flows.display()),
        &case.folder.path().join("collector.log"),
        record,
    )?;
    sleep_ms(1000.0);
    let (relay, relayed) = Relay::start("network to the collector", listen, record)?;
    let operator = format!(
        "flows {{\n  collectors {{ address: \"{relayed}\" transport: TCP }}\n  meter {{ active_ms: 5000 idle_ms: 2000 }}\n}}\n"
    );
    let setup = site.setup(&case.root, case.folder.path(), "n1", &Figures::default(), Some(operator))?;
    let mut gateway = setup.start(record)?;
    gateway.wait_ready()?;
    let mut client = Client::connect(gateway.listen, record, "client")?;
    let begin = now_ms();
    let (mut object, mut cut, mut mended) = (0u64, false, false);
    let mut sent = Vec::new();
    while now_ms() < begin + BEFORE_MS + CUT_MS + AFTER_MS {
        if case.trouble && !cut && now_ms() > begin + BEFORE_MS {
            cut = true;
            relay.cut();
        }
        if cut && !mended && now_ms() > begin + BEFORE_MS + CUT_MS {
            mended = true;
            relay.mend(true);
        }
        object += 1;
        // All classes and many caches: some dozens of flows in each interval.
        let mut request =
            Request::read(["small", "video", "booking"][object as usize % 3], object % 50 + 1, 2000);
        if request.class == "booking" {
            request.object = object;
            request.key = Some(format!("{object:032x}"));
        }
        if let Some(request) = client.send(&request) {
            sent.push(request);
        }
        sleep_ms(40.0);
    }
    sleep_ms(2500.0);
    let served = sent
        .iter()
        .filter(|one| client.answer(one.id).is_some_and(|answer| matches!(answer.kind, Kind::Served(_))))
        .count();
    let received = client.bytes_read();
    drop(client);
    gateway.signal(Signal::Term);
    let has_ended = gateway.wait_end(8000.0);
    sleep_ms(1500.0);
    let total = exported(&flows)?;
    drop(collector);
    for line in setup.log().lines().filter(|line| line.contains("collector")) {
        record.line(&format!("log of the gateway: {line}"));
    }
    let share = total as f64 / received as f64;
    record.say(&format!(
        "{served} of {} requests were served; the client read {received} bytes, the collector read records of {total} \
         bytes to clients, {:.1}% of them; the gateway ended by itself: {has_ended}",
        sent.len(),
        share * 100.0
    ));
    Ok(match served {
        0..1000 => Verdict::Unclear,
        _ if (share - 1.0).abs() <= TOLERANCE => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn main() -> ExitCode {
    case::main(run)
}
