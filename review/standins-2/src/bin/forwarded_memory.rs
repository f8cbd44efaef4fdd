//! Two sites. Clients send many writes at once to a gateway of the north, for objects whose home is the south. The platform
//! kills the gateway once it is over its limit on memory.

use review_standins_2::burst;
use review_standins_2::case::{self, Case, Verdict};
use review_standins_2::client::{Client, Request};
use review_standins_2::memory::MemoryLimit;
use review_standins_2::platform::free_address;
use review_standins_2::settings::Figures;
use review_standins_2::site::Site;
use review_standins_2::{lock, now_ms, sleep_ms};
use std::process::ExitCode;

/// "between 32 and 192 MB depending on language and day"
const MEMORY_MB: u32 = 64;
/// "a write carries up to 48,000"
const BODY_BYTES: usize = 48_000;
/// "Up to 32 requests may be open on one connection"
const BURST_REQUESTS: u32 = 32;
const BURST_CLIENTS: usize = 100;
const BURSTS: usize = 3;
const PERIOD_MS: f64 = 8000.0;
/// Objects whose home is the south.
const SOUTH: u64 = 0xf000_0000_0000_0000;

/// A write of the south.
fn write(number: u64, body_bytes: usize) -> Request {
    Request {
        key: Some(format!("{:032x}", u128::from(number) << 64 | u128::from(now_ms() as u64))),
        body: vec![7; body_bytes],
        ..Request::read("booking", SOUTH | number, 3000)
    }
}

fn run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let figures = Figures::default();
    let south = Site::start("s", 4, record)?;
    let north = Site::start("n", 4, record)?;
    let link = free_address()?;
    let south_file = format!("sites {{\n  name: \"south\"\n  listen: \"{link}\"\n}}\n");
    let north_file = format!(
        "sites {{\n  name: \"north\"\n  peers {{ site: \"south\" addresses: [\"{link}\"] }}\n  \
         routes {{ prefix: \"f\" home: \"south\" }}\n}}\n"
    );
    let folder = case.folder.path();
    let mut setups = [
        south.setup(&case.root, folder, "south-1", &figures, Some(south_file))?,
        north.setup(&case.root, folder, "north-1", &figures, Some(north_file))?,
    ];
    for setup in &mut setups {
        setup.memory_mb = MEMORY_MB;
    }
    let (mut one, mut two) = (setups[0].start(record)?, setups[1].start(record)?);
    for gateway in [&one, &two] {
        gateway.wait_ready()?;
    }
    let limits = [&one, &two].map(|gateway| MemoryLimit::watch(gateway, MEMORY_MB, record));
    sleep_ms(2000.0);
    let begin = now_ms();
    let (mut bursts, mut turn) = (0, 0u64);
    let mut client = Client::connect(two.listen, record, "client")?;
    let mut open = Vec::new();
    let mut threads = Vec::new();
    while now_ms() < begin + PERIOD_MS * (BURSTS + 1) as f64 && one.is_running() && two.is_running() {
        if case.trouble && bursts < BURSTS && now_ms() > begin + PERIOD_MS * (bursts as f64 + 0.5) {
            record.line(&format!("{BURST_CLIENTS} clients send {BURST_REQUESTS} writes each at once"));
            let base = 100_000 * (1 + bursts as u64);
            let request = move |client: u64, id: u32| {
                write(base + client * u64::from(BURST_REQUESTS) + u64::from(id), BODY_BYTES)
            };
            threads.extend(burst::start(two.listen, BURST_CLIENTS, BURST_REQUESTS, 5000.0, request));
            bursts += 1;
        }
        // The usual load: 20 requests a second for objects of the south, one in four a write.
        turn += 1;
        let request = if turn.is_multiple_of(4) {
            write(turn, 200)
        } else {
            Request::read("small", SOUTH | turn % 60, 2000)
        };
        match client.send(&request) {
            Some(request) => open.push(request),
            None if two.is_running() => client = Client::connect(two.listen, record, "client")?,
            None => {}
        }
        sleep_ms(50.0);
    }
    sleep_ms(1000.0);
    let answered = open.iter().filter(|request| client.answer(request.id).is_some()).count();
    let read: usize = threads.into_iter().map(|one| one.join().unwrap_or_default().bytes_read).sum();
    let running = one.is_running() && two.is_running();
    let [south_seen, north_seen] = limits.each_ref().map(MemoryLimit::seen);
    for setup in &setups {
        for line in setup.log().lines().filter(|line| line.contains("summary") || line.contains("WARN")) {
            record.line(&format!("log of {}: {line}", setup.name));
        }
    }
    record.say(&format!(
        "{} usual requests, {answered} answered; {bursts} bursts, whose clients read {read} bytes; {} writes ran; memory of the \
         north's gateway at most {} KB, of the south's {} KB, of {} KB; killed for it: {} and {}; both still running: \
         {running}",
        open.len(),
        lock(&south.members.runs).len(),
        north_seen.peak_bytes / 1024,
        south_seen.peak_bytes / 1024,
        u64::from(MEMORY_MB) * 1024,
        north_seen.killed,
        south_seen.killed
    ));
    let looks = north_seen.looks.min(south_seen.looks);
    Ok(match (looks, answered) {
        _ if north_seen.killed || south_seen.killed || !running => Verdict::Broken,
        (0..100, _) | (_, 0..100) => Verdict::Unclear,
        _ => Verdict::Held,
    })
}

fn main() -> ExitCode {
    case::main(run)
}
