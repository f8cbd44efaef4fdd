//! A page of what happened in a run: faults, each instance's view of the others, health checks by member, service. One file
//! of HTML with its charts in it.

mod charts;

use crate::judge::FleetFigures;
use crate::run::RunRecord;
use charts::Chart;
use std::fmt::Write as _;

/// The beginning of the page.
const HEAD: &str = "<!doctype html><meta charset=\"utf-8\"><title>rig</title><style>\
    body{font:14px sans-serif;margin:2em;max-width:1140px}\
    table{border-collapse:collapse}td{padding:1px 12px 1px 0}pre{background:#f4f4f4;padding:8px}</style>\n";

/// The charts of the page, in its order.
const CHARTS: [Chart; 3] = [
    Chart { title: "Who hears how many others (grey: could not answer)", draw: charts::draw_views },
    Chart { title: "Probes of each member in half a second", draw: charts::draw_health_checks },
    Chart {
        title: "Answers in half a second: served (blue), refused (orange), failed (red)",
        draw: charts::draw_answers,
    },
];

/// The page.
pub fn page(run: &RunRecord, figures: &FleetFigures) -> String {
    let mut page = String::from(HEAD);
    let title = if run.plan.question.is_empty() { "A run of the rig" } else { &run.plan.question };
    let _ = writeln!(page, "<h1>{}</h1>", escaped(title));
    write_figures(&mut page, figures);
    for chart in CHARTS {
        write_chart(&mut page, &chart, run);
    }
    let _ = writeln!(page, "<h2>The plan</h2><pre>{}</pre>", escaped(&run.plan.text()));
    page
}

/// The figures as a table.
fn write_figures(page: &mut String, figures: &FleetFigures) {
    let verdict = &figures.verdict;
    let rows = [
        ("requests", verdict.requests.to_string()),
        (
            "served / refused / failed",
            format!("{} / {} / {}", verdict.served, verdict.rejected, verdict.failed),
        ),
        ("rules broken", if verdict.holds() { "none".to_string() } else { verdict.violations.join("; ") }),
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
    page.push_str("<table>");
    for (name, value) in rows {
        let _ = writeln!(page, "<tr><td>{name}</td><td>{}</td></tr>", escaped(&value));
    }
    page.push_str("</table>\n");
}

fn write_chart(page: &mut String, chart: &Chart, run: &RunRecord) {
    let _ = writeln!(page, "<h2>{}</h2>", chart.title);
    match chart.svg(run) {
        Ok(svg) => page.push_str(&svg),
        Err(e) => drop(writeln!(page, "<p>could not be drawn: {}</p>", escaped(&e.to_string()))),
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
