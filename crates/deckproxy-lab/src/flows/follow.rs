//! `decklab flows follow`: prints records as they are stored.

use super::record::Record;
use super::{query, record_files, time};
use crate::error::LabError;
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What is followed.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// The folder in which the collector stores.
    dir: PathBuf,
    /// Only records that match this filter, such as `class = page and out > 1MB`.
    #[arg(long = "where", value_name = "FILTER")]
    filter: Option<String>,
    /// Begin with the records that are there already.
    #[arg(long)]
    all: bool,
    /// Seconds after which to end; without it, Ctrl-C ends.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
}

/// Prints records as the collector stores them, until the time is over or the reader of standard output has gone.
///
/// # Errors
///
/// The filter is not valid, or the folder cannot be read.
pub fn run(options: &Options) -> Result<(), LabError> {
    let filter = options.filter.as_deref().map(query::parse).transpose()?;
    let start = Instant::now();
    let mut positions = if options.all { HashMap::new() } else { ends(&options.dir)? };
    let mut out = io::stdout().lock();
    loop {
        let is_over = options.seconds.is_some_and(|s| start.elapsed() >= Duration::from_secs(s));
        for record in new_records(&options.dir, &mut positions)? {
            let matches = filter.as_ref().is_none_or(|filter| filter.matches(&record));
            if matches && writeln!(out, "{}", format(&record)).is_err() {
                // The reader of standard output has closed it.
                return Ok(());
            }
        }
        if is_over {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// The ends of all files, from which on records are new.
fn ends(folder: &Path) -> Result<HashMap<PathBuf, u64>, LabError> {
    let files = record_files::list(folder)?;
    let length = |path: &PathBuf| std::fs::metadata(path).map_or(0, |metadata| metadata.len());
    Ok(files.into_iter().map(|path| (path.clone(), length(&path))).collect())
}

/// The records stored behind the positions, which move on. Lines that are not records are skipped.
fn new_records(folder: &Path, positions: &mut HashMap<PathBuf, u64>) -> Result<Vec<Record>, LabError> {
    let mut records = Vec::new();
    for path in record_files::list(folder)? {
        let position = positions.entry(path.clone()).or_default();
        let lines = complete_lines(&path, position).map_err(LabError::file(&path))?;
        records.extend(lines.lines().filter_map(|line| serde_json::from_str::<Record>(line).ok()));
    }
    Ok(records)
}

/// The complete lines behind a position, which moves behind them.
fn complete_lines(path: &Path, position: &mut u64) -> io::Result<String> {
    let mut file = File::open(path)?;
    file.seek(SeekFrom::Start(*position))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let complete = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |last| last + 1);
    *position += complete as u64;
    Ok(String::from_utf8_lossy(&bytes[..complete]).into_owned())
}

/// A record as a line.
fn format(record: &Record) -> String {
    let time = time::format_millis(record.end);
    if record.is_loss() {
        return format!("{time} {} lost {} flows, {} bytes", record.exporter, record.lost, record.lost_bytes);
    }
    let or_dash = |text: &str| if text.is_empty() { "-".to_string() } else { text.to_string() };
    let client = record.client.map_or("-".to_string(), |client| client.to_string());
    format!(
        "{time} {:6} {client:18} {:8} {:10} {:8} {:8} out {:>10} back {:>8} requests {:>6} p99 {:>8.1} ms",
        or_dash(&record.leg),
        or_dash(&record.class),
        or_dash(&record.member),
        or_dash(&record.link),
        or_dash(&record.result),
        record.out,
        record.back,
        record.requests,
        record.p99 as f64 / 1000.0,
    )
}
