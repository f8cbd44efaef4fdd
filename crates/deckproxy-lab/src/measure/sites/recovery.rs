//! A link that is reset for two seconds: how soon service is back, and how much the serving side gets at once.

use super::{LinkPath, SitePair};
use crate::measure::{Options, show};
use crate::output::print_line;
use crate::traffic;
use deckproxy_standins::link_relay::LinkState;
use deckproxy_standins::load_client::{Load, LoadClients, RetryPolicy};
use deckproxy_standins::record::{Fact, Outcome, Seen};
use std::thread;
use std::time::Duration;

/// Crossing requests a second.
const RATE: f64 = 400.0;
/// Clients of the north.
const CLIENTS: usize = 24;
/// Time before the cut, and after it.
const CALM: Duration = Duration::from_secs(4);
/// Length of the cut.
const CUT: Duration = Duration::from_secs(2);
/// Time before the cut that stands for the calm state, ms.
const CALM_MS: f64 = 2000.0;
/// Time after the cut in which the fullest span is sought, ms.
const AFTER_MS: f64 = 1500.0;
/// Length of the span in which attempts are counted, ms.
const SPAN_MS: f64 = 50.0;
/// Length of the span over which the rate of served requests is taken, ms.
const RATE_SPAN_MS: f64 = 100.0;
/// Share of the calm rate that counts as recovered.
const RECOVERED_SHARE: f64 = 0.9;

/// What was seen of one run.
struct CutRun {
    facts: Vec<Seen>,
    /// When the link was cut, and when it came back, ms of the record.
    cut: f64,
    back: f64,
}

impl CutRun {
    fn run_once(link_settings: &str, retry_policy: RetryPolicy, seed: u64) -> Self {
        let pair = SitePair::start(link_settings, LinkPath::Relayed);
        let requests = traffic::requests(1, 1, 300, 0.0, 0.0);
        let load = Load { retry_policy, ..Load::new(0, pair.addresses[0], CLIENTS, RATE, seed, &requests) };
        let clients = LoadClients::start(&load, &pair.record);
        thread::sleep(CALM);
        let cut = pair.record.now();
        pair.relay.set_state(LinkState::Reset);
        thread::sleep(CUT);
        let back = pair.record.now();
        pair.relay.set_state(LinkState::Up);
        thread::sleep(CALM);
        clients.finish();
        CutRun { facts: pair.record.take(), cut, back }
    }

    /// How many facts of a kind there are from one time to another.
    fn count(&self, from: f64, to: f64, is_counted: fn(&Fact) -> bool) -> f64 {
        let within = self.facts.iter().filter(|seen| seen.at >= from && seen.at < to);
        within.filter(|seen| is_counted(&seen.fact)).count() as f64
    }

    fn served(&self, from: f64, to: f64) -> f64 {
        self.count(from, to, |fact| matches!(fact, Fact::Answered { outcome: Outcome::Served(_), .. }))
    }

    fn requests(&self, from: f64, to: f64) -> f64 {
        self.count(from, to, |fact| matches!(fact, Fact::RequestSent { .. }))
    }

    /// Attempts at the serving side's members.
    fn attempts(&self, from: f64, to: f64) -> f64 {
        self.count(from, to, |fact| matches!(fact, Fact::AttemptReceived { .. }))
    }

    /// The most attempts in any span.
    fn most_attempts(&self, from: f64, to: f64) -> f64 {
        let step = SPAN_MS / 2.0;
        let spans = (0..((to - from) / step) as usize).map(|i| from + i as f64 * step);
        spans.map(|at| self.attempts(at, at + SPAN_MS)).fold(0.0, f64::max)
    }

    /// Milliseconds from the end of the cut until the rate of served requests was back; none: not within the run.
    fn recovery_ms(&self) -> Option<f64> {
        let calm = self.served(self.cut - CALM_MS, self.cut) * RATE_SPAN_MS / CALM_MS;
        let steps = (0..80).map(|i| self.back + f64::from(i) * SPAN_MS);
        let is_back = |at: &f64| self.served(*at, at + RATE_SPAN_MS) >= RECOVERED_SHARE * calm;
        steps.into_iter().find(is_back).map(|at| at - self.back + RATE_SPAN_MS)
    }

    fn row(&self, name: &str) -> Vec<String> {
        let calm_from = self.cut - CALM_MS;
        let calm_attempts = self.attempts(calm_from, self.cut) * SPAN_MS / CALM_MS;
        vec![
            name.to_string(),
            self.recovery_ms().map_or("never".into(), |ms| format!("{ms:.0}")),
            format!("{:.1}", self.most_attempts(self.back, self.back + AFTER_MS) / calm_attempts),
            format!("{:.1}", self.most_attempts(calm_from, self.cut) / calm_attempts),
            format!("{:.1}", self.requests(self.cut, self.back) / self.requests(calm_from, self.cut)),
        ]
    }
}

/// Runs the measurement.
pub fn run(options: &Options) {
    print_line!(
        "\nThe link is reset for 2 s; 400 crossing requests a second, clients come again while they have time"
    );
    let rows = [
        ("as it is", "", RetryPolicy::AfterAdvice),
        ("plain: no ramp, no waiting, retry at once", "ramp_ms: 0 hold_ms: 0", RetryPolicy::Immediate),
    ]
    .map(|(name, link_settings, retry_policy)| {
        CutRun::run_once(link_settings, retry_policy, options.seed).row(name)
    });
    show(
        &[
            "",
            "ms until 0.9 of the former rate",
            "far side's fullest 50 ms, of the calm mean",
            "the same before",
            "requests during the cut, of before",
        ],
        &rows,
    );
}
