//! Faults of the scenario.

use super::Simulation;
use super::event::Event;
use super::setup::random_purpose;
use crate::members::{MemberId, MemberKind};
use crate::scenario::{Fault, FaultKind};
use crate::{micros, random_stream, saturating_u32};
use ahash::AHashMap;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// From a crash until the control feed observes it, in milliseconds.
const CRASH_OBSERVED_MS: f64 = 1500.0;
/// Crashed caches restart at random times within so many milliseconds of the fault's end.
const RESTART_SPREAD_MS: f64 = 500.0;

/// Which faults are in force.
#[derive(Debug)]
pub(super) struct ActiveFaults {
    pub(super) rng: Pcg64Mcg,
    /// Factor of the request rate, 1 normally.
    pub(super) load_factor: f64,
    /// Share of requests for the hot object, 0 normally.
    pub(super) hot_share: f64,
    /// The caches that each fault concerns, by its index in the scenario.
    caches: AHashMap<usize, Vec<MemberId>>,
}

impl ActiveFaults {
    pub(super) fn new(seed: u64) -> Self {
        ActiveFaults {
            rng: random_stream(seed, random_purpose::FAULTS, 0),
            load_factor: 1.0,
            hot_share: 0.0,
            caches: AHashMap::new(),
        }
    }

    /// Whether a fault in force concerns a cache.
    pub(super) fn concerns(&self, cache: MemberId) -> bool {
        self.caches.values().any(|caches| caches.contains(&cache))
    }
}

impl Simulation {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let Fault { duration_ms, kind, .. } = self.scenario.faults[fault].clone();
        if kind != FaultKind::GatewayRestarts {
            self.schedule_after(micros(duration_ms), Event::FaultEnds { fault });
        }
        match kind {
            FaultKind::Crash { share } => self.crash_caches(fault, share, None),
            FaultKind::SiteLoss { site } => self.crash_caches(fault, 1.0, Some(site)),
            FaultKind::Hang { share } => {
                for cache in self.select_caches(fault, share, None) {
                    self.member_mut(cache).hung = true;
                }
            }
            FaultKind::Slow { share, slowdown } => {
                for cache in self.select_caches(fault, share, None) {
                    self.member_mut(cache).slowdown = slowdown;
                }
            }
            FaultKind::Gray { share, error_share } => {
                for cache in self.select_caches(fault, share, None) {
                    self.member_mut(cache).error_share = error_share;
                }
            }
            FaultKind::SlowOrigin { slowdown } => self.slow_origins(slowdown),
            FaultKind::GatewayRestarts => self.schedule_gateway_restarts(duration_ms),
            FaultKind::FlashCrowd { load_factor, hot_share } => self.set_crowd(load_factor, hot_share),
            FaultKind::SilentFeed => self.feed.silent = true,
            FaultKind::FrozenReports => self.freeze_reports(),
            FaultKind::LinkFlap { .. } => self.set_link_phase(fault, true),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let caches = self.faults.caches.remove(&fault).unwrap_or_default();
        match self.scenario.faults[fault].kind {
            FaultKind::Crash { .. } | FaultKind::SiteLoss { .. } => self.schedule_cache_restarts(&caches),
            FaultKind::Hang { .. } => self.resume_hung_caches(&caches),
            FaultKind::Slow { .. } => {
                for cache in &caches {
                    self.member_mut(*cache).slowdown = 1.0;
                }
            }
            FaultKind::Gray { .. } => {
                for cache in &caches {
                    self.member_mut(*cache).error_share = 0.0;
                }
            }
            FaultKind::SlowOrigin { .. } => self.slow_origins(1.0),
            FaultKind::GatewayRestarts => {}
            FaultKind::FlashCrowd { .. } => self.set_crowd(1.0, 0.0),
            FaultKind::SilentFeed => self.resume_feed(),
            FaultKind::FrozenReports => {
                self.members.iter_mut().for_each(|member| member.frozen_report = None);
            }
            FaultKind::LinkFlap { .. } => self.set_link_capacity(1.0),
        }
    }

    /// Draws the caches that a fault concerns until it ends: a share of one site's caches, or of all.
    fn select_caches(&mut self, fault: usize, share: f64, site: Option<usize>) -> Vec<MemberId> {
        let members = self.members.iter().enumerate();
        let caches = members.filter(|(_, member)| {
            member.kind == MemberKind::Cache && site.is_none_or(|site| member.site == site)
        });
        let mut caches: Vec<MemberId> = caches.map(|(id, _)| saturating_u32(id)).collect();
        let wanted = (caches.len() as f64 * share).round() as usize;
        for position in 0..wanted.min(caches.len()) {
            let other = self.faults.rng.random_range(position..caches.len());
            caches.swap(position, other);
        }
        caches.truncate(wanted);
        self.faults.caches.insert(fault, caches.clone());
        caches
    }

    fn crash_caches(&mut self, fault: usize, share: f64, site: Option<usize>) {
        for cache in self.select_caches(fault, share, site) {
            self.crash_member(cache, None);
            self.schedule_after(micros(CRASH_OBSERVED_MS), Event::MemberObserved { member: cache });
        }
    }

    fn schedule_cache_restarts(&mut self, caches: &[MemberId]) {
        for cache in caches {
            let delay = micros(self.faults.rng.random::<f64>() * RESTART_SPREAD_MS);
            self.schedule_after(delay, Event::MemberObserved { member: *cache });
        }
    }

    fn resume_hung_caches(&mut self, caches: &[MemberId]) {
        for cache in caches {
            let member = self.member_mut(*cache);
            member.hung = false;
            member.resume_after_hang();
            self.start_queued_jobs(*cache);
        }
    }

    fn slow_origins(&mut self, slowdown: f64) {
        for member in self.members.iter_mut().filter(|member| member.kind == MemberKind::Origin) {
            member.slowdown = slowdown;
        }
    }

    fn schedule_gateway_restarts(&mut self, within_ms: f64) {
        for gateway in self.gateway_indices() {
            let delay = micros(within_ms * self.faults.rng.random::<f64>());
            self.schedule_after(delay, Event::GatewayRestart { gateway });
        }
    }

    fn set_crowd(&mut self, load_factor: f64, hot_share: f64) {
        self.faults.load_factor = load_factor;
        self.faults.hot_share = hot_share;
    }

    fn freeze_reports(&mut self) {
        for member in &mut self.members {
            member.frozen_report = Some(member.load_report(&self.scenario.members));
        }
    }

    /// Degrades the links to parents or restores them, and schedules the next change while the fault lasts.
    pub(super) fn set_link_phase(&mut self, fault: usize, degraded: bool) {
        let Fault { start_ms, duration_ms, ref kind } = self.scenario.faults[fault];
        let FaultKind::LinkFlap { share, phase_ms } = *kind else { return };
        if self.now >= micros(start_ms + duration_ms) {
            return;
        }
        self.set_link_capacity(if degraded { share } else { 1.0 });
        let next = Event::LinkPhase { fault, degraded: !degraded };
        self.schedule_after(micros(phase_ms), next);
    }

    fn set_link_capacity(&mut self, share: f64) {
        self.parent_links.iter_mut().for_each(|link| link.capacity_share = share);
    }
}
