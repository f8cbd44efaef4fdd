//! `decklab flows follow`: records as they are stored.

use super::query;
use super::record::{Record, files, shown_time};
use crate::error::LabError;
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// What is followed.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// The folder in which the collector stores.
    dir: PathBuf,
    /// Only records that this lets through, as `class = page and out > 1MB`.
    #[arg(long = "where", value_name = "FILTER")]
    filter: Option<String>,
    /// Begin with what is there already.
    #[arg(long)]
    all: bool,
    /// End after so many seconds; else with Ctrl-C.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
}

/// Follows.
pub fn run(options: &Options) -> Result<(), LabError> {
    let filter = options.filter.as_deref().map(query::from_option).transpose()?;
    let start = Instant::now();
    let mut read: HashMap<PathBuf, u64> = HashMap::new();
    if !options.all {
        for path in files(&options.dir)? {
            let length = std::fs::metadata(&path).map_or(0, |m| m.len());
            read.insert(path, length);
        }
    }
    let mut out = io::stdout().lock();
    loop {
        let ended = options.seconds.is_some_and(|s| start.elapsed() >= Duration::from_secs(s));
        for path in files(&options.dir)? {
            let from = read.entry(path.clone()).or_default();
            let lines = complete_lines(&path, from).map_err(LabError::file(&path))?;
            for line in lines.lines() {
                let Ok(record) = serde_json::from_str::<Record>(line) else { continue };
                if filter.as_ref().is_none_or(|f| f.matches(&record))
                    && writeln!(out, "{}", shown(&record)).is_err()
                {
                    // The reader of standard output has closed it.
                    return Ok(());
                }
            }
        }
        if ended {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// The complete lines written since the last look; `from` moves behind them.
fn complete_lines(path: &Path, from: &mut u64) -> io::Result<String> {
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(*from))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let complete = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
    *from += complete as u64;
    Ok(String::from_utf8_lossy(&bytes[..complete]).into_owned())
}

fn shown(record: &Record) -> String {
    let time = shown_time(record.end);
    if record.is_loss() {
        return format!("{time} {} lost {} flows, {} bytes", record.exporter, record.lost, record.lost_bytes);
    }
    let or = |text: &str| if text.is_empty() { "-".to_string() } else { text.to_string() };
    let client = record.client.map_or("-".to_string(), |c| c.to_string());
    format!(
        "{time} {:6} {client:18} {:8} {:10} {:8} {:8} out {:>10} back {:>8} requests {:>6} p99 {:>8.1} ms",
        or(&record.leg),
        or(&record.class),
        or(&record.member),
        or(&record.link),
        or(&record.result),
        record.out,
        record.back,
        record.requests,
        record.p99 as f64 / 1000.0,
    )
}
