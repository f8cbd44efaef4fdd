//! `decklab drill`: the hard cases of a subsystem, and what independent checkers counted in them.

mod fleet;
mod flows;
mod overload;
mod promises;
mod recovery;
mod sites;

use crate::COULD_NOT_RUN;
use crate::error::LabError;
use crate::output::{print_line, print_rows};
use clap::{Args, ValueEnum};
use deckproxy_standins::rules::Verdict;
use serde_json::{Value, json};
use std::process::ExitCode;

/// Seconds that any drill takes at least.
const LEAST_SECONDS: u64 = 4;

/// Which drill, and how.
#[derive(Debug, Args)]
pub struct Options {
    /// The drill.
    #[arg(value_enum)]
    name: Name,
    /// Seed of traffic and faults; the promises hold for any.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds of traffic.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(LEAST_SECONDS..=3600))]
    seconds: u64,
    /// End with one JSON object on a line.
    #[arg(long)]
    json: bool,
    /// Break a promise on purpose in what the checkers are given: the drill must object.
    #[arg(long, value_enum, hide = true)]
    spoil: Option<Spoil>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Name {
    /// Two sites whose link is cut, purges on both sides, drains, restarts.
    Sites,
    /// Flow export: collectors killed, stalled, exchanged; clients that hang up.
    Flows,
    /// Instances of one fleet: killed, paused, restarted, split, also in one direction; who checks which caches, and who serves.
    Fleet,
    /// Overload of a fleet: three times the traffic, a slow origin, instances killed, a split; with load shedding by the
    /// fleet, by each instance, and without.
    Overload,
    /// Recovery from a retry storm: an origin that is slow for a while, with recovery on, off, and off with clients that
    /// retry at once.
    Recovery,
}

/// A violation that is put into a record, for the drill to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Spoil {
    /// An answer from a copy older than a purge of long before.
    Stale,
    /// A second attempt at the same time as the first.
    Attempt,
    /// An effect that is applied twice.
    Effect,
    /// An answer that never came.
    Answer,
    /// A flow that was not exported to a collector.
    Record,
    /// Health checks of one member by every instance.
    Probes,
    /// A member without health checks for a while.
    Coverage,
    /// An instance whose board differs from that of the others.
    Board,
}

/// What a drill found.
pub struct Report {
    verdict: Verdict,
    /// Further figures.
    figures: Value,
    /// Promises that broke, in addition to the rules.
    broken: Vec<String>,
}

impl Name {
    /// The name on the command line.
    fn text(self) -> &'static str {
        match self {
            Name::Sites => "sites",
            Name::Flows => "flows",
            Name::Fleet => "fleet",
            Name::Overload => "overload",
            Name::Recovery => "recovery",
        }
    }

    /// The least seconds that the drill takes, and what they are needed for.
    fn least_seconds(self) -> (u64, &'static str) {
        match self {
            Name::Sites | Name::Flows => (LEAST_SECONDS, "a cut and a restart"),
            Name::Fleet => (fleet::LEAST_SECONDS, "each fault once, and time to converge after it"),
            Name::Overload => (overload::LEAST_SECONDS, "each fault once, and time to recover from it"),
            Name::Recovery => (recovery::LEAST_SECONDS, "a calm time before the fault to compare with"),
        }
    }

    /// The faults that can be put into the record of this drill: those that its checkers look for.
    fn spoils(self) -> &'static [Spoil] {
        match self {
            Name::Sites => &[Spoil::Stale, Spoil::Attempt, Spoil::Effect, Spoil::Answer],
            Name::Flows => &[Spoil::Record],
            Name::Fleet => &[Spoil::Probes, Spoil::Coverage, Spoil::Board, Spoil::Answer, Spoil::Effect],
            Name::Overload => &[Spoil::Attempt, Spoil::Answer],
            Name::Recovery => &[Spoil::Attempt],
        }
    }
}

/// Whether the options fit the drill: it runs long enough, and has a checker for what is to be spoilt.
fn check(options: &Options) -> Result<(), LabError> {
    let name = options.name.text();
    let (least, needed_for) = options.name.least_seconds();
    if options.seconds < least {
        let fault = format!(
            "{} is too short: the drill of {name} takes {least} seconds at least, for {needed_for}",
            options.seconds
        );
        return Err(LabError::argument("--seconds", fault));
    }
    match options.spoil {
        Some(spoil) if !options.name.spoils().contains(&spoil) => {
            let fault = format!("the drill of {name} has no checker for {spoil:?}");
            Err(LabError::argument("--spoil", fault.to_lowercase()))
        }
        _ => Ok(()),
    }
}

/// Runs a drill and prints its figures: exit code 1 where a promise broke, 2 where it could not run.
///
/// # Errors
///
/// The options do not fit the drill.
pub fn run(options: &Options) -> Result<ExitCode, LabError> {
    check(options)?;
    let outcome = std::panic::catch_unwind(|| match options.name {
        Name::Sites => sites::run(options),
        Name::Flows => flows::run(options),
        Name::Recovery => recovery::run(options),
        Name::Fleet => fleet::run(options),
        Name::Overload => overload::run(options),
    });
    let Ok(report) = outcome else {
        eprintln!("the drill could not run");
        return Ok(ExitCode::from(COULD_NOT_RUN));
    };
    for violation in report.verdict.violations.iter().chain(&report.broken) {
        eprintln!("broken: {violation}");
    }
    let ok = report.verdict.holds() && report.broken.is_empty();
    print_figures(all_figures(options, report, ok), options.json);
    Ok(if ok { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The figures that all drills have, those of the drill itself, and whether its promises held. The keys are documented.
fn all_figures(options: &Options, report: Report, ok: bool) -> Value {
    let verdict = &report.verdict;
    let mut all = json!({
        "drill": options.name.text(), "seed": options.seed, "seconds": options.seconds,
        "requests": verdict.requests, "crossed": verdict.cross_site, "served": verdict.served,
        "refused": verdict.rejected, "failed": verdict.failed,
        "killed": verdict.killed, "unanswered": verdict.unanswered, "double_answers": verdict.double_answers,
        "double_attempts": verdict.double_attempts, "double_effects": verdict.double_effects,
        "stale_after_purge": verdict.stale_after_purge, "sends_after_drain": verdict.sends_after_drain,
        "wrong_bodies": verdict.wrong_bodies, "late": verdict.late_answers, "cuts": verdict.link_cuts,
        "purges": verdict.purges,
        "home_share": round(verdict.home_served_share), "crossed_share": round(verdict.cross_site_served_share),
        "home_p50_ms": round(verdict.home_latencies.quantile(0.5)), "home_p99_ms": round(verdict.home_latencies.quantile(0.99)),
        "crossed_p50_ms": round(verdict.cross_site_latencies.quantile(0.5)), "crossed_p99_ms": round(verdict.cross_site_latencies.quantile(0.99)),
    });
    if let (Value::Object(all), Value::Object(own)) = (&mut all, report.figures) {
        all.extend(own);
    }
    all["ok"] = ok.into();
    all
}

/// Prints the figures as one JSON object on a line, or as a table.
fn print_figures(figures: Value, as_json: bool) {
    match figures {
        Value::Object(figures) if !as_json => {
            print_rows(figures.into_iter().map(|(name, value)| (name, value.to_string())));
        }
        figures => print_line!("{figures}"),
    }
}

/// To thousandths.
fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}
