//! `decklab rig`: a plan played on several processes of the gateway.

use crate::error::LabError;
use crate::output::print_line;
use crate::traffic;
use clap::Args;
use comfy_table::Table;
use deckproxy_rig::judge::{Figures, judge};
use deckproxy_rig::overloaded;
use deckproxy_rig::plan::{self, Plan};
use deckproxy_rig::play::{Played, play};
use deckproxy_rig::shrink::shrink;
use deckproxy_rig::{draw, timeline};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Which plan, and what becomes of it.
#[derive(Debug, Args)]
pub struct Options {
    /// The plan (protobuf text format; see experiments/rig-*.textproto). Left out: one is drawn from the seed.
    file: Option<PathBuf>,
    /// Seed of the traffic and, without a file, of the plan; else the plan's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of a plan that is drawn.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(10..=3600))]
    seconds: u64,
    /// A folder for the page of the run, the instances' logs and the plan.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Where a promise breaks: leave faults out while it still does, in so many runs at most, and write the plan that is
    /// left.
    #[arg(long, value_name = "RUNS", default_value_t = 0)]
    shrink: usize,
}

/// Promises that a run of any plan keeps.
fn broken(played: &Played, f: &Figures) -> Vec<String> {
    let mut out = played.wrongs.clone();
    out.extend(f.verdict.violations.iter().filter(|_| !f.verdict.holds()).cloned());
    if played.plan.fleet && f.probe_ratio_max >= 2.0 {
        out.push(format!("{:.2} times the intended probes of a member in 2 s", f.probe_ratio_max));
    }
    out
}

/// The plan of the file, or one drawn from the seed.
fn plan(options: &Options) -> Result<Plan, LabError> {
    let Some(path) = &options.file else {
        let seed = options.seed.unwrap_or(1);
        let mut plan = Plan { seconds: options.seconds as f64, seed, ..Plan::default() };
        plan.question = format!("Drawn from seed {seed}");
        plan.faults = draw::any(seed, &plan);
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
    let probe = folder.join(".decklab");
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&probe, ""))
        .and_then(|()| std::fs::remove_file(&probe))
        .map_err(LabError::file(folder))
}

/// Plays it.
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
    let (played, figures) = once(&plan, true);
    let broken = broken(&played, &figures);
    show(&played, &figures);
    broken.iter().for_each(|what| eprintln!("broken: {what}"));
    if let Some(folder) = &options.out {
        write(folder, &played, &figures).map_err(LabError::file(folder))?;
    }
    if broken.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    if options.shrink > 0 {
        let breaks = |smaller: &Plan| {
            print_line!("without some: {} of {} faults", smaller.faults.len(), plan.faults.len());
            let (played, figures) = once(smaller, false);
            !self::broken(&played, &figures).is_empty()
        };
        let (small, played) = shrink(&plan, options.shrink, breaks);
        print_line!(
            "after {played} runs, {} of {} faults are left:\n{}",
            small.faults.len(),
            plan.faults.len(),
            small.text()
        );
        let folder = options.out.clone().unwrap_or_else(|| PathBuf::from("."));
        let path = folder.join("smallest.textproto");
        match std::fs::write(&path, small.text()) {
            Ok(()) => print_line!("plays again by: decklab rig {}", path.display()),
            Err(e) => eprintln!("decklab rig: {}: {e}", path.display()),
        }
    }
    Ok(ExitCode::FAILURE)
}

fn once(plan: &Plan, aloud: bool) -> (Played, Figures) {
    let draw = if plan.throng { overloaded::draw() } else { traffic::requests(0, 1, 600, 0.0, 0.06) };
    let played = play(plan, &draw, |at, what| {
        if aloud {
            print_line!("{at:7.2} s  {what}");
        }
    });
    let figures = judge(&played);
    (played, figures)
}

fn show(played: &Played, f: &Figures) {
    let v = &f.verdict;
    let mut table = Table::new();
    table.set_header(["", ""]);
    let rows = [
        ("requests", v.requests.to_string()),
        ("served / refused / failed", format!("{} / {} / {}", v.served, v.rejected, v.failed)),
        ("rules broken", if v.holds() { "none".to_string() } else { "see below".to_string() }),
        ("probes beside those intended", format!("{:.2}", f.probe_ratio)),
        ("the same, worst 2 s of a member", format!("{:.2}", f.probe_ratio_max)),
        ("longest time without a probe, ms", format!("{:.0}", f.coverage_gap)),
        ("taken for gone without cause", f.false_dead.to_string()),
        (
            "until all had the same board, ms",
            f.converge.map_or("never, after one of the faults".to_string(), |ms| format!("{ms:.0}")),
        ),
        ("bytes a second of an instance", format!("{:.0}", f.bytes)),
    ];
    for (name, value) in rows {
        table.add_row([name.to_string(), value]);
    }
    if played.plan.throng {
        overload(played, &mut table);
    }
    print_line!("{table}");
    if played.plan.throng {
        return;
    }
    let by = played.counts.by_instance.lock().expect("the run is over");
    let mut by: Vec<_> = by.iter().collect();
    by.sort();
    let by: Vec<String> = by.iter().map(|(i, [asked, got])| format!("i{i} {got} of {asked}")).collect();
    print_line!("served by instance: {}", by.join(", "));
}

/// What came of a throng.
fn overload(played: &Played, table: &mut Table) {
    let f = overloaded::judge(played, overloaded::terms());
    let rows = [
        ("wishes / tries of them", format!("{} / {}", f.firsts, f.tries)),
        (
            "work for a first try beside the calm time's",
            format!("{:.2}, at members {:.2}", f.amplification, f.attempts),
        ),
        ("repeats beside their budget", format!("{:.2}, while split {:.2}", f.budget, f.budget_split)),
        ("refused while one of less worth was served", format!("{:.4}", f.inversions)),
        ("Jain's index over instances", format!("{:.3}", f.jain)),
        ("times to come back that came true", format!("{} of {}", f.kept, f.promises)),
        ("served in time before, least, after", format!("{:.2} {:.2} {:.2}", f.before, f.trough, f.after)),
        ("seconds until that was back", f.seconds.map_or("never".to_string(), |s| format!("{s:.2}"))),
    ];
    for (name, value) in rows {
        table.add_row([name.to_string(), value]);
    }
}

fn write(folder: &Path, played: &Played, figures: &Figures) -> std::io::Result<()> {
    std::fs::write(folder.join("timeline.html"), timeline::page(played, figures))?;
    std::fs::write(folder.join("plan.textproto"), played.plan.text())?;
    for (i, log) in played.logs.iter().enumerate() {
        std::fs::write(folder.join(format!("i{i}.log")), log)?;
    }
    print_line!("the page of the run: {}", folder.join("timeline.html").display());
    Ok(())
}
