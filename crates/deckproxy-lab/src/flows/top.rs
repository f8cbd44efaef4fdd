//! `decklab flows top`: who used most.

use super::record::{Record, each};
use super::{plot, query};
use crate::error::LabError;
use crate::output::print_line;
use clap::ValueEnum;
use comfy_table::{CellAlignment, Table};
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What is summed, and how it is shown.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// The folder in which the collector stored.
    dir: PathBuf,
    /// By what records are summed.
    #[arg(long, value_enum, default_value_t = By::Client)]
    by: By,
    /// Only records that this lets through, as `class = page and out > 1MB`.
    #[arg(long = "where", value_name = "FILTER")]
    filter: Option<String>,
    /// From when on: a time as 2026-12-01T08:00:00Z, or so long ago, as 15m.
    #[arg(long, value_name = "TIME")]
    from: Option<String>,
    /// Until when.
    #[arg(long, value_name = "TIME")]
    to: Option<String>,
    /// Rows of the table, and colours of the picture.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
    most: u64,
    /// Print CSV in place of a table.
    #[arg(long)]
    csv: bool,
    /// Write a picture of the bytes over time, stacked by key.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// By what records are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum By {
    /// Clients' prefixes.
    Client,
    /// Classes of requests.
    Class,
    /// Sites at the other end of links: the bytes on the links.
    Link,
    /// Caches, parents and origin: the bytes between them and the gateway.
    Box,
    /// How requests ended.
    Result,
    /// The gateways that told.
    Exporter,
}

impl By {
    /// Which bytes are meant: those of clients, unless the key is one of another leg.
    fn leg(self) -> &'static str {
        match self {
            By::Box => "member",
            By::Link => "link",
            _ => "client",
        }
    }

    fn key(self, record: &Record) -> String {
        let text = match self {
            By::Client => return record.client.map_or("(all)".to_string(), |c| c.to_string()),
            By::Class => &record.class,
            By::Link => &record.link,
            By::Box => &record.member,
            By::Result => &record.result,
            By::Exporter => &record.exporter,
        };
        if text.is_empty() { "(none)".to_string() } else { text.clone() }
    }

    fn title(self) -> &'static str {
        match self {
            By::Client => "client",
            By::Class => "class",
            By::Link => "link",
            By::Box => "box",
            By::Result => "result",
            By::Exporter => "exporter",
        }
    }
}

/// A sum of records. It ends at the largest number that there is: counters may hold anything that an exporter sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    out: u64,
    back: u64,
    requests: u64,
    p99: u64,
    records: u64,
}

/// A time given as one, or as a while ago.
fn time(text: &str, now: SystemTime) -> Result<u64, String> {
    let at = humantime::parse_rfc3339(text).or_else(|_| {
        let ago = humantime::parse_duration(text.trim_start_matches('-'))
            .map_err(|_| format!("{text:?}: wanted a time as 2026-12-01T08:00:00Z, or a while ago as 15m"))?;
        now.checked_sub(ago).ok_or_else(|| format!("{text:?}: before all time"))
    })?;
    Ok(at.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64)
}

/// Sums and shows.
pub fn run(options: &Options) -> Result<(), LabError> {
    let filter = options.filter.as_deref().map(query::from_option).transpose()?;
    let now = SystemTime::now();
    let limit = |name: &'static str, text: &Option<String>| {
        let time = text.as_deref().map(|text| time(text, now)).transpose();
        time.map_err(|fault| LabError::argument(name, fault))
    };
    let from = limit("--from", &options.from)?.unwrap_or(0);
    let to = limit("--to", &options.to)?.unwrap_or(u64::MAX);
    if from >= to {
        return Err(LabError::argument("--from", "is not before --to"));
    }
    let by = options.by;
    let mut sums: HashMap<String, Sum> = HashMap::new();
    let mut spans: Vec<(String, u64, u64, u64)> = Vec::new();
    let (mut lost, mut lost_bytes, mut folded) = (0u64, 0u64, 0u64);
    let bad = each(&options.dir, |record| {
        if record.is_loss() {
            lost = lost.saturating_add(record.lost);
            lost_bytes = lost_bytes.saturating_add(record.lost_bytes);
            return;
        }
        let within = record.end >= from && record.start < to;
        if record.leg != by.leg() || !within || filter.as_ref().is_some_and(|f| !f.matches(&record)) {
            return;
        }
        folded = folded.saturating_add(if record.folded > 0 { record.out } else { 0 });
        let key = by.key(&record);
        if options.svg.is_some() {
            spans.push((key.clone(), record.start, record.end, record.out));
        }
        let sum = sums.entry(key).or_default();
        *sum = Sum {
            out: sum.out.saturating_add(record.out),
            back: sum.back.saturating_add(record.back),
            requests: sum.requests.saturating_add(record.requests),
            p99: sum.p99.max(record.p99),
            records: sum.records + 1,
        };
    })?;
    let all = sums.values().fold(0u64, |all, s| all.saturating_add(s.out));
    let mut rows: Vec<(String, Sum)> = sums.into_iter().collect();
    rows.sort_by(|a, b| (b.1.out, &a.0).cmp(&(a.1.out, &b.0)));
    if let Some(path) = &options.svg {
        let keys: Vec<String> = rows.iter().take(options.most as usize).map(|(k, _)| k.clone()).collect();
        plot::stacked(path, by.title(), &keys, &spans)?;
        eprintln!("{} written", path.display());
    }
    let count = rows.len();
    rows.truncate(options.most as usize);
    let cells = |(key, s): &(String, Sum)| {
        let share = 100.0 * s.out as f64 / all.max(1) as f64;
        let p99 = s.p99 as f64 / 1000.0;
        [
            key.clone(),
            s.out.to_string(),
            format!("{share:.1}"),
            s.back.to_string(),
            s.requests.to_string(),
            format!("{p99:.1}"),
            s.records.to_string(),
        ]
    };
    let head = [by.title(), "bytes out", "%", "bytes back", "requests", "worst p99 ms", "records"];
    if options.csv {
        let mut csv = csv::Writer::from_writer(std::io::stdout());
        let written =
            csv.write_record(head).and_then(|()| rows.iter().try_for_each(|r| csv.write_record(cells(r))));
        written
            .and_then(|()| csv.flush().map_err(Into::into))
            .map_err(|e| LabError::output("standard output", e))?;
    } else {
        let mut table = Table::new();
        table.set_header(head);
        for row in &rows {
            table.add_row(cells(row));
        }
        table.column_iter_mut().skip(1).for_each(|c| c.set_cell_alignment(CellAlignment::Right));
        print_line!("{table}");
        if count > rows.len() {
            print_line!("and {} more", count - rows.len());
        }
        if folded > 0 {
            print_line!(
                "{folded} of the bytes are known by wider prefixes or by class alone: the meter was full"
            );
        }
        if lost > 0 {
            print_line!(
                "gateways tell of {lost} flows ({lost_bytes} bytes) that were dropped while a collector was gone"
            );
        }
    }
    if bad > 0 {
        eprintln!("{bad} lines are no records");
    }
    if count == 0 {
        return Err(LabError::NoRecords { folder: options.dir.clone() });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
