//! `decklab demo`: the main job on an embedded default.

mod fleet;
mod site;

use crate::error::LabError;
use clap::Args;
use deckproxy_standins::rules::Verdict;
use std::path::PathBuf;
use std::process::ExitCode;

/// Objects that clients request.
const OBJECTS: usize = 2000;
/// Share of the requests that have an effect.
const WRITE_SHARE: f64 = 0.04;

/// How the demo runs.
#[derive(Debug, Args)]
pub struct Options {
    /// Seconds of traffic.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Requests a second.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Clients.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=200))]
    clients: u32,
    /// An operator file for the gateway, as for `deckproxy run`.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Gateways of a fleet in two zones, one of which is killed and restarted; its clients go on to the others.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=24), conflicts_with = "operator")]
    gateways: u32,
}

/// Runs the demo: a site with one gateway, or a fleet of several.
///
/// # Errors
///
/// The operator file cannot be read, or has faults.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    let ok = if options.gateways > 1 { fleet::run(options) } else { site::run(options)? };
    Ok(if ok { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A share as a text in percent.
fn percent(part: u64, whole: u64) -> String {
    format!("{:.1}%", 100.0 * part as f64 / whole.max(1) as f64)
}

/// The rules that were broken, as a cell of a table.
fn violations(verdict: &Verdict) -> String {
    if verdict.holds() { "none".to_string() } else { verdict.violations.join("; ") }
}
