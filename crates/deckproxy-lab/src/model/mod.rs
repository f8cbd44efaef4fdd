//! `decklab model`: experiments on the model of sites.

mod report;

use crate::error::LabError;
use crate::output::print_line;
use clap::Args;
use comfy_table::Table;
use deckproxy_model::file::{self, Experiment};
use deckproxy_model::record::{Record, Recovery};
use deckproxy_model::scenario::{Scenario, What};
use deckproxy_model::world::World;
use indicatif::{ProgressBar, ProgressStyle};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

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

/// What one run came to, as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Run {
    variant: String,
    seed: u64,
    /// The scenario as it was run: a record of another one is not taken for it.
    scenario: Scenario,
    requests: u64,
    served: f64,
    before: f64,
    trough: f64,
    after: f64,
    amplification: f64,
    seconds_to_recover: Option<f64>,
    p50: f64,
    p99: f64,
    rule_breaks: u64,
    first_break: Option<String>,
    events: u64,
    took: f64,
    per_cache: Vec<u64>,
    points: Vec<deckproxy_model::record::Point>,
}

/// From when until when something is wrong, ms; the whole run where nothing is.
fn cause(set: &Scenario) -> (f64, f64) {
    let spans = set.faults.iter().map(|f| (f.at, f.at + f.lasts));
    spans.reduce(|a, b| (a.0.min(b.0), a.1.max(b.1))).unwrap_or((set.seconds * 250.0, set.seconds * 250.0))
}

impl Run {
    fn of(variant: &str, scenario: Scenario, record: Record) -> Self {
        let (from, to) = cause(&scenario);
        let Recovery { before, trough, after, seconds, amplification } = record.recovery(from, to);
        let wanted = record.sum(|p| p.wanted);
        Run {
            variant: variant.to_string(),
            seed: scenario.seed,
            scenario,
            requests: wanted,
            served: record.sum(|p| p.served) as f64 / wanted.max(1) as f64,
            before,
            trough,
            after,
            amplification,
            seconds_to_recover: seconds,
            p50: record.p50,
            p99: record.p99,
            rule_breaks: record.breaches.all() + record.broken_inside,
            first_break: record.first,
            events: record.events,
            took: record.took,
            per_cache: record.per_cache,
            points: record.points,
        }
    }

    /// Not back within three times the cause's length, or 20 s, whichever is more.
    fn is_stuck(&self) -> bool {
        let (from, to) = cause(&self.scenario);
        let most = ((to - from) * 3.0 / 1000.0).max(20.0);
        self.seconds_to_recover.is_none_or(|s| s > most)
    }
}

/// Runs it.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    Ok(if experiment(options)? { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// The variants, each with each value that is swept.
fn variants(experiment: &Experiment, sweep: Option<&str>) -> Result<Vec<(String, Scenario)>, LabError> {
    let fault = |what: String| LabError::argument("--sweep", what);
    let Some(sweep) = sweep else { return Ok(experiment.variants.clone()) };
    let (field, values) = sweep.split_once('=').ok_or_else(|| fault("FIELD=VALUES is wanted".to_string()))?;
    let pointer = format!("/{}", field.replace('.', "/"));
    let mut all = Vec::new();
    for (name, set) in &experiment.variants {
        for value in values.split(',') {
            let mut json = serde_json::to_value(set).map_err(|e| fault(e.to_string()))?;
            let place =
                json.pointer_mut(&pointer).ok_or_else(|| fault(format!("there is no field {field}")))?;
            *place = serde_json::from_str(value).map_err(|_| fault(format!("{value:?} is no value")))?;
            let set: Scenario =
                serde_json::from_value(json).map_err(|e| fault(format!("{field}={value}: {e}")))?;
            if let Some((field, what)) = set.faults_of().first() {
                return Err(fault(format!("{field}: {what}")));
            }
            all.push((format!("{name} {field}={value}"), set));
        }
    }
    Ok(all)
}

fn stored(folder: &Path, name: &str, set: &Scenario) -> Option<Run> {
    let run: Run = serde_json::from_slice(&fs::read(path(folder, name, set.seed)).ok()?).ok()?;
    (run.scenario == *set && run.variant == name).then_some(run)
}

fn path(folder: &Path, name: &str, seed: u64) -> PathBuf {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    folder.join(format!("run-{plain}-{seed}.json"))
}

fn experiment(options: &Options) -> Result<bool, LabError> {
    if options.defaults {
        print_line!(
            "{}",
            serde_json::to_string_pretty(&Scenario::default())
                .map_err(|e| LabError::output("--defaults", e))?
        );
        return Ok(true);
    }
    let file =
        options.file.as_ref().ok_or_else(|| LabError::argument("FILE", "an experiment's file is wanted"))?;
    let bytes = fs::read(file).map_err(LabError::file(file))?;
    let contents = |faults| LabError::Contents { path: file.clone(), faults };
    let experiment = file::read(&bytes).map_err(contents)?;
    let last_seed = options.seed.checked_add(options.seeds - 1).ok_or_else(|| {
        LabError::argument(
            "--seed",
            format!("{} seeds from {} on are more than there are", options.seeds, options.seed),
        )
    })?;
    let variants = variants(&experiment, options.sweep.as_deref())?;
    if let Some(out) = &options.out {
        fs::create_dir_all(out).map_err(LabError::file(out))?;
        // All that is needed to play it again.
        fs::write(out.join("experiment.textproto"), &bytes).map_err(LabError::file(out))?;
    }
    let plan: Vec<(String, Scenario)> = variants
        .iter()
        .flat_map(|(name, set)| {
            let seeds = options.seed..=last_seed;
            seeds.map(|seed| (name.clone(), Scenario { seed, ..set.clone() }))
        })
        .collect();
    let bar = ProgressBar::new(plan.len() as u64 * 100);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {percent}% {msg} {eta} left") {
        bar.set_style(style);
    }
    // Each run has its own random numbers: in parallel they come to the same as in a row.
    let runs: Result<Vec<Run>, LabError> = plan
        .par_iter()
        .map(|(name, set)| {
            if let Some(run) = options.out.as_ref().and_then(|out| stored(out, name, set)) {
                bar.inc(100);
                return Ok(run);
            }
            let mut done = 0;
            let record = World::new(set).run(|share| {
                let now = (share * 100.0) as u64;
                bar.inc(now.saturating_sub(done));
                done = done.max(now);
            });
            bar.inc(100 - done.min(100));
            let run = Run::of(name, set.clone(), record);
            if let Some(out) = &options.out {
                let text = serde_json::to_vec(&run).map_err(|e| LabError::output(name, e))?;
                let to = path(out, name, set.seed);
                // A run that was cut off leaves no half of a record.
                let part = to.with_extension("part");
                fs::write(&part, text).and_then(|()| fs::rename(&part, &to)).map_err(LabError::file(&to))?;
            }
            Ok(run)
        })
        .collect();
    bar.finish_and_clear();
    let runs = runs?;
    show(&experiment, &variants, &runs);
    if let Some(out) = &options.out {
        report::write(out, &experiment, &variants, &runs)?;
        print_line!("records and report.html are in {}", out.display());
    }
    for run in runs.iter().filter(|r| r.rule_breaks > 0 && is_gateway(&r.scenario)).take(3) {
        let first = run.first_break.as_deref().unwrap_or("a check of its own");
        eprintln!("broken: {}, seed {}: {first}", run.variant, run.seed);
    }
    let ok = runs.iter().filter(|r| is_gateway(&r.scenario)).all(|r| r.rule_breaks == 0 && !r.is_stuck());
    if options.json {
        print_line!("{}", summary(&variants, &runs, ok));
    }
    Ok(ok)
}

/// Whether a promise is made for it: baselines may break what they like.
fn is_gateway(set: &Scenario) -> bool {
    use deckproxy_model::scenario::Host;
    matches!(set.host, Host::Gateway | Host::Recovery)
}

fn of<'a>(runs: &'a [Run], name: &'a str) -> impl Iterator<Item = &'a Run> + Clone {
    runs.iter().filter(move |r| r.variant == name)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(s, n), v| (s + v, n + 1));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

/// The mean difference to the first variant, paired by seed, and the interval that holds 95 of 100 resamplings of it
/// (bootstrap).
fn difference(runs: &[Run], first: &str, name: &str, value: fn(&Run) -> f64) -> (f64, f64, f64) {
    let pairs: Vec<f64> = of(runs, name)
        .filter_map(|run| Some(value(run) - value(of(runs, first).find(|r| r.seed == run.seed)?)))
        .collect();
    if pairs.is_empty() {
        return (0.0, 0.0, 0.0);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut means: Vec<f64> =
        (0..1000).map(|_| mean((0..pairs.len()).map(|_| pairs[rng.random_range(0..pairs.len())]))).collect();
    means.sort_by(f64::total_cmp);
    (mean(pairs.iter().copied()), means[25], means[974])
}

fn show(experiment: &Experiment, variants: &[(String, Scenario)], runs: &[Run]) {
    if !experiment.question.is_empty() {
        print_line!("{}", experiment.question);
    }
    let mut table = Table::new();
    table.set_header([
        "variant",
        "served",
        "beside the first (95%)",
        "before",
        "trough",
        "after",
        "s to recover",
        "stuck",
        "amplification",
        "p50 / p99 ms",
        "rule breaks",
    ]);
    let first = &variants[0].0;
    for (name, _) in variants {
        let all = || of(runs, name);
        let (d, low, high) = difference(runs, first, name, |r| r.served);
        let back = all().filter_map(|r| r.seconds_to_recover).fold(0.0, f64::max);
        table.add_row([
            name.clone(),
            format!("{:.4}", mean(all().map(|r| r.served))),
            if name == first { String::new() } else { format!("{d:+.4} ({low:+.4} to {high:+.4})") },
            format!("{:.3}", mean(all().map(|r| r.before))),
            format!("{:.3}", mean(all().map(|r| r.trough))),
            format!("{:.3}", mean(all().map(|r| r.after))),
            format!("{back:.1}"),
            format!("{} of {}", all().filter(|r| r.is_stuck()).count(), all().count()),
            format!("{:.2}", all().map(|r| r.amplification).fold(0.0, f64::max)),
            format!("{:.0} / {:.0}", mean(all().map(|r| r.p50)), mean(all().map(|r| r.p99))),
            all().map(|r| r.rule_breaks).sum::<u64>().to_string(),
        ]);
    }
    print_line!("{table}");
    let (events, took) = runs.iter().fold((0, 0.0), |s, r| (s.0 + r.events, s.1 + r.took));
    let simulated: f64 = runs.iter().map(|r| r.scenario.seconds).sum();
    print_line!(
        "{events} events, {:.2} million a second of one core, {:.2} s of it for a simulated second; what sites, troughs and \
         times are is in docs/operators/model.md",
        events as f64 / took.max(1e-9) / 1e6,
        took / simulated.max(1e-9)
    );
}

fn summary(variants: &[(String, Scenario)], runs: &[Run], ok: bool) -> serde_json::Value {
    let each: serde_json::Map<String, serde_json::Value> = variants
        .iter()
        .map(|(name, _)| {
            let all = || of(runs, name);
            let back = all().filter_map(|r| r.seconds_to_recover).fold(0.0, f64::max);
            let value = json!({
                "requests": all().map(|r| r.requests).sum::<u64>(), "served": mean(all().map(|r| r.served)),
                "amplification": all().map(|r| r.amplification).fold(0.0, f64::max),
                "goodput_before": mean(all().map(|r| r.before)), "goodput_trough": mean(all().map(|r| r.trough)),
                "goodput_after": mean(all().map(|r| r.after)), "seconds_to_recover": back,
                "stuck": all().filter(|r| r.is_stuck()).count(), "runs": all().count(),
                "rule_breaks": all().map(|r| r.rule_breaks).sum::<u64>(),
            });
            (name.clone(), value)
        })
        .collect();
    json!({"variants": each, "ok": ok})
}

/// What goes wrong, in a word.
fn word(what: &What) -> String {
    match what {
        What::Crash { share } => format!("{share} of caches crash"),
        What::Hang { share } => format!("{share} of caches hang"),
        What::Slow { share, times } => format!("{share} of caches {times} times slower"),
        What::Gray { share, fails } => format!("{share} of caches fail {fails}"),
        What::Site { site } => format!("site {site} lost"),
        What::Origin { times } => format!("origin {times} times slower"),
        What::Gateways => "gateways restart".to_string(),
        What::Flash { times, .. } => format!("{times} times the load"),
        What::Feed => "feed silent".to_string(),
        What::Reports => "reports frozen".to_string(),
        What::Flap { .. } => "links flap".to_string(),
    }
}
