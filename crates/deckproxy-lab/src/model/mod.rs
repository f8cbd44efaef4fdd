//! `decklab model`: experiments on the model of sites.

mod report;
mod run;
mod summary;
mod sweep;

pub use sweep::SweepError;

use crate::error::LabError;
use crate::output::print_line;
use clap::Args;
use deckproxy_model::experiment::{self, Experiment, Variant};
use deckproxy_model::scenario::Scenario;
use deckproxy_model::simulation::Simulation;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use run::Run;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Steps of the progress bar for each run.
const PROGRESS_STEPS: u64 = 100;
/// Broken runs whose first broken rule is printed.
const SHOWN_BREAKS: usize = 3;

/// What is run.
#[derive(Debug, Args)]
pub struct Options {
    /// The experiment (protobuf text format; schema: crates/deckproxy-model/proto/experiment.proto).
    file: Option<PathBuf>,
    /// Print the scenario that stands for all that a file leaves out, as JSON.
    #[arg(long)]
    defaults: bool,
    /// Seeds, from --seed on.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run each variant for each value of a field, as load.rate=1000,2000,4000.
    #[arg(long, value_name = "FIELD=VALUES")]
    sweep: Option<String>,
    /// A folder for records, pictures and a report. Runs whose records are there are not run again.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// End with one JSON object on a line.
    #[arg(long)]
    json: bool,
}

/// Runs an experiment; exit code 1 where a run of the gateway broke a rule or got stuck.
///
/// # Errors
///
/// The experiment, the sweep or the seeds are not valid, or the folder for the results takes no file.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    if options.defaults {
        let defaults = serde_json::to_string_pretty(&Scenario::default());
        print_line!("{}", defaults.map_err(LabError::json("--defaults"))?);
        return Ok(ExitCode::SUCCESS);
    }
    Ok(if experiment(options)? { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Whether all runs of the gateway kept their promises.
fn experiment(options: &Options) -> Result<bool, LabError> {
    let file = options.file.as_deref();
    let file = file.ok_or_else(|| LabError::argument("FILE", "an experiment's file is wanted"))?;
    let bytes = fs::read(file).map_err(LabError::file(file))?;
    let contents = |faults| LabError::Contents { path: file.to_path_buf(), faults };
    let experiment = experiment::read(&bytes).map_err(contents)?;
    let variants = sweep::variants(&experiment.variants, options.sweep.as_deref())?;
    let planned = plan(options, &variants)?;
    let out = options.out.as_deref();
    if let Some(folder) = out {
        fs::create_dir_all(folder).map_err(LabError::file(folder))?;
        // All that is needed to run it again.
        fs::write(folder.join("experiment.textproto"), &bytes).map_err(LabError::file(folder))?;
    }
    let runs = run_all(&planned, out)?;
    summary::print(&experiment.question, &variants, &runs);
    if let Some(folder) = out {
        write_report(folder, &experiment, &variants, &runs)?;
    }
    print_breaks(&runs);
    let ok = runs.iter().filter(|run| run.is_gateway()).all(|run| run.rule_breaks == 0 && !run.is_stuck());
    if options.json {
        print_line!("{}", summary::json(&variants, &runs, ok));
    }
    Ok(ok)
}

/// Each variant with each seed.
fn plan(options: &Options, variants: &[Variant]) -> Result<Vec<Variant>, LabError> {
    let Options { seed, seeds, .. } = *options;
    let last_seed = seed.checked_add(seeds - 1).ok_or_else(|| {
        LabError::argument("--seed", format!("{seeds} seeds from {seed} on are more than there are"))
    })?;
    let with_seeds = |variant: &Variant| {
        let Variant { name, scenario } = variant.clone();
        let with_seed =
            move |seed| Variant { name: name.clone(), scenario: Scenario { seed, ..scenario.clone() } };
        (seed..=last_seed).map(with_seed)
    };
    Ok(variants.iter().flat_map(with_seeds).collect())
}

/// Runs all that is planned in parallel, and stores each result in the folder. Each run has random numbers of its own, so
/// the results are those of one run after another.
fn run_all(planned: &[Variant], out: Option<&Path>) -> Result<Vec<Run>, LabError> {
    let bar = ProgressBar::new(planned.len() as u64 * PROGRESS_STEPS);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {percent}% {msg} {eta} left") {
        bar.set_style(style);
    }
    let runs = planned.par_iter().map(|variant| run_one(variant, out, &bar)).collect();
    bar.finish_and_clear();
    runs
}

/// Runs a variant, unless its result is stored already.
fn run_one(variant: &Variant, out: Option<&Path>, bar: &ProgressBar) -> Result<Run, LabError> {
    let Variant { name, scenario } = variant;
    if let Some(run) = out.and_then(|folder| Run::load(folder, name, scenario)) {
        bar.inc(PROGRESS_STEPS);
        return Ok(run);
    }
    let mut done = 0;
    let record = Simulation::new(scenario).run(|share| {
        let now = (share * PROGRESS_STEPS as f64) as u64;
        bar.inc(now.saturating_sub(done));
        done = done.max(now);
    });
    bar.inc(PROGRESS_STEPS - done.min(PROGRESS_STEPS));
    let run = Run::new(name, scenario.clone(), record);
    if let Some(folder) = out {
        run.store(folder)?;
    }
    Ok(run)
}

fn write_report(
    folder: &Path,
    experiment: &Experiment,
    variants: &[Variant],
    runs: &[Run],
) -> Result<(), LabError> {
    report::write(folder, experiment, variants, runs)?;
    print_line!("records and report.html are in {}", folder.display());
    Ok(())
}

/// Prints the first broken rule of a few runs of the gateway.
fn print_breaks(runs: &[Run]) {
    let broken = runs.iter().filter(|run| run.rule_breaks > 0 && run.is_gateway());
    for run in broken.take(SHOWN_BREAKS) {
        let first = run.first_break.as_deref().unwrap_or("a check of its own");
        eprintln!("broken: {}, seed {}: {first}", run.variant, run.seed);
    }
}
