//! A page of what happened in a run: faults, each instance's view of the others, probes by member, service. One file of
//! HTML with its pictures in it.

use crate::absence::Span;
use crate::fleet_view::{View, views};
use crate::judge::FleetFigures;
use crate::run::RunRecord;
use deckproxy_standins::record::{Fact, Outcome};
use plotters::prelude::*;
use std::fmt::Write as _;

/// Colours that are told apart also by those who see few (after Okabe and Ito).
const BLUE: RGBColor = RGBColor(0, 114, 178);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const RED: RGBColor = RGBColor(213, 94, 0);
const GREY: RGBColor = RGBColor(120, 120, 120);
/// Width of a picture, and height of a row, pixels.
const WIDTH: u32 = 1100;
const ROW: u32 = 90;
/// Seconds in which probes and answers are counted together.
const STEP: f64 = 0.5;

type Drawn = Result<(), Box<dyn std::error::Error>>;
/// A picture's name, and what draws it.
type Picture = (&'static str, fn(&RunRecord, &mut String) -> Drawn);

/// The page.
pub fn page(run: &RunRecord, figures: &FleetFigures) -> String {
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>rig</title><style>body{font:14px sans-serif;margin:2em;max-width:1140px}\
         table{border-collapse:collapse}td{padding:1px 12px 1px 0}pre{background:#f4f4f4;padding:8px}</style>\n",
    );
    let title = if run.plan.question.is_empty() { "A run of the rig" } else { &run.plan.question };
    let _ = writeln!(out, "<h1>{}</h1>", escaped(title));
    let v = &figures.verdict;
    let rows = [
        ("requests", v.requests.to_string()),
        ("served / refused / failed", format!("{} / {} / {}", v.served, v.rejected, v.failed)),
        ("rules broken", if v.holds() { "none".to_string() } else { v.violations.join("; ") }),
        ("probes beside those intended, over the run", format!("{:.2}", figures.check_ratio)),
        ("the same, the worst 2 s of a member", format!("{:.2}", figures.check_ratio_max)),
        ("longest time without a probe, ms", format!("{:.0}", figures.coverage_gap_ms)),
        ("taken for gone without cause", figures.false_deaths.to_string()),
        (
            "until all had the same board, ms",
            figures.convergence_ms.map_or("never".to_string(), |ms| format!("{ms:.0}")),
        ),
        ("bytes of datagrams a second of each instance", format!("{:.0}", figures.bytes_per_second)),
    ];
    out.push_str("<table>");
    for (name, value) in rows {
        let _ = writeln!(out, "<tr><td>{name}</td><td>{}</td></tr>", escaped(&value));
    }
    out.push_str("</table>\n");
    let pictures: [Picture; 3] = [
        ("Who hears how many others (grey: could not answer)", seen),
        ("Probes of each member in half a second", probes),
        ("Answers in half a second: served (blue), refused (orange), failed (red)", service),
    ];
    for (name, draw) in pictures {
        let mut svg = String::new();
        let _ = writeln!(out, "<h2>{name}</h2>");
        match draw(run, &mut svg) {
            Ok(()) => out.push_str(&svg),
            Err(e) => drop(writeln!(out, "<p>could not be drawn: {}</p>", escaped(&e.to_string()))),
        }
    }
    let _ = writeln!(out, "<h2>The plan</h2><pre>{}</pre>", escaped(&run.plan.text()));
    out
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Seconds of the run for a time of the record.
fn second(run: &RunRecord, at: f64) -> f64 {
    (at - run.traffic_from) / 1000.0
}

/// A chart with the faults behind it.
macro_rules! chart {
    ($area:expr, $run:expr, $name:expr, $top:expr) => {{
        let plan = &$run.plan;
        let mut chart = ChartBuilder::on($area)
            .caption($name, ("sans-serif", 13))
            .margin(4)
            .x_label_area_size(18)
            .y_label_area_size(36)
            .build_cartesian_2d(0.0..plan.seconds, 0.0..$top)?;
        for fault in &plan.faults {
            let to = fault.at + fault.duration;
            chart.draw_series([Rectangle::new([(fault.at, 0.0), (to, $top)], ORANGE.mix(0.15).filled())])?;
        }
        chart.configure_mesh().disable_x_mesh().disable_y_mesh().y_labels(3).draw()?;
        chart
    }};
}

fn seen(run: &RunRecord, svg: &mut String) -> Drawn {
    let n = run.plan.instances;
    let root = SVGBackend::with_string(svg, (WIDTH, ROW * n as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (i, area) in root.split_evenly((n, 1)).iter().enumerate() {
        let top = n as f64;
        let mut chart = chart!(area, run, format!("i{i}"), top);
        for Span { from, to } in run.absences[i].spans() {
            let (from, to) = (second(run, from), second(run, to).min(run.plan.seconds));
            chart.draw_series([Rectangle::new([(from, 0.0), (to, top)], GREY.mix(0.4).filled())])?;
        }
        let mut points = Vec::new();
        let mut last: Option<View> = None;
        for view in views(&run.logs[i]) {
            let at = second(run, view.at - run.start_unix_ms as f64).clamp(0.0, run.plan.seconds);
            points.extend(last.map(|v| (at, v.heard.len() as f64)));
            points.push((at, view.heard.len() as f64));
            last = Some(view);
        }
        points.extend(last.map(|v| (run.plan.seconds, v.heard.len() as f64)));
        chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
        if i == 0 {
            for fault in &run.plan.faults {
                let text = Text::new(fault.kind.text(), (fault.at, top * 0.98), ("sans-serif", 10));
                chart.draw_series([text])?;
            }
        }
    }
    root.present()?;
    Ok(())
}

/// Counts by step.
fn counts(run: &RunRecord, times: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    let steps = (run.plan.seconds / STEP).ceil() as usize;
    let mut all = vec![0.0; steps];
    for at in times {
        let step = second(run, at) / STEP;
        if step >= 0.0 && (step as usize) < steps {
            all[step as usize] += 1.0;
        }
    }
    all.iter().enumerate().flat_map(|(i, n)| [(i as f64 * STEP, *n), ((i + 1) as f64 * STEP, *n)]).collect()
}

fn probes(run: &RunRecord, svg: &mut String) -> Drawn {
    let n = run.members.len();
    let root = SVGBackend::with_string(svg, (WIDTH, ROW * n as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (name, area) in run.members.iter().zip(root.split_evenly((n, 1))) {
        let of =
            run.facts.iter().filter(|s| matches!(&s.fact, Fact::HealthChecked { member } if member == name));
        let points = counts(run, of.map(|s| s.at));
        let top = points.iter().map(|p| p.1).fold(4.0, f64::max);
        let mut chart = chart!(&area, run, name.clone(), top);
        chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    }
    root.present()?;
    Ok(())
}

fn service(run: &RunRecord, svg: &mut String) -> Drawn {
    let root = SVGBackend::with_string(svg, (WIDTH, 3 * ROW)).into_drawing_area();
    root.fill(&WHITE)?;
    let kind = |outcome: &Outcome| match outcome {
        Outcome::Served(_) | Outcome::Unchanged => 0,
        Outcome::Rejected(_) => 1,
        Outcome::Failed => 2,
    };
    let of = |wanted: usize| {
        let answers = run
            .facts
            .iter()
            .filter(move |s| matches!(&s.fact, Fact::Answered { outcome, .. } if kind(outcome) == wanted));
        counts(run, answers.map(|s| s.at))
    };
    let lines = [of(0), of(1), of(2)];
    let top = lines.iter().flatten().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = chart!(&root, run, "", top);
    for (points, colour) in lines.into_iter().zip([BLUE, ORANGE, RED]) {
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    root.present()?;
    Ok(())
}
