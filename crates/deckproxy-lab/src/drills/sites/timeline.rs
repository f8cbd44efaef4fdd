//! A run over time: the cuts of the links, and the outcomes of requests by half second.

use deckproxy_standins::record::{Fact, Outcome, Seen};
use std::collections::HashMap;

/// Length of a row of the printed timeline, ms.
const ROW_MS: f64 = 500.0;

/// Outcomes of the requests sent in one row's time.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    /// Served, rejected and failed requests for objects of the client's own site.
    home: [usize; 3],
    /// The same of requests for objects of the other site.
    cross_site: [usize; 3],
}

/// Prints the outcomes of requests by the time at which they were sent, for a look at a drill that lost many.
pub fn print(facts: &[Seen], end: f64) {
    let mut sent = HashMap::new();
    let mut rows = vec![Row::default(); (end / ROW_MS) as usize + 1];
    for seen in facts {
        match &seen.fact {
            Fact::RequestSent { name, site, home_site, .. } => {
                sent.insert(name, (seen.at, site != home_site));
            }
            Fact::Answered { name, outcome } => {
                let Some((at, is_cross_site)) = sent.get(name) else { continue };
                let row = &mut rows[(*at / ROW_MS) as usize];
                let counts = if *is_cross_site { &mut row.cross_site } else { &mut row.home };
                counts[column(outcome)] += 1;
            }
            Fact::LinkChanged { .. } | Fact::GatewayKilled { .. } => {
                eprintln!("{:.0} {:?}", seen.at, seen.fact);
            }
            _ => {}
        }
    }
    for (i, Row { home, cross_site }) in rows.iter().enumerate() {
        eprintln!("{:6} own served, refused, failed: {home:?} crossing: {cross_site:?}", i * ROW_MS as usize);
    }
}

fn column(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Served(_) | Outcome::Unchanged => 0,
        Outcome::Rejected(_) => 1,
        Outcome::Failed => 2,
    }
}

/// Milliseconds for which a link was cut.
pub fn cut_duration(facts: &[Seen], end: f64) -> f64 {
    let mut since = None;
    let mut sum = 0.0;
    for seen in facts {
        match seen.fact {
            Fact::LinkChanged { is_cut: true, .. } => since = Some(seen.at),
            Fact::LinkChanged { is_cut: false, .. } => sum += seen.at - since.take().unwrap_or(seen.at),
            _ => {}
        }
    }
    sum + since.map_or(0.0, |at| end - at)
}
