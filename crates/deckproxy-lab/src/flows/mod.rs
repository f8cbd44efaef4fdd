//! `decklab flows`: a collector that stores the flows that gateways export, and queries over them.

mod collect;
mod filter;
mod follow;
pub mod plot;
mod query;
mod record;
mod record_files;
mod time;
mod top;

pub use query::FilterError;
pub use time::TimeError;

use crate::error::LabError;
use clap::{Args, Subcommand};
use std::process::ExitCode;

/// Flows that gateways export: collect them, see who used the links.
#[derive(Debug, Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Receive IPFIX (TCP and UDP) and NetFlow v9 (UDP) and store readable records, one JSON object per line.
    Collect(collect::Options),
    /// Who used most: a table or CSV, and a picture over time.
    Top(top::Options),
    /// Print records as they are stored.
    Follow(follow::Options),
}

/// Runs a command.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    match &options.command {
        Command::Collect(options) => collect::run(options),
        Command::Top(options) => top::run(options),
        Command::Follow(options) => follow::run(options),
    }?;
    Ok(ExitCode::SUCCESS)
}
