//! The instances' own views of the fleet, read from the `fleet view` lines of their logs: whom each heard, whom it took
//! for lost, and what it had on its board.

use serde_json::Value;
use std::collections::BTreeSet;
use std::time::UNIX_EPOCH;

/// An instance's view of the fleet from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Unix time, ms.
    pub at: f64,
    /// Instances that are heard.
    pub heard: BTreeSet<String>,
    /// Instances that are taken for dead.
    pub lost: BTreeSet<String>,
    /// Instances that the fleet is expected to have.
    pub expected: u64,
    /// Instances that hear this one too.
    pub mutual: u64,
    /// The instance takes itself to be in the larger part of a split fleet.
    pub in_larger_part: bool,
    /// The instance takes its view for out of date, as after a pause.
    pub is_stale: bool,
    /// Members that it observes.
    pub observes: u64,
    /// Members that it ejects.
    pub ejected: u64,
    /// Digest of its board: the same where boards hold the same.
    pub board: String,
}

/// The views in a log, in the order of time. Lines that are no views, or not complete, are passed over.
pub fn views(log: &str) -> Vec<View> {
    let lines = log.lines().filter(|line| line.contains("\"fleet view\""));
    lines.filter_map(|line| view(&serde_json::from_str(line).ok()?)).collect()
}

fn view(line: &Value) -> Option<View> {
    let number = |field: &str| line[field].as_u64();
    let names = |field: &str| Some(line[field].as_str()?.split_whitespace().map(String::from).collect());
    let time = humantime::parse_rfc3339(line["ts"].as_str()?).ok()?;
    Some(View {
        at: time.duration_since(UNIX_EPOCH).ok()?.as_secs_f64() * 1000.0,
        heard: names("alive")?,
        lost: names("lost")?,
        expected: number("expected")?,
        mutual: number("confirmed")?,
        in_larger_part: line["in_majority"].as_bool()?,
        is_stale: line["stale"].as_bool()?,
        observes: number("observes")?,
        ejected: number("ejected")?,
        board: line["store_checksum"].as_str()?.to_string(),
    })
}
