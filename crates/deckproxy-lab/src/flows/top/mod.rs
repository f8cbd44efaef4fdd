//! `decklab flows top`: who used most.

mod totals;

use super::filter::Filter;
use super::{plot, query, record_files, time};
use crate::error::LabError;
use crate::output::print_line;
use comfy_table::{CellAlignment, Table};
use std::path::PathBuf;
use std::time::SystemTime;
use totals::{By, Selection, Total, Totals};

/// What is summed, and how it is shown.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// The folder in which the collector stored.
    dir: PathBuf,
    /// By what records are summed.
    #[arg(long, value_enum, default_value_t = By::Client)]
    by: By,
    /// Only records that match this filter, such as `class = page and out > 1MB`.
    #[arg(long = "where", value_name = "FILTER")]
    filter: Option<String>,
    /// The first time: such as 2026-12-01T08:00:00Z, or a duration before now such as 15m.
    #[arg(long, value_name = "TIME")]
    from: Option<String>,
    /// The time at which to end.
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

/// Sums the records of a folder, and shows the largest sums.
///
/// # Errors
///
/// An option is not valid, the folder cannot be read, a result cannot be written, or no record matches.
pub fn run(options: &Options) -> Result<(), LabError> {
    let mut totals = Totals::new(selection(options)?, options.svg.is_some());
    let invalid = record_files::read_all(&options.dir, |record| totals.add(&record))?;
    let rows = totals.rows();
    let most = usize::try_from(options.most).unwrap_or(usize::MAX);
    let shown = &rows[..rows.len().min(most)];
    if let Some(path) = &options.svg {
        let keys: Vec<String> = shown.iter().map(|(key, _)| key.clone()).collect();
        plot::stacked(path, options.by.title(), &keys, totals.spans())?;
        eprintln!("{} written", path.display());
    }
    if options.csv {
        print_csv(options.by, shown, totals.bytes_out())?;
    } else {
        print_table(options.by, shown, totals.bytes_out());
        print_notes(&totals, rows.len() - shown.len());
    }
    if invalid > 0 {
        eprintln!("{invalid} lines are not records");
    }
    if rows.is_empty() {
        return Err(LabError::NoRecords { folder: options.dir.clone() });
    }
    Ok(())
}

/// Which records the options select.
fn selection(options: &Options) -> Result<Selection, LabError> {
    let filter: Option<Filter> = options.filter.as_deref().map(query::parse).transpose()?;
    let now = SystemTime::now();
    let limit = |name: &'static str, text: &Option<String>| {
        let limit = text.as_deref().map(|text| time::parse(text, now)).transpose();
        limit.map_err(|source| LabError::Time { name, source })
    };
    let from = limit("--from", &options.from)?.unwrap_or(0);
    let to = limit("--to", &options.to)?.unwrap_or(u64::MAX);
    if from >= to {
        return Err(LabError::argument("--from", "is not before --to"));
    }
    Ok(Selection { by: options.by, filter, from, to })
}

/// The names of the columns.
fn header(by: By) -> [&'static str; 7] {
    [by.title(), "bytes out", "%", "bytes back", "requests", "worst p99 ms", "records"]
}

fn cells((key, total): &(String, Total), bytes_out: u64) -> [String; 7] {
    let share = 100.0 * total.bytes_out as f64 / bytes_out.max(1) as f64;
    let p99_ms = total.worst_p99_us as f64 / 1000.0;
    [
        key.clone(),
        total.bytes_out.to_string(),
        format!("{share:.1}"),
        total.bytes_back.to_string(),
        total.requests.to_string(),
        format!("{p99_ms:.1}"),
        total.records.to_string(),
    ]
}

fn print_csv(by: By, rows: &[(String, Total)], bytes_out: u64) -> Result<(), LabError> {
    let csv_error = LabError::csv("standard output");
    let mut csv = csv::Writer::from_writer(std::io::stdout());
    csv.write_record(header(by)).map_err(&csv_error)?;
    for row in rows {
        csv.write_record(cells(row, bytes_out)).map_err(&csv_error)?;
    }
    csv.flush().map_err(|error| csv_error(error.into()))
}

fn print_table(by: By, rows: &[(String, Total)], bytes_out: u64) {
    let mut table = Table::new();
    table.set_header(header(by));
    for row in rows {
        table.add_row(cells(row, bytes_out));
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    print_line!("{table}");
}

/// Prints what the table leaves out.
fn print_notes(totals: &Totals, more_rows: usize) {
    if more_rows > 0 {
        print_line!("and {more_rows} more");
    }
    if totals.folded_bytes() > 0 {
        print_line!(
            "{} of the bytes are known by wider prefixes or by class alone: the meter was full",
            totals.folded_bytes()
        );
    }
    let lost = totals.lost();
    if lost.flows > 0 {
        print_line!(
            "gateways report {} flows ({} bytes) that were dropped while a collector was unreachable",
            lost.flows,
            lost.bytes
        );
    }
}
