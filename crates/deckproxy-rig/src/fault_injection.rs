//! The faults of a plan, inflicted on a rig that runs.

use crate::instance_process::InstanceProcess;
use crate::plan::{CacheFault, FaultKind};
use crate::relay::DatagramFaults;
use crate::rig::Rig;
use crate::saturating_u32;
use deckproxy_standins::link_relay::LinkState;
use deckproxy_standins::site::{NodeFault, zone_name};
use std::thread;
use std::time::Duration;

impl Rig {
    /// Begins a fault. `duration`: seconds over which a rolling restart is spread. Processes are changed in the background;
    /// [`Rig::wait_for_processes`] waits for them.
    pub fn begin_fault(&mut self, kind: &FaultKind, duration: f64) {
        match kind {
            FaultKind::Kill(i) => self.change_process(*i, InstanceProcess::kill),
            FaultKind::Pause(i) => self.change_process(*i, InstanceProcess::pause),
            FaultKind::Restart(i) => self.change_process(*i, InstanceProcess::restart),
            FaultKind::RollingRestart => self.restart_all(duration),
            FaultKind::Split(part) => self.relays.cut(self.pairs_across(part)),
            FaultKind::Mute(part) => self.relays.cut(self.pairs_out_of(part)),
            FaultKind::Datagrams(faults) => self.relays.set_faults(*faults),
            FaultKind::Cache(number, fault) => self.set_cache_fault(*number, *fault),
            FaultKind::Cut { instances, zone, is_silent } => {
                let state = if *is_silent { LinkState::Silent } else { LinkState::Reset };
                self.set_links(instances, *zone, state);
            }
            FaultKind::Load(times) => self.rate.set(self.plan.rate * times),
            FaultKind::SlowOrigin(ms) => self.site.slow_origin(*ms),
            FaultKind::ColdZone(zone) => self.crash_zone(*zone),
            FaultKind::Feed { instances, delay_ms } => {
                self.set_feeds(instances, FeedFault { is_silent: *delay_ms == 0, delay_ms: *delay_ms });
            }
        }
    }

    /// Ends a fault, as far as it does not end by itself.
    pub fn end_fault(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::Kill(i) => self.change_process(*i, InstanceProcess::start),
            FaultKind::Pause(i) => self.change_process(*i, InstanceProcess::resume),
            FaultKind::Restart(_) | FaultKind::RollingRestart => {}
            FaultKind::Split(part) => self.relays.join(self.pairs_across(part)),
            FaultKind::Mute(part) => self.relays.join(self.pairs_out_of(part)),
            FaultKind::Datagrams(_) => self.relays.set_faults(DatagramFaults::default()),
            FaultKind::Cache(number, CacheFault::Crashes) => self.site.restart(&self.caches()[*number]),
            FaultKind::Cache(number, _) => self.site.set_fault(&self.caches()[*number], NodeFault::None),
            FaultKind::Cut { instances, zone, .. } => self.set_links(instances, *zone, LinkState::Up),
            FaultKind::Load(_) => self.rate.set(self.plan.rate),
            FaultKind::SlowOrigin(_) => self.site.slow_origin(0),
            FaultKind::ColdZone(zone) => self.restart_zone(*zone),
            FaultKind::Feed { instances, .. } => self.set_feeds(instances, FeedFault::default()),
        }
    }

    /// Changes a process in the background.
    fn change_process(&mut self, index: usize, change: impl FnOnce(&mut InstanceProcess) + Send + 'static) {
        let instance = self.instances[index].clone();
        self.pending_changes.push(thread::spawn(move || change(&mut instance.lock().unwrap())));
    }

    /// Restarts all instances, one after another in even steps.
    fn restart_all(&mut self, duration: f64) {
        let gap = Duration::from_secs_f64(duration / self.plan.instances as f64);
        for index in 0..self.plan.instances {
            self.change_process(index, move |instance| {
                thread::sleep(gap * saturating_u32(instance.index));
                instance.restart();
            });
        }
    }

    /// Pairs from a part of the instances to the others.
    fn pairs_out_of(&self, part: &[usize]) -> Vec<(usize, usize)> {
        let others: Vec<usize> = (0..self.plan.instances).filter(|i| !part.contains(i)).collect();
        part.iter().flat_map(|from| others.iter().map(|to| (*from, *to))).collect()
    }

    /// The same pairs, both ways.
    fn pairs_across(&self, part: &[usize]) -> Vec<(usize, usize)> {
        let out = self.pairs_out_of(part);
        let back: Vec<(usize, usize)> = out.iter().map(|(from, to)| (*to, *from)).collect();
        [out, back].concat()
    }

    fn set_cache_fault(&self, number: usize, fault: CacheFault) {
        let cache = &self.caches()[number];
        match fault {
            CacheFault::Crashes => self.site.crash(cache),
            CacheFault::Hangs => self.site.set_fault(cache, NodeFault::Hangs),
            CacheFault::Fails(share) => self.site.set_fault(cache, NodeFault::Fails(share)),
            CacheFault::Slow(ms) => self.site.set_fault(cache, NodeFault::Slow(ms)),
        }
    }

    /// Sets the connections of instances (none: all) to the caches of a zone.
    fn set_links(&self, instances: &[usize], zone: usize, state: LinkState) {
        let caches = self.site.caches_in_zone(&zone_name(self.plan.zones, zone));
        for ((instance, member), relay) in &self.member_relays {
            if (instances.is_empty() || instances.contains(instance)) && caches.contains(member) {
                relay.set_state(state);
            }
        }
    }

    fn crash_zone(&self, zone: usize) {
        for cache in self.site.caches_in_zone(&zone_name(self.plan.zones, zone)) {
            self.site.crash(&cache);
        }
    }

    fn restart_zone(&self, zone: usize) {
        for cache in self.site.caches_in_zone(&zone_name(self.plan.zones, zone)) {
            self.site.restart(&cache);
        }
    }

    /// Sets the control feeds of instances (none: all).
    fn set_feeds(&mut self, instances: &[usize], fault: FeedFault) {
        for index in 0..self.plan.instances {
            if instances.is_empty() || instances.contains(&index) {
                self.change_process(index, move |instance| {
                    instance.feed.set_silent(fault.is_silent);
                    instance.feed.set_delay(fault.delay_ms);
                });
            }
        }
    }
}

/// How a control feed fares.
#[derive(Clone, Copy, Default)]
struct FeedFault {
    /// It sends no events.
    is_silent: bool,
    /// Milliseconds by which its events are late.
    delay_ms: u64,
}
