//! Detects retry storms, and caps the admitted rate until they are over.
//!
//! A retry storm is a metastable failure: it outlasts its cause. Members work on requests whose clients have
//! already timed out, the clients retry, and the wasted work delays the retries. The way out is to admit less
//! than the members can serve, and to raise the admitted rate step by step while the admitted requests are
//! served.
//!
//! Time is divided into windows. A window is bad if too small a share of the requests that ended in the last
//! few windows was served. Two bad windows in a row, with many retries in relation to first attempts, are a
//! storm: the admitted rate is capped a little above the served rate. During a storm each window is judged by
//! its own requests alone: a bad one lowers the cap, and a good one raises it if the cap rejected requests.
//! The storm is over once the cap has not been reached for several windows.

use crate::Millis;
use std::collections::VecDeque;

/// Thresholds by which storms are detected and ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Length of a window, in milliseconds.
    pub window: Millis,
    /// Served share below which a window is bad, 0 to 1.
    pub bad_share: f64,
    /// Served share from which a window is good, 0 to 1.
    pub good_share: f64,
    /// Retries per first attempt above which bad windows are a storm.
    pub retry_ratio: f64,
    /// Number of requests that must have ended in the recent windows for these to count as bad.
    pub min_ended: u64,
    /// The initial cap in a storm, relative to the served rate.
    pub first_cap: f64,
    /// The lowest cap, in requests per second.
    pub min_cap: f64,
    /// Factor by which the cap is raised after a good window in which it rejected requests.
    pub increase: f64,
    /// Factor by which the cap is lowered after a bad window.
    pub decrease: f64,
    /// Number of windows in a row, good or idle, in which the cap was not reached, after which the storm is over.
    pub calm_windows: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            window: 250.0,
            bad_share: 0.6,
            good_share: 0.9,
            retry_ratio: 0.3,
            min_ended: 20,
            first_cap: 1.1,
            min_cap: 5.0,
            increase: 1.2,
            decrease: 0.7,
            calm_windows: 4,
        }
    }
}

/// Counts of requests in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// First attempts that arrived.
    pub first_attempts: u64,
    /// Retries that arrived.
    pub retries: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected by the cap.
    pub capped: u64,
    /// Admitted requests that were served.
    pub served: u64,
    /// Admitted requests that the decision module rejected.
    pub rejected: u64,
    /// Admitted requests that failed, or whose clients cancelled them or disconnected.
    pub wasted: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.first_attempts += other.first_attempts;
        self.retries += other.retries;
        self.admitted += other.admitted;
        self.capped += other.capped;
        self.served += other.served;
        self.rejected += other.rejected;
        self.wasted += other.wasted;
    }

    /// Admitted requests that ended.
    pub fn ended(&self) -> u64 {
        self.served + self.rejected + self.wasted
    }

    fn served_share(&self) -> f64 {
        self.served as f64 / self.ended().max(1) as f64
    }
}

/// Number of recent windows that are evaluated together to detect a storm.
const RECENT_WINDOWS: usize = 4;
/// Number of bad windows in a row at which a storm starts.
const BAD_WINDOWS_AT_START: u32 = 2;
/// A gap of more windows than this between two calls means that the process was suspended or the clock was set: the
/// current window starts over.
const MAX_GAP_WINDOWS: f64 = 40.0;
/// The cap counts as not reached if it rejected at most one request per this number of admitted ones.
const ADMITTED_PER_CAPPED: u64 = 20;
/// Number of equal parts of the range of priority weights; each part has its own reserve of tokens.
const RESERVES: usize = 4;
/// Share of the cap that is divided evenly among the reserves.
const RESERVED_SHARE: f64 = 0.2;
/// A request of the lowest priority weight takes a token of the shared bucket only if the bucket's capacity divided by
/// this remains for higher weights, or if the bucket is full.
const LOWEST_WEIGHT_HEADROOM_DIVISOR: f64 = 3.0;

/// Storm detection and the cap of one gateway.
#[derive(Clone, Debug)]
pub struct RetryStorm {
    limits: Limits,
    /// When the current window began.
    window_began: Option<Millis>,
    current: Counts,
    recent_windows: VecDeque<Counts>,
    /// The cap on the admitted rate in a storm, in requests per second.
    cap: Option<f64>,
    /// Token bucket shared by all classes; each admitted request costs one token.
    tokens: f64,
    /// Tokens reserved for each part of the range of priority weights, so that no class starves.
    reserves: [f64; RESERVES],
    refilled_at: Millis,
    /// Bad windows in a row so far, while there is no storm.
    bad_windows: u32,
    /// Windows in a row in which the cap was not reached, during a storm.
    calm_windows: u32,
    /// Number of storms since the start.
    pub storms: u64,
}

impl RetryStorm {
    /// Starts without a storm.
    pub fn new(limits: Limits) -> Self {
        RetryStorm {
            limits,
            window_began: None,
            current: Counts::default(),
            recent_windows: VecDeque::new(),
            cap: None,
            tokens: 0.0,
            reserves: [0.0; RESERVES],
            refilled_at: 0.0,
            bad_windows: 0,
            calm_windows: 0,
            storms: 0,
        }
    }

    /// The cap on the admitted rate, in requests per second; `None`: there is no storm.
    pub fn cap(&self) -> Option<f64> {
        self.cap
    }

    /// The sum of the counts of the recent windows.
    pub fn recent(&self) -> Counts {
        let mut sum = Counts::default();
        self.recent_windows.iter().for_each(|counts| sum.add(counts));
        sum
    }

    /// Length of the recent windows together, in milliseconds.
    fn recent_span(&self) -> Millis {
        self.recent_windows.len() as f64 * self.limits.window
    }

    /// Requests served per second in the recent windows.
    pub fn served_rate(&self) -> f64 {
        self.recent().served as f64 * 1000.0 / self.recent_span().max(self.limits.window)
    }

    /// Adds to the counts of the current window.
    pub fn count(&mut self, now: Millis, add: impl FnOnce(&mut Counts)) {
        self.tick(now);
        add(&mut self.current);
    }

    /// Admits a request if the cap allows it, and consumes a token. `priority_weight`: the rank of its class
    /// among all classes, 0 to 1; in a storm the last tokens are left to higher weights. Returns whether the
    /// request is admitted.
    pub fn try_admit(&mut self, now: Millis, priority_weight: f64) -> bool {
        self.tick(now);
        let Some(cap) = self.cap else { return true };
        let weight = priority_weight.clamp(0.0, 1.0);
        let max_tokens = (cap * self.limits.window / 1000.0).max(1.0);
        self.refill(now, cap, max_tokens);
        let needed = 1.0 + (1.0 - weight) * max_tokens / LOWEST_WEIGHT_HEADROOM_DIVISOR;
        let reserve = ((weight * RESERVES as f64) as usize).min(RESERVES - 1);
        let has_tokens = self.tokens >= needed.min(max_tokens);
        let source = if has_tokens { &mut self.tokens } else { &mut self.reserves[reserve] };
        let admitted = *source >= 1.0;
        if admitted {
            *source -= 1.0;
        }
        admitted
    }

    fn refill(&mut self, now: Millis, cap: f64, max_tokens: f64) {
        let refill = cap * (now - self.refilled_at).max(0.0) / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill * (1.0 - RESERVED_SHARE)).min(max_tokens);
        for reserve in &mut self.reserves {
            *reserve = (*reserve + refill * RESERVED_SHARE / RESERVES as f64).min(1.0);
        }
    }

    /// Closes the windows that have ended by now.
    pub fn tick(&mut self, now: Millis) {
        let mut began = *self.window_began.get_or_insert(now);
        let window = self.limits.window;
        if now < began || now - began > window * MAX_GAP_WINDOWS {
            self.window_began = Some(now);
            self.refilled_at = now;
            self.current = Counts::default();
            return;
        }
        while now - began >= window {
            began += window;
            self.close_window(began);
        }
        self.window_began = Some(began);
    }

    fn close_window(&mut self, at: Millis) {
        let last = std::mem::take(&mut self.current);
        self.recent_windows.push_back(last);
        if self.recent_windows.len() > RECENT_WINDOWS {
            self.recent_windows.pop_front();
        }
        match self.cap {
            None => self.detect(at),
            // In a storm each window is judged alone: earlier windows do not reflect the present cap.
            Some(cap) => self.adjust(cap, &last),
        }
    }

    /// Starts a storm after several bad windows in a row.
    fn detect(&mut self, at: Millis) {
        let recent = self.recent();
        let is_significant = recent.ended() >= self.limits.min_ended;
        let is_bad = is_significant && recent.served_share() < self.limits.bad_share;
        let is_retried = recent.retries as f64 > self.limits.retry_ratio * recent.first_attempts as f64;
        self.bad_windows = if is_bad && is_retried { self.bad_windows + 1 } else { 0 };
        if self.bad_windows < BAD_WINDOWS_AT_START {
            return;
        }
        let served_rate = recent.served as f64 * 1000.0 / self.recent_span();
        self.cap = Some((served_rate * self.limits.first_cap).max(self.limits.min_cap));
        (self.tokens, self.reserves, self.refilled_at) = (0.0, [0.0; RESERVES], at);
        self.calm_windows = 0;
        self.storms += 1;
        self.recent_windows.clear();
    }

    /// Raises or lowers the cap by the results of the last window, or ends the storm.
    fn adjust(&mut self, cap: f64, last: &Counts) {
        let limits = self.limits;
        let served_share = last.served_share();
        let is_significant = last.ended() > 0;
        let is_good = is_significant && served_share >= limits.good_share;
        if is_significant && served_share < limits.bad_share {
            self.cap = Some((cap * limits.decrease).max(limits.min_cap));
        } else if is_good && last.capped > 0 {
            self.cap = Some(cap * limits.increase);
        }
        let is_below_cap = is_good && last.capped * ADMITTED_PER_CAPPED <= last.admitted;
        let is_idle = last.capped == 0 && last.admitted == 0;
        self.calm_windows = if is_below_cap || is_idle { self.calm_windows + 1 } else { 0 };
        if self.calm_windows >= limits.calm_windows {
            self.cap = None;
            self.bad_windows = 0;
        }
    }
}
