//! decklab: demo, drills, experiments and measurements for operators and developers of deckproxy.
#![forbid(unsafe_code)]

mod demo;
mod drills;
mod error;
mod flows;
mod measure;
mod model;
mod output;
mod rig;
mod traffic;

use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code of a command that could not do its work: a bad option or file, a folder that takes no file.
const COULD_NOT_RUN: u8 = 2;

/// Demo, drills and experiments around the deckproxy gateway, on this machine's loopback addresses alone.
#[derive(Debug, Parser)]
#[command(name = "decklab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The main job at work: caches, parent, origin and feed, the real gateway, traffic, a table.
    Demo(demo::Options),
    /// The hard cases of a subsystem, on real processes and sockets; exit code 1 when a promise broke, 2 when it could
    /// not run.
    Drill(drills::Options),
    /// Flows that gateways export: collect them, see who used the links.
    Flows(flows::Options),
    /// Experiments on a model of sites: the deployed gateway in simulated time, at any size.
    Model(model::Options),
    /// Several processes of the gateway under a plan of faults: what each sees, what members receive, a page of the run.
    Rig(rig::Options),
    /// Measurements on this machine; each compares in one run.
    Measure(measure::Options),
    /// The gateway itself: what `deckproxy` is, with its command line.
    #[command(hide = true, disable_help_flag = true)]
    Gateway {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let (command, result) = match Cli::parse().command {
        Command::Demo(options) => ("demo", demo::run(&options)),
        Command::Drill(options) => ("drill", drills::run(&options)),
        Command::Flows(options) => ("flows", flows::run(&options)),
        Command::Model(options) => ("model", model::run(&options)),
        Command::Rig(options) => ("rig", rig::run(&options)),
        Command::Measure(options) => ("measure", measure::run(&options)),
        Command::Gateway { arguments } => return gateway(arguments),
    };
    result.unwrap_or_else(|error| {
        error.report(command);
        ExitCode::from(COULD_NOT_RUN)
    })
}

/// Runs the gateway as the program `deckproxy` does.
fn gateway(arguments: Vec<OsString>) -> ExitCode {
    let arguments = std::iter::once("deckproxy".into()).chain(arguments);
    deckproxy::program::main(arguments).unwrap_or_else(|why| {
        eprintln!("deckproxy: {why}");
        ExitCode::FAILURE
    })
}
