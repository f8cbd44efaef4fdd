//! The charts of a run, as SVG.

use crate::absence::Span;
use crate::fleet_view::{View, views};
use crate::plan::Plan;
use crate::run::RunRecord;
use crate::saturating_u32;
use deckproxy_standins::record::{Fact, Outcome};
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::io;

/// Colours that are told apart also by those who see few (after Okabe and Ito).
const BLUE: RGBColor = RGBColor(0, 114, 178);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const RED: RGBColor = RGBColor(213, 94, 0);
const GREY: RGBColor = RGBColor(120, 120, 120);
/// Width of a chart, pixels.
const WIDTH: u32 = 1100;
/// Height of a row of a chart, pixels.
const ROW_HEIGHT: u32 = 90;
/// Seconds in which health checks and answers are counted together.
const STEP_SECONDS: f64 = 0.5;
/// The least top of the health checks' axis.
const LEAST_HEALTH_CHECK_TOP: f64 = 4.0;
/// The least top of the answers' axis.
const LEAST_ANSWER_TOP: f64 = 1.0;
/// Height of a fault's text, beside the top of the axis.
const TEXT_HEIGHT: f64 = 0.98;

/// Why a chart could not be drawn.
type DrawingError = DrawingAreaErrorKind<io::Error>;
/// An area of a chart that is drawn as SVG.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// Axes in an area: seconds of the run, and a quantity.
type Axes<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A chart of the page.
pub(super) struct Chart {
    /// What it shows.
    pub(super) title: &'static str,
    /// Draws it as SVG.
    pub(super) draw: fn(&RunRecord, &mut String) -> Result<(), DrawingError>,
}

impl Chart {
    /// The chart of a run as SVG.
    ///
    /// # Errors
    ///
    /// The chart cannot be drawn, as for a run without instances.
    pub(super) fn svg(&self, run: &RunRecord) -> Result<String, DrawingError> {
        let mut svg = String::new();
        (self.draw)(run, &mut svg)?;
        Ok(svg)
    }
}

/// Seconds of the run for a time of the record.
fn second(run: &RunRecord, at: f64) -> f64 {
    (at - run.traffic_from) / 1000.0
}

/// Axes in an area, with the faults behind them.
fn axes<'a>(area: &Area<'a>, plan: &Plan, caption: &str, top: f64) -> Result<Axes<'a>, DrawingError> {
    let mut axes = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 13))
        .margin(4)
        .x_label_area_size(18)
        .y_label_area_size(36)
        .build_cartesian_2d(0.0..plan.seconds, 0.0..top)?;
    for fault in &plan.faults {
        let to = fault.at + fault.duration;
        axes.draw_series([Rectangle::new([(fault.at, 0.0), (to, top)], ORANGE.mix(0.15).filled())])?;
    }
    axes.configure_mesh().disable_x_mesh().disable_y_mesh().y_labels(3).draw()?;
    Ok(axes)
}

/// How many others each instance hears.
pub(super) fn draw_views(run: &RunRecord, svg: &mut String) -> Result<(), DrawingError> {
    let instances = run.plan.instances;
    let root =
        SVGBackend::with_string(svg, (WIDTH, ROW_HEIGHT * saturating_u32(instances))).into_drawing_area();
    root.fill(&WHITE)?;
    for (i, area) in root.split_evenly((instances, 1)).iter().enumerate() {
        let top = instances as f64;
        let mut axes = axes(area, &run.plan, &format!("i{i}"), top)?;
        for Span { from, to } in run.absences[i].spans() {
            let (from, to) = (second(run, from), second(run, to).min(run.plan.seconds));
            axes.draw_series([Rectangle::new([(from, 0.0), (to, top)], GREY.mix(0.4).filled())])?;
        }
        axes.draw_series(LineSeries::new(heard_others(run, i), BLUE.stroke_width(2)))?;
        if i == 0 {
            for fault in &run.plan.faults {
                let at = (fault.at, top * TEXT_HEIGHT);
                axes.draw_series([Text::new(fault.kind.text(), at, ("sans-serif", 10))])?;
            }
        }
    }
    root.present()
}

/// How many others an instance heard, as a line of steps.
fn heard_others(run: &RunRecord, instance: usize) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    let mut last: Option<View> = None;
    for view in views(&run.logs[instance]) {
        let at = second(run, view.at - run.start_unix_ms as f64).clamp(0.0, run.plan.seconds);
        points.extend(last.map(|last| (at, last.heard.len() as f64)));
        points.push((at, view.heard.len() as f64));
        last = Some(view);
    }
    points.extend(last.map(|last| (run.plan.seconds, last.heard.len() as f64)));
    points
}

/// Counts by step, as a line of steps.
fn counts(run: &RunRecord, times: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    let steps = (run.plan.seconds / STEP_SECONDS).ceil() as usize;
    let mut counts = vec![0.0; steps];
    for at in times {
        let step = second(run, at) / STEP_SECONDS;
        if step >= 0.0 && (step as usize) < steps {
            counts[step as usize] += 1.0;
        }
    }
    let begin = |step: usize| step as f64 * STEP_SECONDS;
    let steps = counts.iter().enumerate();
    steps.flat_map(|(i, count)| [(begin(i), *count), (begin(i + 1), *count)]).collect()
}

/// The highest point of lines, but no less than a value.
fn top<'a>(points: impl IntoIterator<Item = &'a (f64, f64)>, least: f64) -> f64 {
    points.into_iter().map(|point| point.1).fold(least, f64::max)
}

/// Health checks of each member.
pub(super) fn draw_health_checks(run: &RunRecord, svg: &mut String) -> Result<(), DrawingError> {
    let members = run.members.len();
    let root =
        SVGBackend::with_string(svg, (WIDTH, ROW_HEIGHT * saturating_u32(members))).into_drawing_area();
    root.fill(&WHITE)?;
    for (name, area) in run.members.iter().zip(root.split_evenly((members, 1))) {
        let is_check = |fact: &Fact| matches!(fact, Fact::HealthChecked { member } if member == name);
        let checks = run.facts.iter().filter(|seen| is_check(&seen.fact));
        let points = counts(run, checks.map(|seen| seen.at));
        let mut axes = axes(&area, &run.plan, name, top(&points, LEAST_HEALTH_CHECK_TOP))?;
        axes.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    }
    root.present()
}

/// Answers of a kind, by step.
fn answers(run: &RunRecord, is_of_kind: fn(&Outcome) -> bool) -> Vec<(f64, f64)> {
    let answers = run
        .facts
        .iter()
        .filter(|seen| matches!(&seen.fact, Fact::Answered { outcome, .. } if is_of_kind(outcome)));
    counts(run, answers.map(|seen| seen.at))
}

/// Answers that clients read, by outcome.
pub(super) fn draw_answers(run: &RunRecord, svg: &mut String) -> Result<(), DrawingError> {
    let root = SVGBackend::with_string(svg, (WIDTH, 3 * ROW_HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let lines = [
        (BLUE, answers(run, |outcome| matches!(outcome, Outcome::Served(_) | Outcome::Unchanged))),
        (ORANGE, answers(run, |outcome| matches!(outcome, Outcome::Rejected(_)))),
        (RED, answers(run, |outcome| matches!(outcome, Outcome::Failed))),
    ];
    let top = top(lines.iter().flat_map(|(_, points)| points), LEAST_ANSWER_TOP);
    let mut axes = axes(&root, &run.plan, "", top)?;
    for (colour, points) in lines {
        axes.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    root.present()
}
