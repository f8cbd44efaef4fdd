//! The rule on purges between sites: after a quiet time a purge is reported on one side only; the link is up throughout.

use crate::cache::Origin;
use crate::client::{Answer, Client, fresh_ref};
use crate::purge_link::{OBJECT, site};
use crate::run::{free_address, sleep_ms};
use crate::{Case, Verdict};

/// After a purge all older copies are dropped within this time, by the site file (`purge_done_s`); it is set as
/// `copy_life_ms`, ms.
const COPY_LIFE: u64 = 6000;
/// Time without a purge before the one that is tested, with the disruption and without, ms.
const QUIET: u64 = 16_000;
const NOT_QUIET: u64 = 2000;
/// "no stale answers more than 1 s after the purge" (GROWTH.md), and the 50 ms by which limits are longer on sockets.
const GRACE: f64 = 1050.0;
/// How long answers are watched after the purge, ms.
const WATCHED: f64 = 5000.0;

pub fn run(case: &Case) -> Result<Verdict, String> {
    let record = &case.record;
    let origin = Origin::default();
    let links = free_address();
    // The south forwards nothing: `name` and `listen` are all that it needs (the operators' manual on sites).
    let trust = format!("  trust {{ copy_life_ms: {COPY_LIFE} }}\n");
    let south = format!("sites {{\n  name: \"south\"\n  listen: \"{links}\"\n{trust}}}\n");
    let north = format!(
        "sites {{\n  name: \"north\"\n  peers {{ site: \"south\" addresses: [\"{links}\"] }}\n  \
         routes {{ prefix: \"f\" home: \"south\" }}\n{trust}}}\n"
    );
    let mut south = site(case, "south", &origin, south)?;
    let mut north = site(case, "north", &origin, north)?;
    let mut kiosk = Client::connect(record, "south-kiosk", south.listen)?;
    kiosk.expect_ready()?;
    let mut branch = Client::connect(record, "north-kiosk", north.listen)?;
    branch.expect_ready()?;
    sleep_ms(1500);

    let ask = |client: &mut Client| {
        let name = fresh_ref();
        let fields = [
            ("ref", name.as_str()),
            ("allow", "2000"),
            ("lookup", OBJECT),
            ("seg", "0"),
            ("bucket", "17"),
            ("room", "100"),
        ];
        let (id, _) = client.send("video", &fields, b"");
        matches!(client.wait(id, 2500), Some((_, Answer::Served(_))))
    };
    // The link is in use on both clients' behalf all the time: only purges are missing.
    let quiet = if case.trouble { QUIET } else { NOT_QUIET } as f64;
    let began = record.now();
    let mut told = None;
    let (mut served, mut crossed) = (0, 0);
    loop {
        let now = record.now();
        if told.is_none() && now - began > quiet {
            let at = origin.change(OBJECT);
            let event = format!(r#""purge":{{"key":"{OBJECT}","at":{at:.0}}}"#);
            told = Some(north.feed.tell(record, &event));
        }
        if told.is_some_and(|at| now - at > WATCHED) {
            break;
        }
        served += usize::from(ask(&mut kiosk));
        crossed += usize::from(ask(&mut branch));
        sleep_ms(80);
    }
    let told = told.ok_or("no purge was told")?;
    if !south.gateway.runs() || !north.gateway.runs() {
        return Err("a gateway has ended".to_string());
    }
    if crossed == 0 {
        return Err("no request of the north crossed the link".to_string());
    }
    let asks = south.cache.asks();
    let late: Vec<_> = asks.iter().filter(|ask| ask.at > told + GRACE).collect();
    let is_old = |body: Vec<u8>| body == Origin::body(OBJECT, 1);
    let stale = late.iter().filter(|ask| south.cache.answer_to(&ask.id, ask.at).is_some_and(is_old)).count();
    let text = format!(
        "{stale} of {} requests that came to the south's cache later than {GRACE:.0} ms after the purge was in the north's \
         feed were answered from the older copy; {served} requests of the south's client and {crossed} of the north's were \
         served",
        late.len()
    );
    Ok(Verdict { broken: stale > 0, text })
}
