//! `decklab rig`: runs a plan of faults on several processes of the gateway.

use crate::error::LabError;
use crate::output::{print_line, print_rows};
use crate::traffic;
use clap::Args;
use deckproxy_rig::judge::{FleetFigures, judge};
use deckproxy_rig::overload_judge::{self, OverloadCriteria};
use deckproxy_rig::overload_traffic;
use deckproxy_rig::plan::generator::random_faults;
use deckproxy_rig::plan::shrink::{Shrunk, shrink};
use deckproxy_rig::plan::{self, Plan};
use deckproxy_rig::run::{RunRecord, run_plan};
use deckproxy_rig::timeline;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Health checks of a member in 2 s, relative to those intended, that no run may reach.
const MOST_CHECK_RATIO: f64 = 2.0;

/// Which plan, and where its results go.
#[derive(Debug, Args)]
pub struct Options {
    /// The plan (protobuf text format; see experiments/rig-*.textproto). Without it, one is drawn from the seed.
    file: Option<PathBuf>,
    /// Seed of the traffic and, without a file, of the plan; else the plan's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of a plan that is drawn from the seed.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(10..=3600))]
    seconds: u64,
    /// A folder for the page of the run, the instances' logs and the plan.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Where a promise breaks: leave faults out while it still breaks, in at most so many runs, and write the plan that is
    /// left.
    #[arg(long, value_name = "RUNS", default_value_t = 0)]
    shrink: usize,
}

/// Runs a plan; exit code 1 where a promise broke.
///
/// # Errors
///
/// The plan is not valid, or the folder for the results takes no file.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    let plan = plan(options)?;
    // A folder that takes no file is found out before the run, not after it.
    if let Some(folder) = &options.out {
        create_folder(folder)?;
    }
    print_line!(
        "{} instances in {} zones, {} caches in each, {} requests a second for {} s",
        plan.instances,
        plan.zones,
        plan.caches,
        plan.rate,
        plan.seconds
    );
    let (run, figures) = run_once(&plan, |at, fault| print_line!("{at:7.2} s  {fault}"));
    let broken = broken_promises(&run, &figures);
    show(&run, &figures);
    for promise in &broken {
        eprintln!("broken: {promise}");
    }
    if let Some(folder) = &options.out {
        write(folder, &run, &figures).map_err(LabError::file(folder))?;
    }
    if broken.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    if options.shrink > 0 {
        shrink_plan(&plan, options);
    }
    Ok(ExitCode::FAILURE)
}

/// The plan of the file, or one drawn from the seed.
fn plan(options: &Options) -> Result<Plan, LabError> {
    let Some(path) = &options.file else {
        let seed = options.seed.unwrap_or(1);
        let mut plan = Plan { seconds: options.seconds as f64, seed, ..Plan::default() };
        plan.question = format!("Drawn from seed {seed}");
        plan.faults = random_faults(seed, &plan);
        return Ok(plan);
    };
    let bytes = std::fs::read(path).map_err(LabError::file(path))?;
    let contents = |faults| LabError::Contents { path: path.clone(), faults };
    let mut plan = plan::read(&bytes).map_err(contents)?;
    plan.seed = options.seed.unwrap_or(plan.seed);
    Ok(plan)
}

/// Creates a folder, and sees that it takes a file.
fn create_folder(folder: &Path) -> Result<(), LabError> {
    let test_file = folder.join(".decklab");
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&test_file, ""))
        .and_then(|()| std::fs::remove_file(&test_file))
        .map_err(LabError::file(folder))
}

/// Runs a plan with the traffic that it is made for, and judges the run.
fn run_once(plan: &Plan, report: impl FnMut(f64, &str)) -> (RunRecord, FleetFigures) {
    let requests =
        if plan.open_loop { overload_traffic::requests() } else { traffic::requests(0, 1, 600, 0.0, 0.06) };
    let run = run_plan(plan, &requests, report);
    let figures = judge(&run);
    (run, figures)
}

/// What broke of the promises that a run of any plan keeps.
fn broken_promises(run: &RunRecord, figures: &FleetFigures) -> Vec<String> {
    let mut broken = run.process_faults.clone();
    if !figures.verdict.holds() {
        broken.extend(figures.verdict.violations.iter().cloned());
    }
    if run.plan.fleet && figures.check_ratio_max >= MOST_CHECK_RATIO {
        broken.push(format!(
            "{:.2} times the intended health checks of a member in 2 s",
            figures.check_ratio_max
        ));
    }
    broken
}

/// Leaves faults out while a promise still breaks, and writes the plan that is left.
fn shrink_plan(plan: &Plan, options: &Options) {
    let fails = |smaller: &Plan| {
        print_line!("trying {} of {} faults", smaller.faults.len(), plan.faults.len());
        let (run, figures) = run_once(smaller, |_, _| {});
        !broken_promises(&run, &figures).is_empty()
    };
    let Shrunk { plan: smallest, runs } = shrink(plan, options.shrink, fails);
    print_line!(
        "after {runs} runs, {} of {} faults are left:\n{}",
        smallest.faults.len(),
        plan.faults.len(),
        smallest.text()
    );
    let folder = options.out.clone().unwrap_or_else(|| PathBuf::from("."));
    let path = folder.join("smallest.textproto");
    match std::fs::write(&path, smallest.text()) {
        Ok(()) => print_line!("run it again with: decklab rig {}", path.display()),
        Err(e) => eprintln!("decklab rig: {}: {e}", path.display()),
    }
}

/// Prints the figures of a run.
fn show(run: &RunRecord, figures: &FleetFigures) {
    let mut rows = Vec::from(fleet_rows(figures));
    if run.plan.open_loop {
        rows.extend(overload_rows(run));
    }
    print_rows(rows);
    if !run.plan.open_loop {
        show_instances(run);
    }
}

fn fleet_rows(figures: &FleetFigures) -> [(&'static str, String); 9] {
    let verdict = &figures.verdict;
    let FleetFigures { convergence_ms, .. } = figures;
    [
        ("requests", verdict.requests.to_string()),
        (
            "served / rejected / failed",
            format!("{} / {} / {}", verdict.served, verdict.rejected, verdict.failed),
        ),
        ("rules broken", if verdict.holds() { "none".to_string() } else { "see below".to_string() }),
        ("health checks relative to those intended", format!("{:.2}", figures.check_ratio)),
        ("the same, a member's worst 2 s", format!("{:.2}", figures.check_ratio_max)),
        ("longest time without a health check of a member, ms", format!("{:.0}", figures.coverage_gap_ms)),
        ("instances declared dead without cause", figures.false_deaths.to_string()),
        (
            "convergence of all boards, ms",
            convergence_ms.map_or("never, after one of the faults".to_string(), |ms| format!("{ms:.0}")),
        ),
        ("gossip of an instance, bytes a second", format!("{:.0}", figures.bytes_per_second)),
    ]
}

/// The figures of a run with clients in an open loop.
fn overload_rows(run: &RunRecord) -> [(&'static str, String); 8] {
    let figures = overload_judge::judge(run, OverloadCriteria::default());
    [
        ("requests / attempts", format!("{} / {}", figures.requests, figures.attempts)),
        (
            "retry amplification",
            format!("{:.2}, at caches {:.2}", figures.amplification, figures.member_amplification),
        ),
        (
            "retries relative to their budget",
            format!("{:.2}, while split {:.2}", figures.budget_ratio, figures.split_budget_ratio),
        ),
        ("rejected while one of lower priority weight was served", format!("{:.4}", figures.inversions)),
        ("Jain's index over instances", format!("{:.3}", figures.jain_index)),
        (
            "Retry-After times whose retry was served",
            format!("{} of {}", figures.served_returns, figures.returns),
        ),
        (
            "goodput before, least, after",
            format!(
                "{:.2} {:.2} {:.2}",
                figures.goodput_before, figures.goodput_trough, figures.goodput_after
            ),
        ),
        (
            "seconds until the goodput recovered",
            figures.recovery_seconds.map_or("never".to_string(), |seconds| format!("{seconds:.2}")),
        ),
    ]
}

fn show_instances(run: &RunRecord) {
    let Ok(counts) = run.counts.by_instance.lock() else { return };
    let mut counts: Vec<_> = counts.iter().collect();
    counts.sort_by_key(|(instance, _)| **instance);
    let shown: Vec<String> = counts
        .iter()
        .map(|(instance, counts)| format!("i{instance} {} of {}", counts.served, counts.requests))
        .collect();
    print_line!("served by instance: {}", shown.join(", "));
}

/// Writes the page of the run, its plan, and the logs.
fn write(folder: &Path, run: &RunRecord, figures: &FleetFigures) -> std::io::Result<()> {
    std::fs::write(folder.join("timeline.html"), timeline::page(run, figures))?;
    std::fs::write(folder.join("plan.textproto"), run.plan.text())?;
    for (i, log) in run.logs.iter().enumerate() {
        std::fs::write(folder.join(format!("i{i}.log")), log)?;
    }
    print_line!("the page of the run: {}", folder.join("timeline.html").display());
    Ok(())
}
