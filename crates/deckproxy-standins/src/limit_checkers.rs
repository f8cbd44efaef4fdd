//! Checkers of limits that no rule counts in one place: what a member in slow start receives from all processes together,
//! what begins for a client that has left, whether a restarted fleet is ready in time, and who is served while idle
//! clients use up the descriptors. A test reports to them what members, feed and clients saw; they ask nothing else.

use std::collections::HashMap;

/// The limits of a member in slow start, by the site's settings.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimits {
    /// When its process started, ms.
    pub started_ms: f64,
    /// The capacity of its link, in answers at full rate.
    pub capacity: f64,
    /// The share of its capacity that it starts with, 0 to 1.
    pub initial_share: f64,
    /// Time from its start until it has its full capacity, ms.
    pub ramp_ms: f64,
    /// By how many times its present capacity it may be loaded in a window.
    pub multiple: f64,
    /// The window, ms.
    pub window_ms: f64,
}

/// A call that came to a member.
#[derive(Clone, Copy, Debug)]
struct Call {
    at_ms: f64,
    /// Time for which its answer is sent, ms.
    work_ms: f64,
}

/// Checks what came to one member in slow start, whoever sent it, including fills.
#[derive(Debug, Default)]
pub struct SlowStartChecker {
    calls: Vec<Call>,
}

/// A window in which more calls came than the limits and chance allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadedWindow {
    /// The window's end, ms.
    pub end_ms: f64,
    /// Calls in it.
    pub calls: f64,
    /// Calls of mean work that the limits allow in it.
    pub budget: f64,
}

impl SlowStartChecker {
    /// A call came, whose answer takes so long to send, ms.
    pub fn record_call(&mut self, at_ms: f64, work_ms: f64) {
        self.calls.push(Call { at_ms, work_ms });
    }

    /// The work of all calls, ms of sending.
    pub fn total_work_ms(&self) -> f64 {
        self.calls.iter().map(|call| call.work_ms).sum()
    }

    /// The first window that breaks the limits: beyond a budget of N calls, 2 x root of N + 2 are put down to chance.
    pub fn first_overload(&self, limits: SlowStartLimits) -> Option<OverloadedWindow> {
        let mean_work_ms = self.total_work_ms() / self.calls.len().max(1) as f64;
        self.calls.iter().enumerate().find_map(|(i, Call { at_ms: end_ms, .. })| {
            let progress = ((end_ms - limits.started_ms) / limits.ramp_ms).clamp(0.0, 1.0);
            let capacity = (limits.initial_share + (1.0 - limits.initial_share) * progress) * limits.capacity;
            let budget = limits.multiple * capacity * limits.window_ms / mean_work_ms;
            let in_window = |call: &&Call| call.at_ms > end_ms - limits.window_ms;
            let calls = self.calls[..=i].iter().filter(in_window).count() as f64;
            let is_overloaded = calls > budget + 2.0 * budget.sqrt() + 2.0;
            is_overloaded.then_some(OverloadedWindow { end_ms: *end_ms, calls, budget })
        })
    }
}

/// An attempt that began after its client had left.
#[derive(Clone, Debug, PartialEq)]
pub struct LateAttempt {
    /// The request's name.
    pub request: String,
    /// Time since its client left, ms.
    pub late_ms: f64,
}

/// Checks that no attempts begin for clients that have left.
#[derive(Debug, Default)]
pub struct CancellationChecker {
    /// When the client of a request left, by the request's name.
    left_ms: HashMap<String, f64>,
    late: Vec<LateAttempt>,
}

impl CancellationChecker {
    /// Longest time from a client's leaving until an attempt for it may begin, ms.
    pub const TOLERANCE_MS: f64 = 100.0;
    /// Late attempts that are accepted.
    pub const ACCEPTED: usize = 2;

    /// The client of a request closed its connection or cancelled the request.
    pub fn client_left(&mut self, request: &str, at_ms: f64) {
        self.left_ms.entry(request.to_string()).or_insert(at_ms);
    }

    /// A complete attempt for a request came to a member.
    pub fn attempt_began(&mut self, request: &str, at_ms: f64) {
        let Some(late_ms) = self.left_ms.get(request).map(|left_ms| at_ms - left_ms) else { return };
        if late_ms > Self::TOLERANCE_MS {
            self.late.push(LateAttempt { request: request.to_string(), late_ms });
        }
    }

    /// All attempts that began late.
    pub fn late_attempts(&self) -> &[LateAttempt] {
        &self.late
    }

    /// Whether the rule is broken.
    pub fn is_broken(&self) -> bool {
        self.late.len() > Self::ACCEPTED
    }
}

/// Checks that processes that were started together are ready in time.
#[derive(Debug, Default)]
pub struct StartupChecker {
    /// For each process, when it was ready after its start, ms.
    ready_ms: Vec<Option<f64>>,
}

impl StartupChecker {
    /// Longest time from its start until a process is ready, ms.
    pub const LIMIT_MS: f64 = 10_000.0;
    /// Share of the processes that must be ready by then.
    pub const REQUIRED_SHARE: f64 = 0.9;

    /// A process was ready so many ms after its start; `None`: it never was.
    pub fn record_start(&mut self, ready_ms: Option<f64>) {
        self.ready_ms.push(ready_ms);
    }

    /// Whether enough of them were ready in time.
    pub fn holds(&self) -> bool {
        let in_time = self.ready_ms.iter().flatten().filter(|ms| **ms <= Self::LIMIT_MS).count();
        !self.ready_ms.is_empty() && in_time as f64 >= Self::REQUIRED_SHARE * self.ready_ms.len() as f64
    }
}

/// Checks that new clients are served while idle ones use up all descriptors and service discovery is down, and that
/// discovery is watched once it is restored.
#[derive(Debug, Default)]
pub struct DescriptorExhaustionChecker {
    newcomers: usize,
    answered: usize,
    restored_ms: Option<f64>,
    watched_ms: Option<f64>,
}

impl DescriptorExhaustionChecker {
    /// Share of the new clients that must be answered in their time.
    pub const REQUIRED_SHARE: f64 = 0.9;
    /// Longest time from discovery's return until it is watched, ms: less than the idle timeout of clients, which would
    /// free descriptors in any case.
    pub const WATCH_LIMIT_MS: f64 = 3000.0;

    /// A new client sent a request; whether it was answered in its time.
    pub fn record_newcomer(&mut self, answered: bool) {
        self.newcomers += 1;
        self.answered += usize::from(answered);
    }

    /// Discovery is restored.
    pub fn discovery_restored(&mut self, at_ms: f64) {
        self.restored_ms = Some(at_ms);
    }

    /// The gateway has subscribed to discovery.
    pub fn discovery_watched(&mut self, at_ms: f64) {
        self.watched_ms.get_or_insert(at_ms);
    }

    /// Whether new clients were served and discovery is watched.
    pub fn holds(&self) -> bool {
        let served =
            self.newcomers > 0 && self.answered as f64 >= Self::REQUIRED_SHARE * self.newcomers as f64;
        let times = self.restored_ms.zip(self.watched_ms);
        served && times.is_some_and(|(restored, watched)| watched - restored <= Self::WATCH_LIMIT_MS)
    }
}
