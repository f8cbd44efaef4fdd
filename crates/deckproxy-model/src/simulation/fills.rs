//! Copies in caches and parents, and fills of what they miss.

use super::Simulation;
use super::event::Event;
use super::job::{Job, JobHandle, JobOwner};
use crate::balancer::MemberRequest;
use crate::load::Class;
use crate::members::{JobSlot, MemberId, MemberKind};
use crate::{Micros, micros};
use deckproxy::protocol::upstream::Status;
use std::iter;

/// From a purge until members have removed older copies by themselves, in milliseconds.
const PURGE_COMPLETES_MS: f64 = 6000.0;
/// From the crash of an overloaded cache until the control feed observes it, in milliseconds.
const OVERLOAD_OBSERVED_MS: f64 = 3000.0;
/// Least share of a link's bandwidth, so that a fill over a failed link ends.
const MIN_LINK_SHARE: f64 = 1e-3;

impl Simulation {
    /// A cache or parent answers from its store, or fills what it misses.
    pub(super) fn serve_from_store(&mut self, slot: JobSlot) {
        let job = self.jobs.at(slot);
        self.remove_purged_copy(&job);
        if let Some(issued) = self.usable_copy(&job) {
            if self.member(job.member).kind == MemberKind::Cache {
                self.recorder.current.hits += 1;
            }
            if !self.overloads_cache(slot) {
                self.finish(slot, Status::Ok, Some(issued));
            }
            return;
        }
        // A miss without a source transfers nothing, so that it cannot overload the cache.
        let Some(source) = self.fill_source(&job) else {
            return self.finish(slot, Status::Miss, None);
        };
        if !self.overloads_cache(slot) {
            self.join_or_start_fill(slot, &job, source);
        }
    }

    fn remove_purged_copy(&mut self, job: &Job) {
        let object = job.request.object;
        let Some(purged_at) = self.purges.get(&object).copied() else { return };
        if self.now > purged_at + micros(PURGE_COMPLETES_MS) {
            self.member_mut(job.member).store.remove_issued_before(object, purged_at);
        }
    }

    fn usable_copy(&mut self, job: &Job) -> Option<Micros> {
        if job.request.class != Class::Read {
            return None;
        }
        let issued = self.member_mut(job.member).store.get(job.request.object)?;
        job.request.accepts_copy(issued, self.now).then_some(issued)
    }

    fn fill_source(&self, job: &Job) -> Option<MemberId> {
        match self.member(job.member).kind {
            MemberKind::Cache => job.request.source,
            MemberKind::Parent => Some(self.origin_of(job.member)),
            MemberKind::Origin => None,
        }
    }

    /// Whether a job overloads a cache that warms up, which then crashes.
    fn overloads_cache(&mut self, slot: JobSlot) -> bool {
        let job = self.jobs.at(slot);
        let cache = &mut self.members[job.member as usize];
        if !cache.is_overloaded_by(self.now, job.request.size_kb, &self.scenario.members) {
            return false;
        }
        self.checker.cache_overloaded(self.now, job.member);
        self.crash_member(job.member, Some(slot));
        let observed = Event::MemberObserved { member: job.member };
        self.schedule_after(micros(OVERLOAD_OBSERVED_MS), observed);
        true
    }

    /// A job waits for a fill of its object that is in flight, or leads a new one.
    fn join_or_start_fill(&mut self, slot: JobSlot, job: &Job, source: MemberId) {
        let fills = &mut self.member_mut(job.member).fills;
        if job.request.join_fill
            && let Some(waiters) = fills.get_mut(&job.request.object)
        {
            waiters.push(slot);
            return;
        }
        if job.request.class == Class::Read {
            fills.entry(job.request.object).or_default();
        }
        match self.member(source).kind {
            MemberKind::Origin => self.recorder.current.origin_fills += 1,
            _ => self.recorder.current.parent_fills += 1,
        }
        let leader = JobHandle { slot, number: job.number };
        let owner = JobOwner::Fill { member: job.member, leader };
        let request = MemberRequest { source: None, join_fill: true, ..job.request };
        let fill = self.create_job(owner, source, request);
        self.schedule_after(self.fill_latency(job.member), Event::FillAtSource { job: fill });
    }

    pub(super) fn fill_at_source(&mut self, handle: JobHandle) {
        let Some(job) = self.jobs.get(handle) else { return };
        let source = self.member(job.member);
        if !source.up || source.epoch != job.epoch {
            return self.finish(handle.slot, Status::Error, None);
        }
        self.enqueue(handle.slot);
    }

    /// A source has sent the result of a fill at a time; to a cache it goes over the location's shared link.
    pub(super) fn send_fill(
        &mut self,
        member: MemberId,
        leader: JobHandle,
        size_kb: f64,
        sent_at: Micros,
        issued: Option<Micros>,
    ) {
        let filled = &self.members[member as usize];
        let mut carried_at = sent_at;
        if filled.kind == MemberKind::Cache {
            let link = &mut self.parent_links[filled.location];
            let share = link.capacity_share.max(MIN_LINK_SHARE);
            let kb_per_s = self.scenario.members.parent_link_kb_per_s * share;
            carried_at = link.free_at.max(sent_at) + micros(size_kb / kb_per_s * 1000.0);
            link.free_at = carried_at;
        }
        let arrives_at = carried_at + self.fill_latency(member);
        self.schedule(arrives_at, Event::FillDone { job: leader, issued });
    }

    /// The result of a fill reaches the job that leads it, and those that wait for it.
    pub(super) fn fill_done(&mut self, leader: JobHandle, issued: Option<Micros>) {
        let Some(job) = self.jobs.get(leader) else { return };
        let MemberRequest { object, class, store, .. } = job.request;
        let member = self.member_mut(job.member);
        if member.epoch != job.epoch {
            return;
        }
        let waiters = member.fills.remove(&object).unwrap_or_default();
        let stores = class == Class::Read && (store || member.kind == MemberKind::Parent);
        if let Some(issued) = issued.filter(|_| stores) {
            member.store.put(object, issued);
        }
        for slot in iter::once(leader.slot).chain(waiters) {
            self.finish_filled_job(slot, issued);
        }
    }

    fn finish_filled_job(&mut self, slot: JobSlot, issued: Option<Micros>) {
        let job = self.jobs.at(slot);
        if job.cancelled {
            self.recorder.current.wasted += 1;
            return self.jobs.remove(slot);
        }
        match issued {
            None => self.finish(slot, Status::Error, None),
            Some(issued) if job.request.accepts_copy(issued, self.now) => {
                self.finish(slot, Status::Ok, Some(issued));
            }
            // It joined a fill that began before the purge that limits the age it accepts.
            Some(_) => self.serve_from_store(slot),
        }
    }

    /// One-way latency between a member and the source of its fills.
    fn fill_latency(&self, member: MemberId) -> Micros {
        let latency_ms = self.scenario.members.latency_ms;
        match self.member(member).kind {
            MemberKind::Cache => micros(latency_ms[1]),
            MemberKind::Parent | MemberKind::Origin => micros(latency_ms[2]),
        }
    }
}
