//! `decklab measure`: figures for docs/results.md, each beside a baseline in the same run.

mod cpu;
mod fleet;
mod flows;
mod model;
mod routes;
mod sites;

use clap::{Args, ValueEnum};
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
    /// With `program`: the other build of the gateway.
    #[arg(long, value_name = "PROGRAM", required_if_eq("name", "program"))]
    beside: Option<std::path::PathBuf>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Name {
    /// The gateway between sites.
    Sites,
    /// The index of routes beside a plain list.
    Routes,
    /// Metering and export of flows.
    Flows,
    /// The model's queue of events beside a heap.
    Model,
    /// A fleet's probes, bytes, time to agree, CPU.
    Fleet,
    /// This build of the gateway beside another one, `--beside`: CPU a request, memory, descriptors.
    Program,
}

/// Measures.
pub fn run(options: &Options) -> ExitCode {
    match options.name {
        Name::Sites => sites::run(options),
        Name::Routes => routes::run(options),
        Name::Flows => flows::run(options),
        Name::Model => model::run(options),
        Name::Fleet => fleet::run(options),
        Name::Program => options.beside.iter().for_each(|other| cpu::run(options, other)),
    }
    ExitCode::SUCCESS
}

/// Prints a table.
fn show(head: &[&str], rows: &[Vec<String>]) {
    let mut table = comfy_table::Table::new();
    table.set_header(head.iter().copied());
    for row in rows {
        table.add_row(row.iter().cloned());
    }
    println!("{table}");
}
