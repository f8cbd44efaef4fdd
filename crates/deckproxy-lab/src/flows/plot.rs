//! A picture of bytes over time, stacked by key.

use super::time;
use crate::error::{DrawError, LabError};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Points in time.
const BUCKETS: usize = 120;
/// Colours that can be told apart with impaired colour vision (after Okabe and Ito), then grey.
pub const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(213, 94, 0),
    RGBColor(240, 228, 66),
    RGBColor(90, 90, 90),
];
/// The colour of the keys that have none of their own.
const OTHERS_COLOUR: RGBColor = RGBColor(200, 200, 200);
/// Width and height of the picture.
const SIZE: (u32, u32) = (1100, 480);
/// Where the legend begins, and the height of a row of it.
const LEGEND: (i32, i32) = (900, 50);
const LEGEND_ROW: i32 = 20;

/// Bytes that were sent over a time.
#[derive(Clone, Debug)]
pub struct Span {
    pub key: String,
    /// Unix ms.
    pub start: u64,
    /// Unix ms; before `start` where an exporter says so.
    pub end: u64,
    pub bytes: u64,
}

/// Bytes a second over time.
#[derive(Debug)]
struct Rates {
    /// Unix ms.
    start: u64,
    /// Length of a bucket, ms.
    bucket_ms: f64,
    /// The buckets of each key, then those of all others.
    rows: Vec<Vec<f64>>,
}

impl Rates {
    /// The bytes of each span are spread evenly over its time.
    fn of(keys: &[String], spans: &[Span]) -> Self {
        let start = spans.iter().map(|span| span.start).min().unwrap_or(0);
        let end = spans.iter().map(|span| span.end).max().unwrap_or(0).max(start.saturating_add(1000));
        let bucket_ms = (end - start) as f64 / BUCKETS as f64;
        let mut rows = vec![vec![0.0; BUCKETS]; keys.len() + 1];
        for span in spans {
            let row = keys.iter().position(|key| *key == span.key).unwrap_or(keys.len());
            let from = (span.start - start) as f64 / bucket_ms;
            let to = span.end.saturating_sub(start) as f64 / bucket_ms;
            spread(&mut rows[row], from, to, span.bytes as f64);
        }
        let buckets_per_second = 1000.0 / bucket_ms;
        rows.iter_mut().flatten().for_each(|bytes| *bytes *= buckets_per_second);
        Rates { start, bucket_ms, rows }
    }

    /// The rows stacked on each other: the upper edge of each.
    fn stacked(&self) -> Vec<Vec<f64>> {
        let mut upper = vec![0.0; BUCKETS];
        let add = |row: &Vec<f64>| {
            upper.iter_mut().zip(row).for_each(|(sum, rate)| *sum += rate);
            upper.clone()
        };
        self.rows.iter().map(add).collect()
    }
}

/// Adds bytes evenly to the buckets from `from` to `to`; those of an instant to one bucket.
fn spread(buckets: &mut [f64], from: f64, to: f64, bytes: f64) {
    let to = to.max(from + 1.0).min(BUCKETS as f64);
    let from = from.min(to - 1.0).max(0.0);
    let bytes_per_bucket = bytes / (to - from);
    let mut position = from;
    while position < to {
        let bucket = (position as usize).min(BUCKETS - 1);
        let next = ((bucket + 1) as f64).min(to);
        buckets[bucket] += bytes_per_bucket * (next - position);
        // Rounding must not leave the position where it is.
        position = next.max(position + 1e-9);
    }
}

/// Writes the picture to a file, as SVG.
///
/// # Errors
///
/// The picture cannot be drawn, for example as there is no span, or the file cannot be written.
pub fn stacked(path: &Path, by: &str, keys: &[String], spans: &[Span]) -> Result<(), LabError> {
    if spans.is_empty() {
        return Err(LabError::NothingToDraw { path: path.to_path_buf() });
    }
    let mut svg = String::new();
    draw(&mut svg, by, keys, &Rates::of(keys, spans)).map_err(LabError::picture(path.display()))?;
    std::fs::write(path, svg).map_err(LabError::file(path))
}

fn draw(svg: &mut String, by: &str, keys: &[String], rates: &Rates) -> Result<(), DrawError> {
    let layers = rates.stacked();
    let highest = layers.iter().flatten().copied().fold(1.0, f64::max) * 1.05;
    let seconds = BUCKETS as f64 * rates.bucket_ms / 1000.0;
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let start = time::format_seconds(rates.start);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("Bytes towards clients by {by}, from {start}"), ("sans-serif", 18))
        .margin(12)
        .margin_right(220)
        .x_label_area_size(40)
        .y_label_area_size(90)
        .build_cartesian_2d(0.0..seconds, 0.0..highest)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("seconds")
        .y_label_formatter(&|rate| format_rate(*rate))
        .draw()?;
    // From the top layer down: each covers what is below it.
    for (i, layer) in layers.iter().enumerate().rev() {
        let second = |bucket: usize| (bucket as f64 + 0.5) * rates.bucket_ms / 1000.0;
        let points = layer.iter().enumerate().map(|(bucket, rate)| (second(bucket), *rate));
        chart.draw_series(AreaSeries::new(points, 0.0, colour(i, keys.len())))?;
    }
    draw_legend(&area, keys, rates)?;
    area.present()
}

/// Names the layers beside the plot, the topmost first.
fn draw_legend(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    keys: &[String],
    rates: &Rates,
) -> Result<(), DrawError> {
    let has_bytes = |row: &[f64]| row.iter().any(|rate| *rate > 0.0);
    let layers = (0..rates.rows.len()).rev().filter(|i| *i < keys.len() || has_bytes(&rates.rows[*i]));
    for (row, layer) in (0..).zip(layers) {
        let (x, y) = (LEGEND.0, LEGEND.1 + LEGEND_ROW * row);
        let name = keys.get(layer).map_or("all others", |key| key).to_string();
        area.draw(&Rectangle::new([(x, y), (x + 12, y + 12)], colour(layer, keys.len()).filled()))?;
        area.draw(&Text::new(name, (x + 18, y + 1), ("sans-serif", 13)))?;
    }
    Ok(())
}

/// The colour of a layer; `others` is that of all others. Colours are used again, paler, after the last one.
fn colour(layer: usize, others: usize) -> RGBAColor {
    let opacity = 1.0 - 0.3 * (layer / COLOURS.len()).min(2) as f64;
    if layer == others { OTHERS_COLOUR.mix(1.0) } else { COLOURS[layer % COLOURS.len()].mix(opacity) }
}

fn format_rate(bytes_per_second: f64) -> String {
    match bytes_per_second {
        rate if rate >= 1e9 => format!("{:.1} GB/s", rate / 1e9),
        rate if rate >= 1e6 => format!("{:.1} MB/s", rate / 1e6),
        rate if rate >= 1e3 => format!("{:.0} kB/s", rate / 1e3),
        rate => format!("{rate:.0} B/s"),
    }
}

#[cfg(test)]
mod tests;
