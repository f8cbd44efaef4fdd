//! Work at members: arrivals, queues, cores, replies, cancellations and crashes.

use super::Simulation;
use super::event::Event;
use super::job::{Attempt, Job, JobHandle, JobOwner};
use crate::balancer::{MemberReply, MemberRequest};
use crate::check::TraceEvent;
use crate::load::Class;
use crate::members::{JobSlot, MemberId, MemberKind};
use crate::{Micros, micros, unix_ms};
use deckproxy::protocol::upstream::Status;
use rand::RngExt;

/// From the notice that a member has gone until no attempt may be sent to it, in milliseconds.
const DRAIN_GRACE_MS: f64 = 500.0;
/// Size of an answer without a copy, in KB.
const EMPTY_ANSWER_KB: f64 = 0.3;
/// Service times are uniformly distributed over this range of multiples of their mean.
const SERVICE_TIME_JITTER: (f64, f64) = (0.6, 0.8);

impl Simulation {
    pub(super) fn create_job(
        &mut self,
        owner: JobOwner,
        member: MemberId,
        request: MemberRequest,
    ) -> JobHandle {
        let epoch = self.member(member).epoch;
        let sent_at = self.now;
        self.jobs.insert(Job { number: 0, owner, member, epoch, request, cancelled: false, sent_at })
    }

    /// An attempt reaches its member.
    pub(super) fn attempt_at_member(&mut self, slot: JobSlot) {
        let job = self.jobs.at(slot);
        let JobOwner::Attempt(attempt) = job.owner else { return };
        let member = self.member(job.member);
        if !member.up || member.epoch != job.epoch {
            if !job.cancelled {
                self.break_connection(&attempt, false);
            }
            return self.jobs.remove(slot);
        }
        if job.cancelled {
            return self.jobs.remove(slot);
        }
        self.checker.attempt_arrived(self.now, attempt.request, attempt.key, job.member);
        self.check_drain(&job, &attempt);
        if self.member(job.member).kind == MemberKind::Cache {
            self.recorder.current.attempts += 1;
        }
        self.member_mut(job.member).attempts_received += 1;
        self.enqueue(slot);
    }

    /// Checks that the gateway had not known for long that the member was gone when it sent an attempt.
    fn check_drain(&mut self, job: &Job, attempt: &Attempt) {
        let node = self.gateway(attempt.request.gateway);
        let Some(notified_at) = node.gone_members.get(&job.member).copied() else { return };
        let after_grace = job.sent_at > notified_at + micros(DRAIN_GRACE_MS);
        if after_grace && node.incarnation == attempt.request.incarnation {
            self.checker.sent_after_drain(self.now, job.member);
        }
    }

    /// A job waits for a core, or is rejected because the queue is full.
    pub(super) fn enqueue(&mut self, slot: JobSlot) {
        let id = self.jobs.at(slot).member;
        let member = &mut self.members[id as usize];
        if !member.has_queue_capacity(&self.scenario.members) {
            return self.finish(slot, Status::Rejected, None);
        }
        member.queue.push_back(slot);
        self.start_queued_jobs(id);
    }

    /// Free cores of a member take jobs from its queue.
    pub(super) fn start_queued_jobs(&mut self, id: MemberId) {
        loop {
            let member = &mut self.members[id as usize];
            if !member.up || member.hung || member.busy_cores >= member.cores(&self.scenario.members) {
                return;
            }
            let Some(slot) = member.queue.pop_front() else { return };
            let job = self.jobs.at(slot);
            if job.cancelled {
                self.jobs.remove(slot);
                continue;
            }
            member.busy_cores += 1;
            let (epoch, mean_ms) = (member.epoch, member.service_time_ms(&self.scenario.members));
            let (least, range) = SERVICE_TIME_JITTER;
            let jitter = least + range * self.member_rngs[id as usize].random::<f64>();
            let handle = JobHandle { slot, number: job.number };
            let done = Event::ServiceDone { member: id, epoch, job: handle };
            self.schedule_after(micros(mean_ms * jitter).max(1), done);
        }
    }

    /// A core has finished a job.
    pub(super) fn service_done(&mut self, id: MemberId, epoch: u32, handle: JobHandle) {
        let member = self.member_mut(id);
        if member.epoch != epoch {
            return;
        }
        member.busy_cores -= 1;
        if member.hung {
            // No answer is ever sent; the gateway will time out.
            return;
        }
        self.start_queued_jobs(id);
        let Some(job) = self.jobs.get(handle) else { return };
        if job.cancelled {
            self.recorder.current.wasted += 1;
            return self.jobs.remove(handle.slot);
        }
        if self.fails_by_gray_fault(id) {
            return self.finish(handle.slot, Status::Error, None);
        }
        if self.member(id).kind == MemberKind::Origin {
            self.serve_at_origin(handle.slot, &job);
        } else {
            self.serve_from_store(handle.slot);
        }
    }

    fn fails_by_gray_fault(&mut self, id: MemberId) -> bool {
        let error_share = self.member(id).error_share;
        error_share > 0.0 && self.member_rngs[id as usize].random::<f64>() < error_share
    }

    /// The origin answers everything; it runs a keyed write once, however often it arrives.
    fn serve_at_origin(&mut self, slot: JobSlot, job: &Job) {
        let write = job.request.write_id;
        let runs = match job.request.class {
            Class::Read => false,
            Class::KeyedWrite => self.keyed_writes.insert(write, self.now).is_none(),
            Class::UnkeyedWrite => true,
        };
        if runs {
            self.checker.write_ran(self.now, write);
        }
        self.finish(slot, Status::Ok, Some(self.now));
    }

    /// Ends a job: its result goes to the gateway, or to the member that fills from it.
    pub(super) fn finish(&mut self, slot: JobSlot, status: Status, issued: Option<Micros>) {
        let job = self.jobs.at(slot);
        self.jobs.remove(slot);
        let settings = &self.scenario.members;
        let size_kb = if status == Status::Ok { job.request.size_kb } else { EMPTY_ANSWER_KB };
        let member = &mut self.members[job.member as usize];
        let sent_at = member.send(self.now, size_kb, settings);
        match job.owner {
            JobOwner::Attempt(Attempt { request, key }) => {
                let load = member.load_report(settings);
                let reply = MemberReply { status, issued_unix_ms: issued.map(unix_ms), load };
                self.checker.attempt_ended(self.now, request, key, job.member);
                let (gateway, incarnation) = (request.gateway, request.incarnation);
                let event = Event::ReplyAtGateway { gateway, incarnation, key, reply };
                self.schedule(sent_at + self.gateway_latency(), event);
            }
            JobOwner::Fill { member, leader } => {
                let issued = if status == Status::Ok { Some(issued.unwrap_or(0).max(1)) } else { None };
                self.send_fill(member, leader, size_kb, sent_at, issued);
            }
        }
    }

    /// The cancellation of an attempt reaches its member.
    pub(super) fn cancel_at_member(&mut self, handle: JobHandle) {
        let Some(job) = self.jobs.get(handle).filter(|job| !job.cancelled) else { return };
        self.jobs.cancel(handle.slot);
        if let JobOwner::Attempt(Attempt { request, key }) = job.owner {
            self.checker.attempt_ended(self.now, request, key, job.member);
        }
        // A job that waits for a core leaves the queue; one that is worked on is dropped when that ends.
        let queue = &mut self.member_mut(job.member).queue;
        if let Some(position) = queue.iter().position(|slot| *slot == handle.slot) {
            queue.remove(position);
            self.jobs.remove(handle.slot);
        }
    }

    /// A member crashes with all jobs that have arrived; `overloading` is the job that caused it, if one did.
    pub(super) fn crash_member(&mut self, id: MemberId, overloading: Option<JobSlot>) {
        if !self.member(id).up {
            return;
        }
        let epoch = self.member(id).epoch;
        self.checker.trace(self.now, TraceEvent::MemberChanged { member: id, up: false });
        self.member_mut(id).crash();
        for slot in self.jobs.slots_of(id) {
            let job = self.jobs.at(slot);
            // Attempts that are still under way find the member down when they arrive.
            let on_time = job.sent_at + self.gateway_latency() <= self.now;
            if job.epoch == epoch && (on_time || Some(slot) == overloading) {
                self.lose_job(slot, &job);
            }
        }
    }

    /// A job ends with its member's crash.
    fn lose_job(&mut self, slot: JobSlot, job: &Job) {
        match job.owner {
            JobOwner::Attempt(attempt) if !job.cancelled => {
                self.checker.attempt_ended(self.now, attempt.request, attempt.key, job.member);
                self.break_connection(&attempt, true);
            }
            JobOwner::Attempt(_) => {}
            JobOwner::Fill { leader, .. } => {
                let latency = micros(self.scenario.members.latency_ms[1]);
                self.schedule_after(latency, Event::FillDone { job: leader, issued: None });
            }
        }
        self.jobs.remove(slot);
    }

    fn break_connection(&mut self, attempt: &Attempt, sent: bool) {
        let Attempt { request, key } = *attempt;
        let (gateway, incarnation) = (request.gateway, request.incarnation);
        let event = Event::ConnectionBroken { gateway, incarnation, key, sent };
        self.schedule_after(self.gateway_latency(), event);
    }
}
