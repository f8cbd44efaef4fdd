//! Every decision of the router. Types, events and actions are in `interface.rs`; read that file first.
//! The ordinary path: a request is looked up at the cache that a shared hash of its object picks in the
//! location; after a miss one request per (object, part) leads a fill from the parent that the same hash
//! picks over all listed parents, and the others wait for it. Everything else here treats trouble.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

mod collapsing;
mod dispatch;
mod endpoints;
mod gate;
mod load;
mod ordering;
mod outcomes;
mod requests;
mod sweep;
mod tuning;

use collapsing::*;
use endpoints::*;
use load::*;
use ordering::*;
use requests::*;
use tuning::*;

/// One router.
#[derive(Default)]
pub struct Control {
    s: Settings,
    now: Millis,
    acts: Vec<Action>,
    peers: BTreeMap<MemberId, Peer>,
    /// By class: mean sending time in ms, and the answers it comes from.
    means: Vec<(f64, f64)>,
    open: BTreeMap<RequestId, Open>,
    table: BTreeMap<Key, Collapse>,
    /// Instant of the last purge, by object, or by group where no object is named.
    purged: BTreeMap<(Option<u64>, u32), Millis>,
    /// Work asked for lately in all, and when that was brought up to date; what is known by object.
    asked: (f64, Millis),
    objects: BTreeMap<u64, Known>,
    /// What members bear, by kind, where the list tells no sizes.
    borne: BTreeMap<u32, Borne>,
    /// The pace of answers by way of the origin.
    origin_pace: Pace,
    /// Attempts that draw on the location's link.
    link: Shared,
    retries: f64,
    sweeping: bool,
    sweep_due: Millis,
    logs: u32,
}

impl Control {
    /// A router that has just started. The seed is for decisions by chance; there are none so far.
    pub fn new(settings: Settings, _seed: u64) -> Self {
        let means = settings.classes.iter().map(|c| (c.deadline / 10.0, 0.0)).collect();
        Control { means, s: settings, retries: RETRY_MOST, ..Control::default() }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, acts: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Started if self.s.poll_member_list => self.acts.push(Action::WatchMembers(true)),
            Event::Timer(1) => self.acts.push(Action::WatchMembers(true)),
            Event::MemberList(ListKind::Failed, _) => {
                self.acts.push(Action::Timer { token: 1, at: now + REWATCH });
            }
            Event::MemberList(kind, list) => self.members(kind, list),
            Event::Request(r) => self.request(r),
            Event::StreamStarted { request, attempt } => {
                let o = self.open.get_mut(&request).into_iter();
                o.for_each(|o| o.streaming |= o.out.iter().any(|a| a.no == attempt));
            }
            Event::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load } => {
                self.outcome(request, attempt, Ended { member, ending, elapsed, note, load }, finished);
            }
            Event::ClientGone(id) => {
                self.open.get_mut(&id).into_iter().for_each(|o| o.ended = true);
                self.close(id);
            }
            Event::Timer(_) => self.sweep(),
            Event::Purged { object, group, age } => {
                let at = now - age.max(0.0);
                let last =
                    self.purged.entry((object, if object.is_some() { 0 } else { group })).or_insert(at);
                *last = last.max(at);
                self.purged.retain(|_, at| now <= *at + self.s.purge_settle_time);
            }
            Event::HealthChecked { .. } | Event::PeerMessage(..) | Event::Started => {}
        }
        if !self.sweeping && !self.open.is_empty() {
            (self.sweeping, self.sweep_due) = (true, now + SWEEP);
            self.acts.push(Action::Timer { token: 0, at: self.sweep_due });
        }
        acts.append(&mut self.acts);
    }

    /// Sizes of what grows with what passes by: members, requests, fills, objects, purges.
    pub fn sizes(&self) -> [usize; 5] {
        [self.peers.len(), self.open.len(), self.table.len(), self.objects.len(), self.purged.len()]
    }
}
