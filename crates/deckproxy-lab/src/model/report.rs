//! The report of an experiment: one page that needs no other file, and the points of its curves as CSV.

use super::run::Run;
use super::summary::runs_of;
use crate::error::{DrawError, LabError};
use crate::flows::plot::COLOURS;
use deckproxy_model::experiment::{Experiment, Variant};
use deckproxy_model::record::Point;
use deckproxy_model::scenario::{Fault, FaultKind};
use plotters::prelude::*;
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// The columns of a point in `points.csv`.
const FIELDS: [&str; 15] = [
    "at", "wanted", "tries", "turned", "served", "given_up", "refused", "failed", "attempts", "hits",
    "fills", "origin", "wasted", "caches", "p99",
];
/// The value of a point that a curve shows.
type Value = fn(&Point) -> f64;
/// A line of a picture: its name in the legend, and its points.
type Line = (String, Vec<(f64, f64)>);

/// Length of a point of a curve, ms: over a second, so that single steps do not jump.
const CURVE_STEP_MS: f64 = 1000.0;

/// The curves of the report, drawn over time for each variant.
const CURVES: [(&str, Value); 5] = [
    ("Share of requests that was served", |p| p.served as f64 / requests(p)),
    ("99th percentile of the time until served, ms", |p| p.p99_ms),
    ("Admitted attempts for each request", |p| {
        (p.client_attempts - p.admission_rejected) as f64 / requests(p)
    }),
    ("Fills at the origin for each request", |p| p.origin_fills as f64 / requests(p)),
    ("Wasted work for each request", |p| p.wasted as f64 / requests(p)),
];

/// Requests of clients in a step, one at least.
fn requests(point: &Point) -> f64 {
    point.requests.max(1) as f64
}

/// Writes `points.csv` and `report.html`.
///
/// # Errors
///
/// A file cannot be written, or a picture cannot be drawn.
pub fn write(
    folder: &Path,
    experiment: &Experiment,
    variants: &[Variant],
    runs: &[Run],
) -> Result<(), LabError> {
    write_points(&folder.join("points.csv"), runs)?;
    let path = folder.join("report.html");
    fs::write(&path, page(experiment, variants, runs)?).map_err(LabError::file(&path))
}

/// Writes each step of each run as a row of CSV.
fn write_points(path: &Path, runs: &[Run]) -> Result<(), LabError> {
    let csv_error = LabError::csv(path.display());
    let mut csv = csv::Writer::from_path(path).map_err(&csv_error)?;
    if runs.iter().any(|run| !run.points.is_empty()) {
        csv.write_record(["variant", "seed"].into_iter().chain(FIELDS)).map_err(&csv_error)?;
    }
    for run in runs {
        for point in &run.points {
            csv.write_record(row(run, point)?).map_err(&csv_error)?;
        }
    }
    csv.flush().map_err(LabError::file(path))
}

/// The cells of a point: its variant, its seed, its fields.
fn row(run: &Run, point: &Point) -> Result<Vec<String>, LabError> {
    let values = serde_json::to_value(point).map_err(LabError::json(&run.variant))?;
    let mut row = vec![run.variant.clone(), run.seed.to_string()];
    row.extend(FIELDS.iter().map(|field| values[field].to_string()));
    Ok(row)
}

/// The page with its pictures.
fn page(experiment: &Experiment, variants: &[Variant], runs: &[Run]) -> Result<String, LabError> {
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;max-width:1100px;\
         margin:2em auto}}svg{{width:100%;height:auto}}</style><h1>{0}</h1>",
        escape(if experiment.question.is_empty() { "Experiment" } else { &experiment.question })
    );
    let seed = runs.first().map_or(1, |run| run.seed);
    let _ = write!(page, "<p>Curves are of seed {seed}. Grey: a fault.</p>");
    let shown: Vec<&Run> = variants
        .iter()
        .filter_map(|variant| runs_of(runs, &variant.name).find(|run| run.seed == seed))
        .collect();
    let first = &variants[0].scenario;
    for (title, value) in CURVES {
        let lines: Vec<Line> = shown.iter().map(|run| curve(run, value)).collect();
        page += &picture(title, "seconds", &lines, &first.faults)?;
    }
    let loads: Vec<Line> = shown.iter().map(|run| cache_loads(run)).collect();
    page += &picture("Requests at each cache, the busiest first", "share of the caches", &loads, &[])?;
    Ok(page)
}

/// A value over time, a point a second.
fn curve(run: &Run, value: Value) -> Line {
    let steps = ((CURVE_STEP_MS / run.scenario.record_interval_ms).round() as usize).max(1);
    let point = |chunk: &[Point]| {
        (chunk[0].start_ms / 1000.0, chunk.iter().map(value).sum::<f64>() / chunk.len() as f64)
    };
    (run.variant.clone(), run.points.chunks(steps).map(point).collect())
}

/// The caches' requests in descending order, over the share of the caches.
fn cache_loads(run: &Run) -> Line {
    let mut sorted = run.per_cache.clone();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    let count = sorted.len().max(1) as f64;
    let points = sorted.iter().enumerate().map(|(i, requests)| (i as f64 / count, *requests as f64));
    (run.variant.clone(), points.collect())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;")
}

/// A picture as SVG, with the times of faults in grey.
fn picture(title: &str, x_label: &str, lines: &[Line], faults: &[Fault]) -> Result<String, LabError> {
    let mut svg = String::new();
    draw(&mut svg, title, x_label, lines, faults).map_err(LabError::picture(title))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    x_label: &str,
    lines: &[Line],
    faults: &[Fault],
) -> Result<(), DrawError> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let top = points().map(|p| p.1).filter(|y| y.is_finite()).fold(0.0, f64::max).max(1e-9) * 1.05;
    let area = SVGBackend::with_string(svg, (1100, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .margin_right(240)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().disable_x_mesh().light_line_style(TRANSPARENT).x_desc(x_label).draw()?;
    for fault in faults {
        let (from, to) = (fault.start_ms / 1000.0, (fault.start_ms + fault.duration_ms) / 1000.0);
        let grey = RGBColor(225, 225, 225).mix(0.7).filled();
        chart.draw_series([Rectangle::new([(from, 0.0), (to.min(right), top)], grey)])?;
        let label = Text::new(fault_label(&fault.kind), (from, top * 0.98), ("sans-serif", 11));
        chart.draw_series([label])?;
    }
    for (row, (i, (name, points))) in (0..).zip(lines.iter().enumerate()) {
        let colour = COLOURS[i % COLOURS.len()];
        chart.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?;
        let y = 50 + 20 * row;
        area.draw(&Rectangle::new([(880, y), (892, y + 12)], colour.filled()))?;
        area.draw(&Text::new(name.clone(), (898, y + 1), ("sans-serif", 13)))?;
    }
    area.present()
}

/// A fault's label in a picture.
fn fault_label(kind: &FaultKind) -> String {
    match kind {
        FaultKind::Crash { share } => format!("{share} of caches crash"),
        FaultKind::Hang { share } => format!("{share} of caches hang"),
        FaultKind::Slow { share, slowdown } => format!("{share} of caches {slowdown} times slower"),
        FaultKind::Gray { share, error_share } => format!("{share} of caches fail {error_share}"),
        FaultKind::SiteLoss { site } => format!("site {site} lost"),
        FaultKind::SlowOrigin { slowdown } => format!("origin {slowdown} times slower"),
        FaultKind::GatewayRestarts => "gateways restart".to_string(),
        FaultKind::FlashCrowd { load_factor, .. } => format!("{load_factor} times the load"),
        FaultKind::SilentFeed => "feed silent".to_string(),
        FaultKind::FrozenReports => "reports frozen".to_string(),
        FaultKind::LinkFlap { .. } => "links flap".to_string(),
    }
}
