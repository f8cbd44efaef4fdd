//! Stand-ins and cases of the review. `review-standins CASE` runs a case from the repository's root; it exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod cache;
mod client;
mod drain_slow_feed;
mod duplicate_refusal;
mod feed;
mod lost_slow_writer;
mod member;
mod purge_link;
mod purge_pause;
mod purge_quiet;
mod run;

use run::{Config, Gateway, Record, entry};
use std::path::{Path, PathBuf};
use std::process::exit;

/// What a case found: whether the rule was broken, and a line on it.
pub struct Verdict {
    broken: bool,
    text: String,
}

/// What a case is given.
pub struct Case {
    record: Record,
    trouble: bool,
    folder: PathBuf,
}

impl Case {
    /// Starts the gateway; its log is written beside the record.
    fn gateway(&self, config: &Config) -> Result<Gateway, String> {
        Gateway::start(&self.record, config, &self.folder.join(format!("{}.log", config.name)))
    }
}

/// The classes of tatra-branches, with another window for the repeats of `booking`.
fn services(booking_window_ms: u64) -> String {
    let class = |name: &str, aim: u64, stretch: f64, deadline: u64, effect: &str, window: u64, worth: u64| {
        format!(
            r#"{{"name":"{name}","aimMs":{aim},"aimStretch":{stretch},"deadlineMs":{deadline},"dedupWindowMs":{window},
"effect":"{effect}","group":"all","importance":{worth},"lateShare":0.15,"stream":false}}"#
        )
    };
    [
        class("video", 600, 1.6, 5000, "retryable", 5000, 2),
        class("small", 400, 2.0, 2500, "retryable", 5000, 1),
        class("booking", 800, 0.0, 3000, "dedup", booking_window_ms, 3),
    ]
    .join(",")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins CASE FOLDER");
        exit(2);
    };
    let folder = Path::new(&folder).to_path_buf();
    let record = Record::create(&folder.join("record.txt"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {name}, with the disruption: {trouble}"));
    let case = Case { record: record.clone(), trouble, folder };
    let result = match name.as_str() {
        "duplicate" => duplicate_refusal::run(&case),
        "drain" => drain_slow_feed::run(&case),
        "pause" => purge_pause::run(&case),
        "link" => purge_link::run(&case),
        "quiet" => purge_quiet::run(&case),
        "lost" => lost_slow_writer::run(&case),
        _ => Err(format!("no case is named {name}")),
    };
    let (code, text) = match result {
        Ok(Verdict { broken: true, text }) => (1, format!("BROKEN: {text}")),
        Ok(Verdict { broken: false, text }) => (0, format!("HELD: {text}")),
        Err(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
