//! Two sites; the south has two gateways. The link to one of them is cut while requests of the north run there. When the
//! north gives up on that gateway it sends the requests again by way of the other one. At no time may two attempts of one
//! request be out.

use review_standins_2::case::{self, Case, Verdict};
use review_standins_2::client::{Client, Request};
use review_standins_2::members::{Ask, Fate, Members};
use review_standins_2::platform::free_address;
use review_standins_2::relay::Relay;
use review_standins_2::settings::Figures;
use review_standins_2::site::Site;
use review_standins_2::{lock, now_ms, sleep_ms};
use std::collections::HashMap;
use std::process::ExitCode;

/// How long both ends remember a session without a connection.
const REATTACH_MS: u32 = 1000;
/// How long a cache needs for one of the large parts.
const SENDING_MS: f64 = 2500.0;
const OBJECTS: u64 = 48;
/// Until the caches hold all objects.
const WARM_MS: f64 = 8000.0;
const CUTS: usize = 7;
const CUT_MS: f64 = 4000.0;
const PERIOD_MS: f64 = 9000.0;
/// Two events closer than this may have been recorded in the wrong order.
const TOLERANCE_MS: f64 = 20.0;

/// When an attempt was over: answered, given up by QUIT, or its connection closed.
fn end_of(members: &Members, ask: &Ask) -> f64 {
    let answered = lock(&members.ends)
        .iter()
        .filter(|end| end.2 == ask.id && end.1 == ask.member)
        .map(|end| end.0)
        .fold(f64::MAX, f64::min);
    let quit = lock(&members.quits)
        .iter()
        .filter(|quit| quit.2 == ask.id && quit.1 == ask.member)
        .map(|quit| quit.0)
        .fold(f64::MAX, f64::min);
    let closed = lock(&members.closes)
        .iter()
        .filter(|close| close.1 == ask.connection)
        .map(|close| close.0)
        .fold(f64::MAX, f64::min);
    answered.min(quit).min(closed)
}

fn run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let figures = Figures::default();
    let south = Site::start("s", 24, record)?;
    let north = Site::start("n", 2, record)?;
    south
        .members
        .choose(|ask| if ask.field("lane") == "video" { Fate::Send(SENDING_MS) } else { Fate::Serve });
    let (first, second) = (free_address()?, free_address()?);
    let (relay, relayed) = Relay::start("link to south-1", first, record)?;
    let link = format!("link {{ reattach_ms: {REATTACH_MS} }}");
    let south_file = |listen| format!("sites {{\n  name: \"south\"\n  listen: \"{listen}\"\n  {link}\n}}\n");
    let north_file = format!(
        "sites {{\n  name: \"north\"\n  peers {{ site: \"south\" addresses: [\"{relayed}\", \"{second}\"] }}\n  \
         routes {{ prefix: \"f\" home: \"south\" }}\n  {link}\n}}\n"
    );
    let folder = case.folder.path();
    let setups = [
        south.setup(&case.root, folder, "south-1", &figures, Some(south_file(first)))?,
        south.setup(&case.root, folder, "south-2", &figures, Some(south_file(second)))?,
        north.setup(&case.root, folder, "north-1", &figures, Some(north_file))?,
    ];
    let [one, two, only] = &setups;
    let (one, two, only) = (one.start(record)?, two.start(record)?, only.start(record)?);
    for gateway in [&one, &two, &only] {
        gateway.wait_ready()?;
    }
    sleep_ms(3000.0);
    let mut client = Client::connect(only.listen, record, "client")?;
    let begin = now_ms();
    let mut turn = 0;
    let (mut cuts, mut is_cut) = (0, false);
    let mut sent = Vec::new();
    while now_ms() < begin + WARM_MS + PERIOD_MS * CUTS as f64 {
        let at = now_ms() - begin - WARM_MS - PERIOD_MS * cuts as f64;
        if case.trouble && !is_cut && cuts < CUTS && at > 0.0 {
            is_cut = true;
            relay.cut();
        }
        if is_cut && at > CUT_MS {
            is_cut = false;
            cuts += 1;
            relay.mend(false);
        }
        // No two open requests are for one object, so that none waits for another one.
        turn += 1;
        let object = 0xf000_0000_0000_0000 | (turn % OBJECTS);
        let request = Request { size_kb: 6.2 * SENDING_MS, ..Request::read("video", object, 5000) };
        match client.send(&request) {
            Some(request) => sent.push(request),
            None => client = Client::connect(only.listen, record, "client")?,
        }
        sleep_ms(100.0);
    }
    sleep_ms(5500.0);
    let mut by_name: HashMap<String, Vec<Ask>> = HashMap::new();
    for ask in lock(&south.members.asks).iter() {
        by_name.entry(ask.id.clone()).or_default().push(ask.clone());
    }
    let (mut double, mut longest) = (0, 0.0f64);
    for (name, asks) in &by_name {
        for pair in asks.windows(2) {
            let overlap = end_of(&south.members, &pair[0]) - pair[1].at;
            if overlap > TOLERANCE_MS {
                double += 1;
                longest = longest.max(overlap);
                record.line(&format!(
                    "{name}: an attempt at {} while one was out at {} for another {overlap:.0} ms",
                    pair[1].member, pair[0].member
                ));
            }
        }
    }
    for setup in &setups {
        let log = setup.log();
        for line in log.lines().filter(|line| line.contains("summary")) {
            record.line(&format!("log of {}: {line}", setup.name));
        }
    }
    let served = sent.iter().filter(|one| client.answer(one.id).is_some()).count();
    record.say(&format!(
        "{} requests, {served} answered; {} came to the south's caches; {double} times a second attempt of a request was \
         sent while one was out, for {longest:.0} ms at the longest",
        sent.len(),
        by_name.len()
    ));
    Ok(match (by_name.len(), double) {
        (0..60, _) => Verdict::Unclear,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn main() -> ExitCode {
    case::main(run)
}
