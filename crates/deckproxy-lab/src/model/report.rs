//! A folder's report: one page that needs nothing beside it.

use super::{Run, of, word};
use crate::error::LabError;
use crate::flows::plot::COLOURS;
use deckproxy_model::file::Experiment;
use deckproxy_model::record::Point;
use deckproxy_model::scenario::Scenario;
use plotters::prelude::*;
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// The columns of a point.
const FIELDS: [&str; 15] = [
    "at", "wanted", "tries", "turned", "served", "given_up", "refused", "failed", "attempts", "hits",
    "fills", "origin", "wasted", "caches", "p99",
];
/// What is drawn of a point.
type Value = fn(&Point) -> f64;
/// A line of a picture.
type Line = (String, Vec<(f64, f64)>);

/// Writes the CSV of points and `report.html`.
pub fn write(
    folder: &Path,
    experiment: &Experiment,
    variants: &[(String, Scenario)],
    runs: &[Run],
) -> Result<(), LabError> {
    let failed = |e: &dyn std::fmt::Display| LabError::output(folder.display(), e);
    let mut csv = csv::Writer::from_path(folder.join("points.csv")).map_err(|e| failed(&e))?;
    let mut is_first = true;
    for run in runs {
        for point in &run.points {
            if is_first {
                csv.write_record(["variant", "seed"].into_iter().chain(FIELDS)).map_err(|e| failed(&e))?;
                is_first = false;
            }
            let values = serde_json::to_value(point).map_err(|e| failed(&e))?;
            let own = [run.variant.clone(), run.seed.to_string()];
            let row = own.into_iter().chain(FIELDS.iter().map(|f| values[f].to_string()));
            csv.write_record(row).map_err(|e| failed(&e))?;
        }
    }
    csv.flush().map_err(|e| failed(&e))?;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;max-width:1100px;\
         margin:2em auto}}svg{{width:100%;height:auto}}</style><h1>{0}</h1>",
        escape(if experiment.question.is_empty() { "Experiment" } else { &experiment.question })
    );
    let first = runs.first().map_or(1, |r| r.seed);
    let _ = write!(page, "<p>Curves are of seed {first}. Grey: something is wrong.</p>");
    let curves: [(&str, Value); 5] = [
        ("Share of what clients wanted that was served", |p| p.served as f64 / p.wanted.max(1) as f64),
        ("99th percentile of the time until served, ms", |p| p.p99),
        ("Tries that passed the door, for each that was wanted", |p| {
            (p.tries - p.turned) as f64 / p.wanted.max(1) as f64
        }),
        ("Fills at the origin, for each that was wanted", |p| p.origin as f64 / p.wanted.max(1) as f64),
        ("Work done for nobody, for each that was wanted", |p| p.wasted as f64 / p.wanted.max(1) as f64),
    ];
    for (title, value) in curves {
        let lines: Vec<Line> = variants
            .iter()
            .filter_map(|(name, _)| {
                let run = of(runs, name).find(|r| r.seed == first)?;
                // Over a second, so that single points do not jump.
                let step = run.scenario.step;
                let width = ((1000.0 / step).round() as usize).max(1);
                let at = |p: &[Point]| (p[0].at / 1000.0, p.iter().map(value).sum::<f64>() / p.len() as f64);
                Some((name.clone(), run.points.chunks(width).map(at).collect()))
            })
            .collect();
        page += &picture(title, "seconds", &lines, &variants[0].1)?;
    }
    let loads: Vec<Line> = variants
        .iter()
        .filter_map(|(name, _)| {
            let run = of(runs, name).find(|r| r.seed == first)?;
            let mut sorted = run.per_cache.clone();
            sorted.sort_unstable_by(|a, b| b.cmp(a));
            let count = sorted.len().max(1) as f64;
            let points = sorted.iter().enumerate().map(|(i, n)| (i as f64 / count, *n as f64));
            Some((name.clone(), points.collect()))
        })
        .collect();
    page += &picture(
        "Requests that came to each cache, the busiest first",
        "share of the caches",
        &loads,
        &Scenario { faults: vec![], ..variants[0].1.clone() },
    )?;
    fs::write(folder.join("report.html"), page).map_err(|e| failed(&e))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;")
}

/// A picture as SVG, with the times at which something is wrong.
fn picture(title: &str, below: &str, lines: &[Line], set: &Scenario) -> Result<String, LabError> {
    let failed = |e: &dyn std::fmt::Display| LabError::output(title, e);
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let top = points().map(|p| p.1).filter(|y| y.is_finite()).fold(0.0, f64::max).max(1e-9) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (1100, 360)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .margin_right(240)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc(below)
            .draw()
            .map_err(|e| failed(&e))?;
        for fault in &set.faults {
            let (from, to) = (fault.at / 1000.0, (fault.at + fault.lasts) / 1000.0);
            let wrong = Rectangle::new(
                [(from, 0.0), (to.min(right), top)],
                RGBColor(225, 225, 225).mix(0.7).filled(),
            );
            chart.draw_series([wrong]).map_err(|e| failed(&e))?;
            let text = Text::new(word(&fault.what), (from, top * 0.98), ("sans-serif", 11));
            chart.draw_series([text]).map_err(|e| failed(&e))?;
        }
        for (i, (name, points)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let series = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            chart.draw_series(series).map_err(|e| failed(&e))?;
            let y = 50 + 20 * i as i32;
            area.draw(&Rectangle::new([(880, y), (892, y + 12)], colour.filled())).map_err(|e| failed(&e))?;
            area.draw(&Text::new(name.clone(), (898, y + 1), ("sans-serif", 13))).map_err(|e| failed(&e))?;
        }
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}
