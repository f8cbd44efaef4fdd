//! State of caches, parents and origins.

mod store;

#[cfg(test)]
mod tests;

pub use store::ObjectStore;

use crate::scenario::MemberSettings;
use crate::{Micros, micros};
use ahash::AHashMap;
use std::collections::VecDeque;

/// Index of a member in the simulation.
pub type MemberId = u32;
/// Index of a job in the simulation; reused after the job has ended.
pub type JobSlot = usize;

/// The role of a member. The discriminant is its index in the arrays of [`MemberSettings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKind {
    /// A cache of a location.
    Cache,
    /// A parent of a site.
    Parent,
    /// The origin of a site.
    Origin,
}

/// What a member reports about its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, waiting ones included.
    pub in_flight: f64,
    /// Share of the cores that are busy, 0 to 1.
    pub busy_share: f64,
}

/// KB that a cache was asked for since a time, while it warmed up.
#[derive(Clone, Copy, Debug, Default)]
struct DemandWindow {
    start: Micros,
    requested_kb: f64,
}

/// A cache, parent or origin.
#[derive(Debug)]
pub struct Member {
    /// Its role.
    pub kind: MemberKind,
    /// Number of its site.
    pub site: usize,
    /// Location of a cache, counted over all sites; without meaning for others.
    pub location: usize,
    /// Its name in the endpoint list.
    pub name: Box<str>,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it has stopped answering.
    pub hung: bool,
    /// Factor of its service time, 1 normally.
    pub slowdown: f64,
    /// Share of requests that it fails, 0 normally.
    pub error_share: f64,
    /// When it last started, if it did so during the run.
    pub started: Option<Micros>,
    /// Counts crashes and recoveries from a hang; events of earlier epochs are void.
    pub epoch: u32,
    /// Cores that are busy.
    pub busy_cores: usize,
    /// Jobs that wait for a core, the oldest first.
    pub queue: VecDeque<JobSlot>,
    /// Copies that it has.
    pub store: ObjectStore,
    /// Fills in flight by object, with the jobs that wait for each besides its leader.
    pub fills: AHashMap<u64, Vec<JobSlot>>,
    /// When its egress link has sent all that was given to it.
    egress_free_at: Micros,
    /// The report that it repeats while reports are frozen.
    pub frozen_report: Option<LoadReport>,
    /// Attempts that reached it.
    pub attempts_received: u64,
    demand: DemandWindow,
}

impl Member {
    /// A member that is up and has warmed up, with nothing in its store.
    pub fn new(
        kind: MemberKind,
        site: usize,
        location: usize,
        id: MemberId,
        settings: &MemberSettings,
    ) -> Self {
        let store_capacity = match kind {
            MemberKind::Cache => settings.store_capacity[0],
            MemberKind::Parent => settings.store_capacity[1],
            MemberKind::Origin => 0,
        };
        Member {
            kind,
            site,
            location,
            name: format!("m{id:07x}").into(),
            up: true,
            hung: false,
            slowdown: 1.0,
            error_share: 0.0,
            started: None,
            epoch: 0,
            busy_cores: 0,
            queue: VecDeque::new(),
            store: ObjectStore::new(store_capacity),
            fills: AHashMap::new(),
            egress_free_at: 0,
            frozen_report: None,
            attempts_received: 0,
            demand: DemandWindow::default(),
        }
    }

    /// The share of its egress bandwidth that it has, under 1 while a cache warms up.
    pub fn capacity_share(&self, now: Micros, settings: &MemberSettings) -> f64 {
        let Some(started) = self.started.filter(|_| self.kind == MemberKind::Cache) else { return 1.0 };
        let age_ms = now.saturating_sub(started) as f64 / 1000.0;
        let initial = settings.initial_capacity_share;
        (initial + (1.0 - initial) * age_ms / settings.warm_up_ms.max(1.0)).min(1.0)
    }

    /// Number of its cores.
    pub fn cores(&self, settings: &MemberSettings) -> usize {
        settings.cores[self.kind as usize]
    }

    /// Sends KB over its egress link after all that waits there; returns when they are sent.
    pub fn send(&mut self, now: Micros, size_kb: f64, settings: &MemberSettings) -> Micros {
        let kb_per_s = settings.egress_kb_per_s * self.capacity_share(now, settings);
        self.egress_free_at = self.egress_free_at.max(now) + micros(size_kb / kb_per_s * 1000.0);
        self.egress_free_at
    }

    /// Whether one more job may wait for a core.
    pub fn has_queue_capacity(&self, settings: &MemberSettings) -> bool {
        self.queue.len() < settings.queue_capacity[self.kind as usize]
    }

    /// Mean service time of one request in milliseconds.
    pub fn service_time_ms(&self, settings: &MemberSettings) -> f64 {
        settings.service_time_ms[self.kind as usize] * self.slowdown
    }

    /// What it reports about its load: the present state, or the last report while reports are frozen.
    pub fn load_report(&self, settings: &MemberSettings) -> LoadReport {
        self.frozen_report.unwrap_or(LoadReport {
            in_flight: (self.busy_cores + self.queue.len()) as f64,
            busy_share: (self.busy_cores as f64 / self.cores(settings) as f64).min(1.0),
        })
    }

    /// Counts a request for KB; returns whether it overloads a cache that warms up. That is when more was
    /// requested within the overload window than the overload multiple of what its egress link carried at
    /// the window's beginning.
    pub fn is_overloaded_by(&mut self, now: Micros, size_kb: f64, settings: &MemberSettings) -> bool {
        let warming_up = self.kind == MemberKind::Cache && self.capacity_share(now, settings) < 1.0;
        if !warming_up {
            return false;
        }
        if now.saturating_sub(self.demand.start) > micros(settings.overload_window_ms) {
            self.demand = DemandWindow { start: now, requested_kb: 0.0 };
        }
        self.demand.requested_kb += size_kb;
        let kb_per_s = self.capacity_share(self.demand.start, settings) * settings.egress_kb_per_s;
        let limit_kb = kb_per_s * settings.overload_multiple * settings.overload_window_ms / 1000.0;
        self.demand.requested_kb > limit_kb
    }

    /// Stops it: its queue, fills and copies are lost.
    pub fn crash(&mut self) {
        self.up = false;
        self.hung = false;
        self.epoch += 1;
        self.busy_cores = 0;
        self.store.clear();
        self.fills.clear();
        self.queue.clear();
    }

    /// Starts it again; a cache begins to warm up.
    pub fn start(&mut self, now: Micros) {
        self.up = true;
        self.started = Some(now);
        self.egress_free_at = now;
        self.demand = DemandWindow { start: now, requested_kb: 0.0 };
    }

    /// Ends a hang: the jobs that it was working on are lost, the queue remains.
    pub fn resume_after_hang(&mut self) {
        self.busy_cores = 0;
        self.epoch += 1;
    }
}
