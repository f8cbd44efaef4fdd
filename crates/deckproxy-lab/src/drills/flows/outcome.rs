//! The promises of the drill, and its figures.

use super::collected::{Collections, Exported};
use super::{IMPATIENT, Phase, STEADY};
use crate::drills::promises::Promises;
use crate::drills::round;
use deckproxy_standins::record::{Fact, Seen, Traffic};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::HashMap;

/// Most bytes that are left in the kernel for one client that disconnected: on the gateway's side and its own.
const MAX_KERNEL_BYTES: u64 = 4 * 1024 * 1024;
/// Resident KB that the gateway may take in all.
const MAX_MEMORY_KB: u64 = 65_536;
/// Share of the bytes that the unreliable collector may miss.
const MAX_BYTE_ERROR: f64 = 0.01;

/// What a run came to.
pub struct Outcome {
    pub exit_code: Option<i32>,
    /// The gateway's log.
    pub log: String,
    /// Resident KB of the gateway, at the most.
    pub memory_kb: u64,
    /// What the steady clients saw.
    pub steady: Traffic,
    /// What the clients saw that disconnect in the middle of answers.
    pub impatient: Traffic,
    pub collections: Collections,
    /// Latencies, µs, while the unreliable collector was there, and while it was missing.
    pub latencies: [Histogram<u64>; 2],
}

/// Quantiles of latencies, ms.
struct Quantiles {
    p50: f64,
    p99: f64,
}

impl Quantiles {
    fn of(latencies: &Histogram<u64>) -> Self {
        Quantiles { p50: ms(latencies, 0.5), p99: ms(latencies, 0.99) }
    }
}

impl Outcome {
    /// What the unreliable collector received about steady clients.
    fn received(&self) -> Exported {
        Exported::of(&self.collections.unreliable, STEADY)
    }

    /// The promises that broke.
    pub fn broken_promises(&self) -> Vec<String> {
        let mut promises = Promises::default();
        promises.check(self.exit_code == Some(0), || {
            format!("the gateway ended with {:?}: {}", self.exit_code, self.log)
        });
        self.check_reliable(&mut promises);
        self.check_unreliable(&mut promises);
        promises.check(self.memory_kb < MAX_MEMORY_KB, || {
            format!("{} KB of memory; {MAX_MEMORY_KB} are promised", self.memory_kb)
        });
        self.check_messages(&mut promises);
        self.check_latencies(&mut promises);
        promises.into_broken()
    }

    /// The reliable collectors receive all that steady clients saw, and what impatient ones can have caused.
    fn check_reliable(&self, promises: &mut Promises) {
        let Outcome { steady, impatient, .. } = self;
        let exported = self.collections.reliable(STEADY);
        let is_exact = (exported.read, exported.written, exported.requests)
            == (steady.read, steady.written, steady.requests);
        promises.check(is_exact, || {
            format!("the reliable collectors received {exported:?}, clients saw {steady:?}")
        });
        let exported = self.collections.reliable(IMPATIENT);
        let most = impatient.read + impatient.requests * MAX_KERNEL_BYTES;
        let is_plausible =
            (impatient.read..=most).contains(&exported.read) && exported.requests <= impatient.requests;
        promises.check(is_plausible, || {
            format!("of clients that disconnect they received {exported:?}; the clients saw {impatient:?}")
        });
    }

    /// The unreliable collector receives nearly all, and nothing twice.
    fn check_unreliable(&self, promises: &mut Promises) {
        let (received, steady) = (self.received(), &self.steady);
        promises.check(received.byte_error(steady) < MAX_BYTE_ERROR, || {
            format!("the unreliable collector received {} of {} bytes", received.read, steady.read)
        });
        let lost_requests = self.collections.unreliable.lost_requests;
        promises.check(received.requests + lost_requests <= steady.requests, || {
            format!("it received more requests than there were: {received:?}, {steady:?}")
        });
    }

    /// All messages can be decoded, and no record is missing where no connection broke.
    fn check_messages(&self, promises: &mut Promises) {
        let Collections { unreliable, first, second } = &self.collections;
        promises.check(first.undecoded + second.undecoded + unreliable.undecoded == 0, || {
            "a collector received sets without a template".to_string()
        });
        promises.check(first.missing + second.missing == 0, || {
            "records are missing where no connection broke".to_string()
        });
    }

    /// Answers take no longer while a collector is missing.
    fn check_latencies(&self, promises: &mut Promises) {
        let [up, down] = self.latencies.each_ref().map(Quantiles::of);
        promises.check(down.p50 <= up.p50 * 1.5 + 2.0 && down.p99 <= up.p99 * 2.0 + 20.0, || {
            format!(
                "answers take longer while a collector is missing: p50 {} for {} ms, p99 {} for {} ms",
                down.p50, up.p50, down.p99, up.p99
            )
        });
    }

    /// The figures of the drill's JSON object; its keys are documented.
    pub fn figures(&self) -> Value {
        let Outcome { steady, impatient, memory_kb, .. } = self;
        let unreliable = &self.collections.unreliable;
        let received = self.received();
        let exported = self.collections.reliable(STEADY);
        let [latencies_up, latencies_down] = &self.latencies;
        let [up, down] = self.latencies.each_ref().map(Quantiles::of);
        json!({
            "requests": steady.requests, "bytes_served": steady.read, "bytes_exported": received.read,
            "byte_error": to_millionths(received.byte_error(steady)), "requests_exported": received.requests,
            "byte_error_kept": to_millionths(exported.byte_error(steady)),
            "requests_exported_kept": exported.requests,
            "records": unreliable.flows.len(), "missing": unreliable.missing, "dropped": unreliable.lost_flows,
            "p50_ms": up.p50, "p99_ms": up.p99, "p50_ms_down": down.p50, "p99_ms_down": down.p99,
            "asked_up": latencies_up.len(), "asked_down": latencies_down.len(), "memory_kb": memory_kb,
            "hung_up_requests": impatient.requests, "hung_up_read": impatient.read,
            "hung_up_exported": self.collections.reliable(IMPATIENT).read,
        })
    }
}

/// Latencies, µs, of the requests sent while the unreliable collector was there, and while it was missing.
pub fn latencies(facts: &[Seen], phases: &[Phase]) -> [Histogram<u64>; 2] {
    let mut latencies = [0, 1].map(|_| Histogram::<u64>::new(3).expect("three digits are allowed"));
    let mut sent = HashMap::new();
    for seen in facts {
        match &seen.fact {
            Fact::RequestSent { name, .. } => drop(sent.insert(name, seen.at)),
            Fact::Answered { name, .. } => {
                let Some(at) = sent.remove(name) else { continue };
                let is_down = phases.iter().rev().find(|phase| phase.from <= at).is_some_and(|p| p.is_down);
                let _ = latencies[usize::from(is_down)].record(((seen.at - at) * 1000.0) as u64);
            }
            _ => {}
        }
    }
    latencies
}

fn to_millionths(x: f64) -> f64 {
    (x * 1e6).round() / 1e6
}

/// A quantile of latencies in µs, ms.
fn ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    round(latencies.value_at_quantile(quantile) as f64 / 1000.0)
}
