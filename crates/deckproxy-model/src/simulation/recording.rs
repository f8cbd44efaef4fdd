//! What is counted during a run, and its results.

use super::Simulation;
use super::event::Event;
use crate::members::MemberKind;
use crate::record::{LatencyHistogram, Point, Record};
use crate::{Micros, micros};
use std::time::Duration;

/// Counts and latencies of a run.
#[derive(Default)]
pub(super) struct Recorder {
    /// Counts of the current interval.
    pub(super) current: Point,
    points: Vec<Point>,
    interval_latencies: LatencyHistogram,
    run_latencies: LatencyHistogram,
}

impl Recorder {
    /// Counts a served request with the time since the client's first attempt.
    pub(super) fn served(&mut self, latency: Micros) {
        self.interval_latencies.record(latency);
        self.run_latencies.record(latency);
        self.current.served += 1;
    }

    /// Ends the current interval and begins one at `now`.
    fn end_interval(&mut self, now: Micros, caches_up: u64) {
        let p50_ms = self.interval_latencies.quantile_ms(0.5);
        let p99_ms = self.interval_latencies.quantile_ms(0.99);
        let counts = std::mem::take(&mut self.current);
        self.points.push(Point { caches_up, p50_ms, p99_ms, ..counts });
        self.current.start_ms = now as f64 / 1000.0;
        self.interval_latencies.reset();
    }
}

impl Simulation {
    pub(super) fn record_point(&mut self) {
        let is_up_cache = |member: &&crate::members::Member| member.kind == MemberKind::Cache && member.up;
        let caches_up = self.members.iter().filter(is_up_cache).count() as u64;
        self.recorder.end_interval(self.now, caches_up);
        self.schedule_after(micros(self.scenario.record_interval_ms), Event::RecordPoint);
    }

    pub(super) fn into_record(self, wall_time: Duration) -> Record {
        let caches = self.members.iter().filter(|member| member.kind == MemberKind::Cache);
        Record {
            violations: self.checker.violations(),
            first_violation: self.checker.first_violation().map(str::to_string),
            events: self.events_handled,
            wall_seconds: wall_time.as_secs_f64(),
            attempts_per_cache: caches.map(|cache| cache.attempts_received).collect(),
            p50_ms: self.recorder.run_latencies.quantile_ms(0.5),
            p99_ms: self.recorder.run_latencies.quantile_ms(0.99),
            gateway_violations: self.gateways.iter().map(|node| node.balancer.violations()).sum(),
            points: self.recorder.points,
        }
    }
}
