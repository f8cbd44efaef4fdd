//! Whether most of a gateway's work is in vain, and how much it admits until it is not.
//!
//! In a metastable failure the cause is over and the fault stays: members work on requests whose clients have left, the
//! clients retry, and that work delays theirs. What ends it is to admit less than can be done, and then more step by step as
//! what was admitted is served.
//!
//! Time is divided into windows. Of the requests that ended in the last few, the share that was served tells whether a
//! window is good or bad. Two bad windows in a row, with retries beside first attempts, are a storm: the admitted rate is
//! capped a little above the served rate. Each good window raises the cap, each bad one lowers it; once the cap has not been
//! reached for a while the storm is over.

use crate::Millis;
use std::collections::VecDeque;

/// How storms are detected and ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Length of a window, in milliseconds.
    pub window: Millis,
    /// Served share below which a window is bad, 0 to 1.
    pub bad_share: f64,
    /// Served share from which a window is good, 0 to 1.
    pub good_share: f64,
    /// Retries for each first attempt above which a bad window is one of a storm.
    pub retry_ratio: f64,
    /// Requests that must have ended in the windows looked at for these to be judged.
    pub min_ended: u64,
    /// The first cap of a storm, relative to the served rate.
    pub first_cap: f64,
    /// The lowest cap, in requests a second.
    pub min_cap: f64,
    /// Factor of the cap after a good window.
    pub increase: f64,
    /// Factor of the cap after a bad window.
    pub decrease: f64,
    /// Good windows in a row in which the cap was not reached, until the storm is over.
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

/// Requests counted in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// First attempts that arrived.
    pub firsts: u64,
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
    /// Admitted requests that failed, or whose clients left.
    pub wasted: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.firsts += other.firsts;
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

/// Number of windows that are looked at together.
const WINDOWS: usize = 4;
/// Bad windows in a row that are a storm.
const BAD_WINDOWS: u32 = 2;
/// A clock that is ahead by more windows than this stood still, or was set.
const LONGEST_GAP: f64 = 40.0;
/// The cap counts as not reached where it rejected at most one request for so many admitted.
const ADMITTED_PER_CAPPED: u64 = 20;
/// Number of reserves, one for each part of the range of priority weights.
const RESERVES: usize = 4;
/// Share of the cap that goes to the reserves, evenly.
const RESERVED_SHARE: f64 = 0.2;
/// The lowest priority weight leaves one in so many of the tokens to others.
const LOWEST_LEAVES_ONE_IN: f64 = 3.0;

/// The storm detection and the cap of one gateway.
#[derive(Clone, Debug)]
pub struct RetryStorm {
    limits: Limits,
    /// When the current window began.
    began: Option<Millis>,
    current: Counts,
    past: VecDeque<Counts>,
    /// The admitted rate in a storm, in requests a second.
    cap: Option<f64>,
    /// Requests that may be admitted now, of any class.
    tokens: f64,
    /// Requests that may be admitted of a part of the priority weights alone, so that none starves.
    reserves: [f64; RESERVES],
    refilled_at: Millis,
    bad_windows: u32,
    calm_windows: u32,
    /// Storms so far.
    pub storms: u64,
}

impl RetryStorm {
    /// Without a storm.
    pub fn new(limits: Limits) -> Self {
        RetryStorm {
            limits,
            began: None,
            current: Counts::default(),
            past: VecDeque::new(),
            cap: None,
            tokens: 0.0,
            reserves: [0.0; RESERVES],
            refilled_at: 0.0,
            bad_windows: 0,
            calm_windows: 0,
            storms: 0,
        }
    }

    /// The admitted rate in requests a second; `None`: there is no storm.
    pub fn cap(&self) -> Option<f64> {
        self.cap
    }

    /// The counts of the last windows.
    pub fn recent(&self) -> Counts {
        let mut sum = Counts::default();
        self.past.iter().for_each(|counts| sum.add(counts));
        sum
    }

    /// How long the last windows took, in milliseconds.
    fn recent_span(&self) -> Millis {
        self.past.len() as f64 * self.limits.window
    }

    /// Requests served a second in the last windows.
    pub fn served_rate(&self) -> f64 {
        self.recent().served as f64 * 1000.0 / self.recent_span().max(self.limits.window)
    }

    /// Counts something in the current window.
    pub fn count(&mut self, now: Millis, add: impl FnOnce(&mut Counts)) {
        self.tick(now);
        add(&mut self.current);
    }

    /// Whether one more request is admitted now. `priority_weight`: its class's position among all, 0 to 1; in a storm the
    /// last tokens are left to higher weights.
    pub fn admits(&mut self, now: Millis, priority_weight: f64) -> bool {
        self.tick(now);
        let Some(cap) = self.cap else { return true };
        let weight = priority_weight.clamp(0.0, 1.0);
        let max_tokens = (cap * self.limits.window / 1000.0).max(1.0);
        self.refill(now, cap, max_tokens);
        let needed = 1.0 + (1.0 - weight) * max_tokens / LOWEST_LEAVES_ONE_IN;
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
        let earned = cap * (now - self.refilled_at).max(0.0) / 1000.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + earned * (1.0 - RESERVED_SHARE)).min(max_tokens);
        for reserve in &mut self.reserves {
            *reserve = (*reserve + earned * RESERVED_SHARE / RESERVES as f64).min(1.0);
        }
    }

    /// Closes windows that are over.
    pub fn tick(&mut self, now: Millis) {
        let mut began = *self.began.get_or_insert(now);
        let window = self.limits.window;
        if now < began || now - began > window * LONGEST_GAP {
            self.began = Some(now);
            self.refilled_at = now;
            self.current = Counts::default();
            return;
        }
        while now - began >= window {
            began += window;
            self.close_window(began);
        }
        self.began = Some(began);
    }

    fn close_window(&mut self, at: Millis) {
        let last = std::mem::take(&mut self.current);
        self.past.push_back(last);
        if self.past.len() > WINDOWS {
            self.past.pop_front();
        }
        match self.cap {
            None => self.detect(at),
            // In a storm each window is judged alone: requests admitted before it began tell nothing.
            Some(cap) => self.adjust(cap, &last),
        }
    }

    /// Begins a storm after bad windows in a row.
    fn detect(&mut self, at: Millis) {
        let recent = self.recent();
        let is_significant = recent.ended() >= self.limits.min_ended;
        let is_bad = is_significant && recent.served_share() < self.limits.bad_share;
        let is_retried = recent.retries as f64 > self.limits.retry_ratio * recent.firsts as f64;
        self.bad_windows = if is_bad && is_retried { self.bad_windows + 1 } else { 0 };
        if self.bad_windows < BAD_WINDOWS {
            return;
        }
        let served_rate = recent.served as f64 * 1000.0 / self.recent_span();
        self.cap = Some((served_rate * self.limits.first_cap).max(self.limits.min_cap));
        (self.tokens, self.reserves, self.refilled_at) = (0.0, [0.0; RESERVES], at);
        self.calm_windows = 0;
        self.storms += 1;
        self.past.clear();
    }

    /// Adjusts the cap by the last window, or ends the storm.
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
        let is_unreached = is_good && last.capped * ADMITTED_PER_CAPPED <= last.admitted;
        let is_idle = last.capped == 0 && last.admitted == 0;
        self.calm_windows = if is_unreached || is_idle { self.calm_windows + 1 } else { 0 };
        if self.calm_windows >= limits.calm_windows {
            self.cap = None;
            self.bad_windows = 0;
        }
    }
}
