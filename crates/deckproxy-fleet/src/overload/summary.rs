//! Request counts of an instance, in a form that can be summed over instances.

use super::priority::{BUCKETS, bucket};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A resource that can be overloaded; each has its own shed level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// The caches, for objects that are assumed to be cached.
    Caches = 0,
    /// The path to the sources, for requests that are not expected to be served from a cache.
    Sources = 1,
}

/// Number of [`Resource`]s.
pub const RESOURCES: usize = 2;

/// Counts or rates of requests at one resource. The order of the fields is the wire format of [`Tally`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStats<T> {
    /// First attempts that arrived, by priority bucket.
    pub arrivals: [T; BUCKETS],
    /// Retries that arrived without a reserved time, as far as they could be recognized.
    pub retries: T,
    /// Admitted retries.
    pub admitted_retries: T,
    /// Admitted first attempts.
    pub admitted_firsts: T,
    /// All admitted requests.
    pub admitted: T,
    /// Admitted requests that were served.
    pub served: T,
    /// Admitted requests that the decision module rejected.
    pub rejected: T,
    /// Admitted requests that failed or whose clients disconnected.
    pub wasted: T,
    /// Served requests that took a large fraction of their clients' remaining time.
    pub slow: T,
}

/// Counts of requests at one resource.
pub type Tally = RequestStats<u16>;
/// Requests per second, of one instance or the sum of several instances.
pub type Rates = RequestStats<f64>;

impl<T> RequestStats<T> {
    /// All values, in the order of the fields.
    fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        let others = [
            &mut self.retries,
            &mut self.admitted_retries,
            &mut self.admitted_firsts,
            &mut self.admitted,
            &mut self.served,
            &mut self.rejected,
            &mut self.wasted,
            &mut self.slow,
        ];
        self.arrivals.iter_mut().chain(others)
    }
}

impl Tally {
    fn add(&mut self, mut other: Tally) {
        for (sum, more) in self.iter_mut().zip(other.iter_mut()) {
            *sum = sum.saturating_add(*more);
        }
    }

    /// Counts the arrival of a first attempt.
    pub fn count_arrival(&mut self, priority: u32) {
        increment(&mut self.arrivals[bucket(priority)]);
    }
}

/// Increments a count, saturating at its maximum.
pub(super) fn increment(count: &mut u16) {
    *count = count.saturating_add(1);
}

/// Request counts of an instance over a time span. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Length of the time span, in milliseconds.
    pub span: u16,
    /// Counts by resource, in the order of [`Resource`].
    pub resources: [Tally; RESOURCES],
}

impl Rates {
    /// The rates of one instance at a resource.
    pub fn of(summary: &Summary, resource: usize) -> Self {
        let mut rates = Rates::default();
        rates.add(summary, resource);
        rates
    }

    /// Adds the rates of one instance at a resource.
    pub fn add(&mut self, summary: &Summary, resource: usize) {
        let tally = summary.resources.get(resource).filter(|_| summary.span > 0);
        let Some(mut tally) = tally.copied() else { return };
        let per_second = 1000.0 / f64::from(summary.span);
        for (sum, count) in self.iter_mut().zip(tally.iter_mut()) {
            *sum += f64::from(*count) * per_second;
        }
    }

    /// Multiplies all rates by a factor, to estimate the rates of all instances from those that have reported.
    pub fn scale(&mut self, factor: f64) {
        self.iter_mut().for_each(|rate| *rate *= factor);
    }

    /// First attempts that arrive per second.
    pub fn first_attempts(&self) -> f64 {
        self.arrivals.iter().sum()
    }

    /// First attempts that arrive and admitted retries, per second.
    pub fn offered(&self) -> f64 {
        self.first_attempts() + self.admitted_retries
    }

    /// Admitted requests that end per second.
    pub fn completed(&self) -> f64 {
        self.served + self.rejected + self.wasted
    }

    /// The share of completed requests that were served; 1 if none was completed.
    pub fn served_share(&self) -> f64 {
        if self.completed() > 0.0 { self.served / self.completed() } else { 1.0 }
    }

    /// The share of completed requests that were served and not slow; 1 if none was completed.
    pub fn prompt_share(&self) -> f64 {
        if self.completed() > 0.0 { (self.served - self.slow) / self.completed() } else { 1.0 }
    }
}

/// Number of windows that a summary covers.
const SUMMARY_WINDOWS: usize = 2;
/// A window that lasted longer than this multiple of its length was interrupted by a pause of the process.
const PAUSE_THRESHOLD_WINDOWS: f64 = 8.0;

/// Counts requests in consecutive time windows.
#[derive(Clone, Debug)]
pub struct RequestCounter {
    window: Millis,
    window_started_at: Millis,
    current: [Tally; RESOURCES],
    closed_windows: VecDeque<[Tally; RESOURCES]>,
}

impl RequestCounter {
    /// Creates a counter with windows of the given length, in milliseconds, that start now.
    pub fn new(now: Millis, window: Millis) -> Self {
        RequestCounter {
            window,
            window_started_at: now,
            current: Default::default(),
            closed_windows: VecDeque::new(),
        }
    }

    /// The counts of the current window.
    pub fn tally(&mut self, resource: Resource) -> &mut Tally {
        &mut self.current[resource as usize]
    }

    /// Closes the current window if it is over, and returns whether it was. Counts from before a pause of the process are
    /// dropped.
    pub fn tick(&mut self, now: Millis) -> bool {
        let age = now - self.window_started_at;
        if age < self.window {
            return false;
        }
        if age > self.window * PAUSE_THRESHOLD_WINDOWS {
            self.closed_windows.clear();
            self.current = Default::default();
        } else {
            self.closed_windows.push_back(std::mem::take(&mut self.current));
            if self.closed_windows.len() > SUMMARY_WINDOWS {
                self.closed_windows.pop_front();
            }
        }
        self.window_started_at = now;
        true
    }

    /// The sum of the last closed windows.
    pub fn summary(&self) -> Summary {
        let span = (self.window * self.closed_windows.len() as f64) as u16;
        let mut summary = Summary { span, ..Summary::default() };
        for window in &self.closed_windows {
            for (sum, tally) in summary.resources.iter_mut().zip(window) {
                sum.add(*tally);
            }
        }
        summary
    }
}

#[cfg(test)]
mod tests;
