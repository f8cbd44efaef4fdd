//! The results of an experiment by variant: a table for people, a JSON object for programs.

use super::run::Run;
use crate::output::print_line;
use comfy_table::Table;
use deckproxy_model::experiment::Variant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Map, Value, json};

/// Resamplings of the differences for the interval of their mean.
const RESAMPLINGS: usize = 1000;
/// Places of the interval's ends among the sorted means: 95 of 100 lie between them.
const INTERVAL: (usize, usize) = (25, 974);

/// A mean difference, and the interval that holds 95 of 100 resamplings of it (bootstrap).
#[derive(Clone, Copy, Debug, Default)]
struct Difference {
    mean: f64,
    low: f64,
    high: f64,
}

/// The runs of a variant.
pub fn runs_of<'a>(runs: &'a [Run], variant: &'a str) -> impl Iterator<Item = &'a Run> + Clone {
    runs.iter().filter(move |run| run.variant == variant)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

fn largest(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}

/// The difference of a value to that of the first variant, paired by seed.
fn difference(runs: &[Run], first: &str, variant: &str, value: fn(&Run) -> f64) -> Difference {
    let differences: Vec<f64> = runs_of(runs, variant)
        .filter_map(|run| Some(value(run) - value(runs_of(runs, first).find(|r| r.seed == run.seed)?)))
        .collect();
    if differences.is_empty() {
        return Difference::default();
    }
    let count = differences.len();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut means: Vec<f64> =
        (0..RESAMPLINGS).map(|_| mean((0..count).map(|_| differences[rng.random_range(0..count)]))).collect();
    means.sort_by(f64::total_cmp);
    Difference { mean: mean(differences.iter().copied()), low: means[INTERVAL.0], high: means[INTERVAL.1] }
}

/// Prints the table of the variants, and the cost of the simulation.
pub fn print(question: &str, variants: &[Variant], runs: &[Run]) {
    if !question.is_empty() {
        print_line!("{question}");
    }
    let mut table = Table::new();
    table.set_header([
        "variant",
        "served",
        "relative to the first (95%)",
        "before",
        "trough",
        "after",
        "s to recover",
        "stuck",
        "amplification",
        "p50 / p99 ms",
        "rule breaks",
    ]);
    let first = &variants[0].name;
    for Variant { name, .. } in variants {
        table.add_row(row(runs, first, name));
    }
    print_line!("{table}");
    let events: u64 = runs.iter().map(|run| run.events).sum();
    let took = runs.iter().fold(0.0, |sum, run| sum + run.took);
    let simulated: f64 = runs.iter().map(|run| run.scenario.duration_seconds).sum();
    print_line!(
        "{events} events, {:.2} million a second of one core, {:.2} s of it for a simulated second; what sites, troughs and \
         times are is in docs/operators/model.md",
        events as f64 / took.max(1e-9) / 1e6,
        took / simulated.max(1e-9)
    );
}

fn row(runs: &[Run], first: &str, variant: &str) -> [String; 11] {
    let all = || runs_of(runs, variant);
    let Difference { mean: served, low, high } = difference(runs, first, variant, |run| run.served);
    let recovery = largest(all().filter_map(|run| run.seconds_to_recover));
    let stuck = all().filter(|run| run.is_stuck()).count();
    [
        variant.to_string(),
        format!("{:.4}", mean(all().map(|run| run.served))),
        if variant == first { String::new() } else { format!("{served:+.4} ({low:+.4} to {high:+.4})") },
        format!("{:.3}", mean(all().map(|run| run.before))),
        format!("{:.3}", mean(all().map(|run| run.trough))),
        format!("{:.3}", mean(all().map(|run| run.after))),
        format!("{recovery:.1}"),
        format!("{stuck} of {}", all().count()),
        format!("{:.2}", largest(all().map(|run| run.amplification))),
        format!("{:.0} / {:.0}", mean(all().map(|run| run.p50)), mean(all().map(|run| run.p99))),
        all().map(|run| run.rule_breaks).sum::<u64>().to_string(),
    ]
}

/// The same figures as a JSON object.
pub fn json(variants: &[Variant], runs: &[Run], ok: bool) -> Value {
    let each = variants.iter().map(|variant| (variant.name.clone(), figures(runs, &variant.name)));
    let each: Map<String, Value> = each.collect();
    json!({"variants": each, "ok": ok})
}

fn figures(runs: &[Run], variant: &str) -> Value {
    let all = || runs_of(runs, variant);
    json!({
        "requests": all().map(|run| run.requests).sum::<u64>(),
        "served": mean(all().map(|run| run.served)),
        "amplification": largest(all().map(|run| run.amplification)),
        "goodput_before": mean(all().map(|run| run.before)),
        "goodput_trough": mean(all().map(|run| run.trough)),
        "goodput_after": mean(all().map(|run| run.after)),
        "seconds_to_recover": largest(all().filter_map(|run| run.seconds_to_recover)),
        "stuck": all().filter(|run| run.is_stuck()).count(),
        "runs": all().count(),
        "rule_breaks": all().map(|run| run.rule_breaks).sum::<u64>(),
    })
}
