//! A picture of bytes over time, stacked by key.

use super::record::shown_second;
use crate::error::LabError;
use plotters::prelude::*;
use std::path::Path;

/// Points in time.
const BUCKETS: usize = 120;
/// Colours that are told apart also by those who see few (after Okabe and Ito), then greys.
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
const OTHERS: RGBColor = RGBColor(200, 200, 200);

/// Bytes a second of each key and of all others, in even steps; a flow's bytes are spread evenly over its time.
fn rates(keys: &[String], spans: &[(String, u64, u64, u64)]) -> (u64, f64, Vec<Vec<f64>>) {
    let first = spans.iter().map(|s| s.1).min().unwrap_or(0);
    let last = spans.iter().map(|s| s.2).max().unwrap_or(0).max(first.saturating_add(1000));
    let step = (last - first) as f64 / BUCKETS as f64;
    let mut sums = vec![vec![0.0; BUCKETS]; keys.len() + 1];
    for (key, start, end, bytes) in spans {
        let row = keys.iter().position(|k| k == key).unwrap_or(keys.len());
        // A flow of one instant fills the step that it is in.
        let from = (start - first) as f64 / step;
        let to = (end.saturating_sub(first) as f64 / step).max(from + 1.0).min(BUCKETS as f64);
        let from = from.min(to - 1.0).max(0.0);
        let each = *bytes as f64 / (to - from);
        let mut at = from;
        while at < to {
            let bucket = (at as usize).min(BUCKETS - 1);
            let next = ((bucket + 1) as f64).min(to);
            sums[row][bucket] += each * (next - at);
            at = next.max(at + 1e-9);
        }
    }
    let per_second = 1000.0 / step;
    sums.iter_mut().flatten().for_each(|b| *b *= per_second);
    (first, step, sums)
}

/// The colour of a layer; the last is that of all others. Colours come again paler.
fn colour(layer: usize, others: usize) -> RGBAColor {
    let fade = 1.0 - 0.3 * (layer / COLOURS.len()).min(2) as f64;
    if layer == others { OTHERS.mix(1.0) } else { COLOURS[layer % COLOURS.len()].mix(fade) }
}

fn bytes(n: f64) -> String {
    match n {
        n if n >= 1e9 => format!("{:.1} GB/s", n / 1e9),
        n if n >= 1e6 => format!("{:.1} MB/s", n / 1e6),
        n if n >= 1e3 => format!("{:.0} kB/s", n / 1e3),
        n => format!("{n:.0} B/s"),
    }
}

/// Writes the picture to a file, as SVG.
///
/// # Errors
///
/// There is no span to draw, or the file cannot be written.
pub fn stacked(
    path: &Path,
    by: &str,
    keys: &[String],
    spans: &[(String, u64, u64, u64)],
) -> Result<(), LabError> {
    if spans.is_empty() {
        return Err(LabError::output(path.display(), "nothing to draw"));
    }
    let mut svg = String::new();
    draw(&mut svg, by, keys, spans).map_err(|fault| LabError::output(path.display(), fault))?;
    std::fs::write(path, svg).map_err(LabError::file(path))
}

fn draw(
    svg: &mut String,
    by: &str,
    keys: &[String],
    spans: &[(String, u64, u64, u64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let (first, step, rates) = rates(keys, spans);
    let mut upper = vec![0.0; BUCKETS];
    let mut layers = Vec::new();
    for row in &rates {
        upper.iter_mut().zip(row).for_each(|(sum, more)| *sum += more);
        layers.push(upper.clone());
    }
    let most = upper.iter().copied().fold(1.0, f64::max) * 1.05;
    let last = BUCKETS as f64 * step;
    let area = SVGBackend::with_string(svg, (1100, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let began = shown_second(first);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("Bytes towards clients by {by}, from {began}"), ("sans-serif", 18))
        .margin(12)
        .margin_right(220)
        .x_label_area_size(40)
        .y_label_area_size(90)
        .build_cartesian_2d(0.0..last / 1000.0, 0.0..most)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("seconds")
        .y_label_formatter(&|n| bytes(*n))
        .draw()?;
    // From the top layer down: each covers what is below it.
    for (i, layer) in layers.iter().enumerate().rev() {
        let points = layer.iter().enumerate().map(|(x, y)| ((x as f64 + 0.5) * step / 1000.0, *y));
        chart.draw_series(AreaSeries::new(points, 0.0, colour(i, keys.len())))?;
    }
    // The legend in the order of the layers, the topmost first, beside the plot.
    let shown = (0..layers.len()).rev().filter(|i| *i < keys.len() || rates[*i].iter().any(|b| *b > 0.0));
    for (row, i) in shown.enumerate() {
        let colour = colour(i, keys.len());
        let (x, y) = (900, 50 + 20 * row as i32);
        let name = keys.get(i).map_or("all others", |k| k).to_string();
        let mark = Rectangle::new([(x, y), (x + 12, y + 12)], colour.filled());
        area.draw(&mark)?;
        let text = Text::new(name, (x + 18, y + 1), ("sans-serif", 13));
        area.draw(&text)?;
    }
    Ok(area.present()?)
}

#[cfg(test)]
mod tests;
