//! The program: command line, event loop and gateway state, subsystems, logging.

mod accept;
mod attempts;
mod check;
pub mod cli;
mod client_messages;
mod clients;
mod collectors;
mod connections;
mod effects;
pub mod error;
mod event_loop;
mod eviction;
mod feed;
mod file_fault;
pub mod files;
mod fleet;
mod flows;
pub mod gateway;
mod housekeeping;
pub mod log_aliases;
pub mod logging;
mod memory;
mod memory_use;
pub mod migrate;
mod pending_requests;
mod ready_queue;
mod recovery;
mod reload;
mod serve;
mod shutdown;
mod site_links;
mod sites;
pub mod start_error;
pub mod subsystem;
mod subsystems;
mod summary;
mod timer_task;
mod upstream_pool;
pub mod usage;

#[cfg(test)]
mod tests;

use clap::Parser;
use cli::{Cli, Command, Run};
use error::ProgramError;
use std::ffi::OsString;
use std::process::ExitCode;

/// Runs the command given on the command line. The exit code is 0, or [`migrate::WITH_LOSSES`]. An invalid command line
/// ends the process with exit code 2.
///
/// # Errors
/// The command failed.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> Result<ExitCode, ProgramError> {
    let cli = Cli::try_parse_from(arguments).unwrap_or_else(|e| e.exit());
    match cli.command {
        None => serve::run(&Run::default(), cli.log)?,
        Some(Command::Run(run)) => serve::run(&run, cli.log)?,
        Some(Command::Check { files }) => check::run(&files)?,
        Some(Command::Migrate(arguments)) => return Ok(migrate::run(&arguments)?),
        Some(Command::Version) => println!("deckproxy {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}
