//! Work in flight at members.

use crate::Micros;
use crate::balancer::{AttemptKey, MemberRequest};
use crate::check::RequestKey;
use crate::members::{JobSlot, MemberId};

/// A job that may have ended: its slot may have been reused since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobHandle {
    pub(super) slot: JobSlot,
    pub(super) number: u64,
}

/// An attempt of a gateway at a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The request at the gateway's incarnation that sent it.
    pub(super) request: RequestKey,
    /// The gateway's key of it.
    pub(super) key: AttemptKey,
}

/// Who gets the result of a job.
#[derive(Clone, Copy, Debug)]
pub(super) enum JobOwner {
    /// The gateway that sent an attempt.
    Attempt(Attempt),
    /// The job that leads a fill, at the member that is filled.
    Fill { member: MemberId, leader: JobHandle },
}

/// Work at a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// One more for each job of the run; 0 in a free slot.
    pub(super) number: u64,
    pub(super) owner: JobOwner,
    pub(super) member: MemberId,
    /// Epoch of the member when the job was sent.
    pub(super) epoch: u32,
    pub(super) request: MemberRequest,
    /// Nobody waits for the result any more.
    pub(super) cancelled: bool,
    pub(super) sent_at: Micros,
}

/// All jobs, in slots that are reused.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: Vec<Job>,
    free_slots: Vec<JobSlot>,
    last_number: u64,
}

impl JobTable {
    /// Adds a job and gives it a number.
    pub(super) fn insert(&mut self, job: Job) -> JobHandle {
        self.last_number += 1;
        let number = self.last_number;
        let job = Job { number, ..job };
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.jobs[slot] = job;
            slot
        } else {
            self.jobs.push(job);
            self.jobs.len() - 1
        };
        JobHandle { slot, number }
    }

    /// Ends a job; its slot may be reused.
    pub(super) fn remove(&mut self, slot: JobSlot) {
        self.jobs[slot].number = 0;
        self.free_slots.push(slot);
    }

    /// The job in a slot that is known to be in use.
    pub(super) fn at(&self, slot: JobSlot) -> Job {
        self.jobs[slot]
    }

    /// A job, unless it has ended.
    pub(super) fn get(&self, handle: JobHandle) -> Option<Job> {
        Some(self.jobs[handle.slot]).filter(|job| job.number == handle.number)
    }

    /// Marks a job as cancelled.
    pub(super) fn cancel(&mut self, slot: JobSlot) {
        self.jobs[slot].cancelled = true;
    }

    /// The slots of a member's jobs, in order.
    pub(super) fn slots_of(&self, member: MemberId) -> Vec<JobSlot> {
        let is_there = |slot: &JobSlot| self.jobs[*slot].number > 0 && self.jobs[*slot].member == member;
        (0..self.jobs.len()).filter(is_there).collect()
    }
}
