//! Every decision of the router. Types, events and actions are in `interface.rs`; read that file first.
//!
//! The ordinary path: a request is looked up at the cache of the location that a shared rendezvous hash
//! of its object selects. After a miss one request per object and part leads a fill from the parent that
//! the same hash selects among all listed parents; the other requests wait for it. The rest of the code
//! handles faults and overload. Requests enter in `dispatch`, all attempts are sent by `attempt_sending`,
//! and `attempt_outcomes` decides what follows the end of an attempt.

mod admission;
mod attempt_limits;
mod attempt_outcomes;
mod attempt_sending;
mod capacity_estimate;
mod collapsing;
mod decay;
mod dispatch;
mod latency_inflation;
mod load;
mod member_list;
mod member_order;
mod member_state;
mod member_table;
mod outcome_accounting;
mod outlier_ejection;
mod periodic_timer;
mod pool;
mod purge_bounds;
mod rendezvous_hash;
mod request_state;
mod retry_budget;
mod sending_times;
mod shared_load;
mod slow_start;
mod source_order;
mod tuning;

use crate::interface::{Action, Event, ListKind, Millis, RequestId, Settings};
use capacity_estimate::KindThroughput;
use collapsing::{CollapsedFill, FillKey};
use decay::DecayingSum;
use latency_inflation::LatencyInflation;
use member_table::MemberTable;
use purge_bounds::PurgeTarget;
use request_state::{AttemptResult, PendingRequest};
use retry_budget::RetryBudget;
use sending_times::{ClassSendingTime, ObjectStats};
use shared_load::SharedLoad;
use std::collections::BTreeMap;
use tuning::WATCH_RETRY_DELAY;

/// Token of the periodic timer.
const PERIODIC_TIMER: u64 = 0;
/// Token of the timer that renews a broken subscription to the member list.
const WATCH_TIMER: u64 = 1;

/// State of the periodic timer.
#[derive(Clone, Copy, Default)]
struct TimerState {
    is_armed: bool,
    due_at: Millis,
    /// Clock time of the run after the last stall of the router. Silence before it is no evidence.
    resumed_at: Millis,
}

/// Numbers of entries in the tables that grow with members and traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Members that are listed, and members that left while they were warming up.
    pub members: usize,
    /// Requests without a final answer or with an attempt in flight.
    pub requests: usize,
    /// Fills that have a leader.
    pub fills: usize,
    /// Objects whose demand and sending time are tracked.
    pub objects: usize,
    /// Purges after which older copies may still exist.
    pub purges: usize,
}

/// One router: a state machine without I/O.
#[derive(Default)]
pub struct Control {
    settings: Settings,
    /// Clock time of the event being handled.
    now: Millis,
    /// Actions for that event so far.
    actions: Vec<Action>,
    members: MemberTable,
    /// By class.
    class_sending_times: Vec<ClassSendingTime>,
    pending: BTreeMap<RequestId, PendingRequest>,
    collapsed_fills: BTreeMap<FillKey, CollapsedFill>,
    /// Clock time of the latest purge, by its target.
    purges: BTreeMap<PurgeTarget, Millis>,
    /// Decaying sum of the sending times of all requests, in ms.
    demand: DecayingSum,
    objects: BTreeMap<u64, ObjectStats>,
    /// By kind of member; used when the member list does not contain capacities.
    kind_throughput: BTreeMap<u32, KindThroughput>,
    /// Latency inflation of answers that were fetched from the origin.
    origin_latency: LatencyInflation,
    /// Transfers in flight over the location's link.
    link: SharedLoad,
    retry_budget: RetryBudget,
    timer: TimerState,
    /// Log lines written so far.
    log_lines: u32,
}

impl Control {
    /// Creates a router that has just started. The seed is reserved for random decisions; there are none
    /// so far.
    pub fn new(settings: Settings, _seed: u64) -> Self {
        let class_sending_times = settings.classes.iter().map(ClassSendingTime::initial_estimate).collect();
        let members = MemberTable::new(&settings);
        Control { settings, members, class_sending_times, ..Control::default() }
    }

    /// Handles one event at clock time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.handle_event(event);
        self.arm_periodic_timer();
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Started if self.settings.subscribe_to_member_list => self.watch_members(),
            Event::Timer(WATCH_TIMER) => self.watch_members(),
            Event::MemberList(ListKind::Failed, _) => self.schedule_watch(),
            Event::MemberList(kind, list) => self.update_members(kind, list),
            Event::Request(request) => self.accept_request(request),
            Event::StreamStarted { request, attempt } => self.mark_streaming(request, attempt),
            Event::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load } => {
                let result = AttemptResult { member, ending, elapsed, note, load };
                self.handle_outcome(request, attempt, result, finished);
            }
            Event::ClientGone(request) => self.abandon(request),
            Event::Timer(_) => self.run_periodic_tasks(),
            Event::Purged { object, group, age } => self.record_purge(object, group, age),
            Event::HealthChecked { .. } | Event::PeerMessage(..) | Event::Started => {}
        }
    }

    fn watch_members(&mut self) {
        self.actions.push(Action::WatchMembers(true));
    }

    fn schedule_watch(&mut self) {
        let at = self.now + WATCH_RETRY_DELAY;
        self.actions.push(Action::Timer { token: WATCH_TIMER, at });
    }

    fn mark_streaming(&mut self, id: RequestId, attempt_number: u32) {
        if let Some(pending) = self.pending.get_mut(&id) {
            let in_flight = pending.in_flight.iter().any(|attempt| attempt.number == attempt_number);
            pending.is_streaming |= in_flight;
        }
    }

    /// Ends a request whose client has disconnected.
    fn abandon(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.has_ended = true;
        }
        self.remove_if_settled(id);
    }

    /// Numbers of entries in the router's tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            members: self.members.len(),
            requests: self.pending.len(),
            fills: self.collapsed_fills.len(),
            objects: self.objects.len(),
            purges: self.purges.len(),
        }
    }
}
