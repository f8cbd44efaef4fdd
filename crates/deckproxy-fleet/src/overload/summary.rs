//! An instance's request counts, in a form that adds up over instances.

use super::priority::{BUCKETS, bucket};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What can be overloaded; each has a shed level of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// The caches, for objects that they were seen to hold.
    Caches = 0,
    /// The way to the sources, for objects that the caches have to be filled with first.
    Sources = 1,
}

/// Number of [`Resource`]s.
pub const RESOURCES: usize = 2;

/// Numbers of requests at one resource. The order of the fields is the wire format of [`Tally`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStats<T> {
    /// First attempts that arrived, by bucket of their priorities.
    pub arrivals: [T; BUCKETS],
    /// Retries that arrived without a reserved time, as far as they were known for retries.
    pub retries: T,
    /// Retries admitted.
    pub admitted_retries: T,
    /// First attempts admitted.
    pub admitted_firsts: T,
    /// All requests admitted.
    pub admitted: T,
    /// Admitted requests that were served.
    pub served: T,
    /// Admitted requests that the decision module rejected.
    pub rejected: T,
    /// Admitted requests that failed, or whose clients left.
    pub wasted: T,
    /// Served requests that took a large part of their clients' time.
    pub slow: T,
}

/// Counts of requests.
pub type Tally = RequestStats<u16>;
/// Requests a second, of one instance or the sum of several.
pub type Rates = RequestStats<f64>;

impl<T> RequestStats<T> {
    /// All numbers.
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

    /// Counts a first attempt that arrived.
    pub fn count_arrival(&mut self, priority: u32) {
        increment(&mut self.arrivals[bucket(priority)]);
    }
}

/// Counts one more, without overflow.
pub(super) fn increment(count: &mut u16) {
    *count = count.saturating_add(1);
}

/// Request counts of an instance over a span. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The span, in milliseconds.
    pub span: u16,
    /// By resource, in the order of [`Resource`].
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

    /// Multiplies all rates, to estimate those of all instances from those that have reported.
    pub fn scale(&mut self, factor: f64) {
        self.iter_mut().for_each(|rate| *rate *= factor);
    }

    /// First attempts that arrive, a second.
    pub fn first_attempts(&self) -> f64 {
        self.arrivals.iter().sum()
    }

    /// First attempts that arrive and retries admitted, a second.
    pub fn offered(&self) -> f64 {
        self.first_attempts() + self.admitted_retries
    }

    /// Admitted requests that end, a second.
    pub fn completed(&self) -> f64 {
        self.served + self.rejected + self.wasted
    }

    /// The share of the completed requests that was served; 1 where none was completed.
    pub fn served_share(&self) -> f64 {
        if self.completed() > 0.0 { self.served / self.completed() } else { 1.0 }
    }

    /// The share of the completed requests that was served promptly; 1 where none was completed.
    pub fn prompt_share(&self) -> f64 {
        if self.completed() > 0.0 { (self.served - self.slow) / self.completed() } else { 1.0 }
    }
}

/// Windows that a summary covers.
const WINDOWS: usize = 2;
/// A window that lasted this many times its length was interrupted by a pause of the process.
const PAUSED_WINDOWS: f64 = 8.0;

/// Counts requests in windows.
#[derive(Clone, Debug)]
pub struct RequestCounter {
    window: Millis,
    began: Millis,
    current: [Tally; RESOURCES],
    past: VecDeque<[Tally; RESOURCES]>,
}

impl RequestCounter {
    /// Counts in windows of that length, in milliseconds, from now on.
    pub fn new(now: Millis, window: Millis) -> Self {
        RequestCounter { window, began: now, current: Default::default(), past: VecDeque::new() }
    }

    /// The counts of the current window.
    pub fn tally(&mut self, resource: Resource) -> &mut Tally {
        &mut self.current[resource as usize]
    }

    /// Closes the window once it is over; returns whether it did. Counts from before a pause of the process are dropped.
    pub fn tick(&mut self, now: Millis) -> bool {
        let age = now - self.began;
        if age < self.window {
            return false;
        }
        if age > self.window * PAUSED_WINDOWS {
            self.past.clear();
            self.current = Default::default();
        } else {
            self.past.push_back(std::mem::take(&mut self.current));
            if self.past.len() > WINDOWS {
                self.past.pop_front();
            }
        }
        self.began = now;
        true
    }

    /// The counts of the last windows.
    pub fn summary(&self) -> Summary {
        let span = (self.window * self.past.len() as f64) as u16;
        let mut summary = Summary { span, ..Summary::default() };
        for window in &self.past {
            for (sum, tally) in summary.resources.iter_mut().zip(window) {
                sum.add(*tally);
            }
        }
        summary
    }
}

#[cfg(test)]
mod tests;
