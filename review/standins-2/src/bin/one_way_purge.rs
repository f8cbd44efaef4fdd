//! Two sites, south and north; the north's clients request objects of the south over a link that the north opens. A purge
//! of the south's object is reported to the north alone while the link is cut.

use review_standins_2::case::{self, Case, Verdict};
use review_standins_2::client::{Client, Kind, Request};
use review_standins_2::members::{is_body_of, issued_of};
use review_standins_2::platform::free_address;
use review_standins_2::relay::Relay;
use review_standins_2::settings::Figures;
use review_standins_2::site::Site;
use review_standins_2::{lock, now_ms, sleep_ms, sleep_until};
use std::process::ExitCode;

/// Objects that begin with f are kept in the south.
const OBJECT: u64 = 0xf000_0000_0000_0017;
/// "no stale answers more than 1 s after the purge"
const GRACE_MS: f64 = 1000.0;
/// "every time limit is 50 ms longer"
const SLACK_MS: f64 = 50.0;
/// The cut begins so many ms before the purge and lasts until this many ms after it.
const CUT_BEFORE_MS: f64 = 100.0;
const CUT_AFTER_MS: f64 = 8000.0;

fn run(case: &Case) -> std::io::Result<Verdict> {
    let record = &case.record;
    let figures = Figures::default();
    let south = Site::start("s", 3, record)?;
    let north = Site::start("n", 3, record)?;
    let link = free_address()?;
    let (relay, relayed) = Relay::start("link", link, record)?;
    let south_file = format!("sites {{\n  name: \"south\"\n  listen: \"{link}\"\n}}\n");
    let north_file = format!(
        "sites {{\n  name: \"north\"\n  peers {{ site: \"south\" addresses: [\"{relayed}\"] connections: 2 }}\n  \
         routes {{ prefix: \"f\" home: \"south\" }}\n}}\n"
    );
    let folder = case.folder.path();
    let south_gateway =
        south.setup(&case.root, folder, "south-1", &figures, Some(south_file))?.start(record)?;
    let north_gateway =
        north.setup(&case.root, folder, "north-1", &figures, Some(north_file))?.start(record)?;
    south_gateway.wait_ready()?;
    north_gateway.wait_ready()?;
    sleep_ms(1500.0);
    let mut southern = Client::connect(south_gateway.listen, record, "south client")?;
    let mut northern = Client::connect(north_gateway.listen, record, "north client")?;
    let request = Request::read("video", OBJECT, 2000);
    // The object is in the south's cache, and the link serves the north.
    let mut crossed = false;
    for _ in 0..5 {
        let Some(sent) = southern.send(&request) else { break };
        southern.wait(sent.id, now_ms() + 2500.0);
        let Some(sent) = northern.send(&request) else { break };
        let answer = northern.wait(sent.id, now_ms() + 2500.0);
        crossed = answer.is_some_and(|answer| matches!(answer.kind, Kind::Served(_)));
    }
    if !crossed {
        record.say("the link serves nothing");
        return Ok(Verdict::Unclear);
    }
    let purged_at = (now_ms() + 2000.0).floor();
    sleep_until(purged_at - CUT_BEFORE_MS);
    if case.trouble {
        relay.cut();
    }
    sleep_until(purged_at);
    let object = format!("{OBJECT:016x}");
    // Both sites' caches hear of the purge by themselves, and drop their copies within 6 s.
    lock(&south.members.world).purge(&object, purged_at);
    lock(&north.members.world).purge(&object, purged_at);
    north.feed.tell_purge(&object, purged_at);
    let (mut served, mut stale, mut unanswered) = (0, 0, 0);
    let mut sent = Vec::new();
    while now_ms() < purged_at + CUT_AFTER_MS {
        match southern.send(&request) {
            Some(request) => sent.push(request),
            None => southern = Client::connect(south_gateway.listen, record, "south client")?,
        }
        sleep_ms(100.0);
    }
    relay.mend(false);
    sleep_ms(2500.0);
    for one in sent.iter().filter(|one| one.sent_at > purged_at + GRACE_MS + SLACK_MS) {
        match southern.answer(one.id) {
            Some(answer) => {
                if let Kind::Served(body) = &answer.kind {
                    served += 1;
                    let issued = issued_of(body).filter(|_| is_body_of(body, OBJECT));
                    if issued.is_none_or(|issued| issued < purged_at) {
                        stale += 1;
                        record.line(&format!(
                            "request {} was sent {:.0} ms after the purge, its copy is {:.0} ms older than the purge",
                            one.id,
                            one.sent_at - purged_at,
                            purged_at - issued.unwrap_or_default()
                        ));
                    }
                }
            }
            None => unanswered += 1,
        }
    }
    record.say(&format!(
        "later than 1 s after the purge the south's clients were served {served} times, {stale} of them from a copy \
         older than the purge; {unanswered} had no answer"
    ));
    Ok(match (served, stale) {
        (0..20, _) => Verdict::Unclear,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

fn main() -> ExitCode {
    case::main(run)
}
