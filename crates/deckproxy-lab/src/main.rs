//! decklab: what operators and developers try deckproxy with.
#![forbid(unsafe_code)]

mod demo;
mod drills;
mod flows;
mod measure;
mod model;
mod rig;
mod traffic;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Demo, drills and experiments around the deckproxy gateway, on this machine's loopback addresses alone.
#[derive(Debug, Parser)]
#[command(name = "decklab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The main job, seen at work: caches, parent, origin and feed, the real gateway, traffic, a table.
    Demo(demo::Options),
    /// The hard cases of a subsystem, on real processes and sockets; exit code 1 when a promise broke, 2 when it could
    /// not run.
    Drill(drills::Options),
    /// Flows that gateways export: collect them, see who used the links.
    Flows(flows::Options),
    /// Experiments on a model of sites: the deployed gateway in simulated time, at any size.
    Model(model::Options),
    /// Several processes of the gateway, hurt by a plan: what each sees, what members get, a page of it.
    Rig(rig::Options),
    /// Measurements on this machine; each compares in one run.
    Measure(measure::Options),
    /// The gateway itself: what `deckproxy` is, with its command line.
    #[command(hide = true, disable_help_flag = true)]
    Gateway {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<std::ffi::OsString>,
    },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Demo(options) => demo::run(&options),
        Command::Drill(options) => drills::run(&options),
        Command::Flows(options) => flows::run(&options),
        Command::Model(options) => model::run(&options),
        Command::Rig(options) => rig::run(&options),
        Command::Measure(options) => measure::run(&options),
        Command::Gateway { words } => {
            let words = std::iter::once("deckproxy".into()).chain(words);
            match deckproxy::program::main(words) {
                Ok(code) => code,
                Err(why) => {
                    eprintln!("deckproxy: {why}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}
