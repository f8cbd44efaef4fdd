//! The instances' own view of the fleet, read from the `fleet view` lines of their logs: whom each heard, whom it took
//! for lost, and what it had on its board.

use serde_json::Value;
use std::collections::BTreeSet;

/// What an instance saw of the fleet from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Unix time, ms.
    pub at: f64,
    /// Those heard.
    pub heard: BTreeSet<String>,
    /// Those taken for gone.
    pub lost: BTreeSet<String>,
    /// Instances expected, and those that hear it too.
    pub expected: u64,
    /// See `expected`.
    pub sure: u64,
    /// It took itself to be in the larger part.
    pub larger: bool,
    /// It took its view for old.
    pub old: bool,
    /// Members that it observes, and that it holds back.
    pub observes: u64,
    /// See `observes`.
    pub held: u64,
    /// The same number where boards said the same.
    pub board: String,
}

/// The views in a log.
pub fn views(log: &str) -> Vec<View> {
    let lines = log.lines().filter(|line| line.contains("\"fleet view\""));
    lines.filter_map(|line| view(&serde_json::from_str(line).ok()?)).collect()
}

fn view(line: &Value) -> Option<View> {
    let number = |name: &str| line[name].as_u64();
    let names = |field: &str| Some(line[field].as_str()?.split_whitespace().map(String::from).collect());
    let at = humantime::parse_rfc3339(line["ts"].as_str()?).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_secs_f64() * 1000.0;
    Some(View {
        at,
        heard: names("heard")?,
        lost: names("lost")?,
        expected: number("expected")?,
        sure: number("sure")?,
        larger: line["larger"].as_bool()?,
        old: line["old"].as_bool()?,
        observes: number("observes")?,
        held: number("held")?,
        board: line["board"].as_str()?.to_string(),
    })
}
