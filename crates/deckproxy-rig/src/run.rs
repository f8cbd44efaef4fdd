//! A whole run of a plan, and what it leaves to be judged.

use crate::absence::Absences;
use crate::client_population::Counts;
use crate::load_generator::ClientAttempt;
use crate::plan::Plan;
use crate::relay::DatagramCounts;
use crate::rig::Rig;
use deckproxy_standins::load_client::RequestGenerator;
use deckproxy_standins::record::Seen;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a run left.
#[derive(Clone)]
pub struct RunRecord {
    /// The plan.
    pub plan: Plan,
    /// What passed on the sockets of clients and members.
    pub facts: Vec<Seen>,
    /// Unix time at which the record began, ms.
    pub start_unix_ms: u64,
    /// When the traffic began, ms of the record.
    pub traffic_from: f64,
    /// When the traffic ended, ms of the record.
    pub traffic_to: f64,
    /// When all processes had ended, ms of the record.
    pub end: f64,
    /// The log of each instance.
    pub logs: Vec<String>,
    /// When each instance could not answer.
    pub absences: Vec<Absences>,
    /// What clients counted that send one request at a time.
    pub counts: Arc<Counts>,
    /// All attempts of clients in an open loop.
    pub attempts: Vec<ClientAttempt>,
    /// All members' names; the caches zone after zone first.
    pub members: Vec<String>,
    /// Datagrams between instances while there was traffic.
    pub datagrams: DatagramCounts,
    /// Processes that did not end as they should have, or whose own checks failed.
    pub process_faults: Vec<String>,
}

/// The beginning or the end of a fault of the plan.
#[derive(Clone, Copy)]
struct FaultEvent {
    /// Seconds after the traffic began.
    at: f64,
    /// The fault's place in the plan.
    fault: usize,
    is_begin: bool,
}

/// Runs a plan. `report` is called with the second and the text of each fault as it begins and ends.
///
/// # Panics
///
/// If the instances cannot be started, or do not form a fleet in time.
pub fn run_plan(plan: &Plan, requests: &RequestGenerator, mut report: impl FnMut(f64, &str)) -> RunRecord {
    let mut rig = Rig::start(plan, requests);
    let start = Instant::now();
    for FaultEvent { at, fault, is_begin } in fault_events(plan) {
        sleep_until(start, at);
        let fault = &plan.faults[fault];
        let word = if is_begin { "begins" } else { "ends" };
        report(at, &format!("{} {word}", fault.kind.text()));
        if is_begin {
            rig.begin_fault(&fault.kind, fault.duration);
        } else {
            rig.end_fault(&fault.kind);
        }
    }
    sleep_until(start, plan.seconds);
    rig.finish()
}

/// Beginnings and ends in the order of time; at one time in the order of the plan.
fn fault_events(plan: &Plan) -> Vec<FaultEvent> {
    let mut events = Vec::new();
    for (i, fault) in plan.faults.iter().enumerate() {
        events.push(FaultEvent { at: fault.at, fault: i, is_begin: true });
        events.push(FaultEvent { at: fault.at + fault.duration, fault: i, is_begin: false });
    }
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    events
}

fn sleep_until(start: Instant, seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(start.elapsed()));
}
