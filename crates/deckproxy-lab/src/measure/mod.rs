//! `decklab measure`: figures for docs/results.md, each compared with a baseline in the same run.

mod cpu;
mod fleet;
mod flows;
mod model;
mod pool;
mod routes;
mod sites;

use crate::error::LabError;
use crate::output::print_line;
use clap::{Args, ValueEnum};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What is measured.
#[derive(Debug, Args)]
pub struct Options {
    #[arg(value_enum)]
    name: Name,
    /// Seconds of each part.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(2..=120))]
    seconds: u64,
    /// Seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// With `program` and `pool`: the other build of the gateway.
    #[arg(long, value_name = "PROGRAM", required_if_eq("name", "program"))]
    beside: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Name {
    /// The gateway between sites.
    Sites,
    /// The index of routes, compared with a plain list.
    Routes,
    /// Metering and export of flows.
    Flows,
    /// The model's queue of events, compared with a heap.
    Model,
    /// A fleet's health checks, gossip, convergence, CPU.
    Fleet,
    /// This build of the gateway, compared with another one, `--beside`: CPU a request, memory, descriptors.
    Program,
    /// What a request costs by the number of caches in a location; with `--beside`, of another build too.
    Pool,
}

/// Runs a measurement.
///
/// # Errors
///
/// The program to compare with is missing, or is not one.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    match options.name {
        Name::Sites => sites::run(options),
        Name::Routes => routes::run(options),
        Name::Flows => flows::run(options),
        Name::Model => model::run(options),
        Name::Fleet => fleet::run(options),
        Name::Program => {
            let other =
                options.beside.as_deref().ok_or(LabError::argument("--beside", "a program is required"))?;
            check_program(other)?;
            cpu::run(options, other);
        }
        Name::Pool => {
            let other = options.beside.as_deref();
            other.map_or(Ok(()), check_program)?;
            pool::run(options, other);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Checks that a path names a program that can be started, before anything else is.
fn check_program(path: &Path) -> Result<(), LabError> {
    let metadata = std::fs::metadata(path).map_err(LabError::file(path))?;
    if metadata.is_file() && metadata.permissions().mode() & 0o111 != 0 {
        return Ok(());
    }
    Err(LabError::NotExecutable { path: path.to_path_buf() })
}

/// Prints a table with a header.
fn show(header: &[&str], rows: &[Vec<String>]) {
    let mut table = comfy_table::Table::new();
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row.iter().cloned());
    }
    print_line!("{table}");
}
