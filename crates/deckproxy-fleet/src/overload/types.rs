//! Settings, requests and verdicts of the fleet's load shedding.

use super::shed_controller::Limits;
use super::summary::Resource;
use crate::Millis;
use crate::instance::Name;
use deckproxy_recovery::budget;

/// Properties of a class of requests that load shedding depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Priority band, by the priority weight of the class; 0 is the lowest.
    pub band: usize,
    /// Requests of the class have side effects: they are not served from a cache, and a retry of one that may have run is
    /// not shed.
    pub has_effect: bool,
}

/// Settings of the fleet's load shedding.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name, from which the key of all draws is derived.
    pub fleet: String,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// Thresholds of the shed controller.
    pub limits: Limits,
    /// Retry budget of an instance while no load is shed.
    pub retry_budget: budget::Limits,
    /// Rejections carry a retry-after time, and retries before that time are rejected.
    pub sends_retry_after: bool,
    /// Shortest retry-after, in milliseconds.
    pub min_retry_after: Millis,
    /// Longest retry-after, in milliseconds.
    pub max_retry_after: Millis,
    /// Minimum number of rejected requests, and of served objects, that are remembered.
    pub remembered: usize,
    /// Length of a counting window, in milliseconds.
    pub window: Millis,
}

/// Another instance that is present in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentInstance {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// The instances that are present, according to this instance's view of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Presence {
    /// The name of this instance; `None` if it is not known.
    pub own: Option<Name>,
    /// The other instances that are present.
    pub others: Vec<PresentInstance>,
    /// The view is stale: this instance decides no shed level.
    pub is_stale: bool,
}

impl Presence {
    /// Number of instances, including this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Whether another instance is present.
    pub fn has_other(&self, name: &Name) -> bool {
        self.others.iter().any(|other| other.name == *name)
    }

    /// Whether a name is the name of this instance.
    pub fn is_own(&self, name: &Name) -> bool {
        self.own.as_ref() == Some(name)
    }
}

/// Properties of a request that the admission decision depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// Identifier of the client.
    pub client: u64,
    /// Index of the class in [`Settings::classes`].
    pub class: usize,
    /// Identifier of the object.
    pub object: u64,
    /// Time until the client gives up, in milliseconds.
    pub time_left: Millis,
    /// Size of the response in KB, if known.
    pub size_kb: Option<f64>,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// The admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is admitted; its end has to be reported with the ticket.
    Admit(Ticket),
    /// The request is rejected.
    Reject {
        /// Time after which the client may retry, in milliseconds; 0 if none is sent.
        retry_after: Millis,
    },
}

/// Identifies an admitted request until its end is reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    pub(super) request: RequestInfo,
    pub(super) resource: Resource,
    pub(super) admitted_at: Millis,
    /// The request was known to be a retry, or marked as one.
    pub(super) is_retry: bool,
}

/// Counts of decisions since the process started, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests admitted because they arrived at a reserved time.
    pub reservations_kept: u64,
    /// Requests rejected because they arrived before their retry-after time.
    pub too_early: u64,
    /// Requests rejected because their priority was below the shed level.
    pub below_level: u64,
    /// Retries rejected because no retry budget was left.
    pub no_budget: u64,
    /// Requests rejected although they arrived at a reserved time.
    pub reservations_broken: u64,
    /// Reserved retry-after times assigned to rejected requests.
    pub reservations: u64,
    /// Shed levels that this instance decided as leader.
    pub decisions: u64,
}
