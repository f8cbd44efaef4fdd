//! Settings, requests and verdicts of the fleet's load shedding.

use super::shed_controller::Limits;
use super::summary::Resource;
use crate::Millis;
use crate::instance::Name;
use deckproxy_recovery::budget;

/// What matters of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its band by priority weight; 0 is the lowest.
    pub band: usize,
    /// Its requests have an effect: no cached copy serves them, and one that may have run is not shed any more.
    pub has_effect: bool,
}

/// How overload is handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name, which keys all draws.
    pub fleet: String,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// When load is shed, and when no longer.
    pub limits: Limits,
    /// The budget of an instance's own retries while no load is shed.
    pub retry_budget: budget::Limits,
    /// Rejections carry a retry-after time, and clients are held to it.
    pub sends_retry_after: bool,
    /// Shortest retry-after, in milliseconds.
    pub min_retry_after: Millis,
    /// Longest retry-after, in milliseconds.
    pub max_retry_after: Millis,
    /// Number of rejected requests, and of served objects, that are remembered at least.
    pub remembered: usize,
    /// Length of the window that requests are counted in, in milliseconds.
    pub window: Millis,
}

/// Another instance that is present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentInstance {
    /// Its name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Which instances are present, according to the fleet's view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Presence {
    /// Ourselves; `None` where no name is known.
    pub own: Option<Name>,
    /// The others that are present.
    pub others: Vec<PresentInstance>,
    /// The view is stale: nothing is decided.
    pub is_stale: bool,
}

impl Presence {
    /// Number of instances, ourselves included.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Whether another instance is present.
    pub fn has_other(&self, name: &Name) -> bool {
        self.others.iter().any(|other| other.name == *name)
    }

    /// Whether a name is our own.
    pub fn is_own(&self, name: &Name) -> bool {
        self.own.as_ref() == Some(name)
    }
}

/// What matters of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestInfo {
    /// The client's number.
    pub client: u64,
    /// The class, by index.
    pub class: usize,
    /// The object's number.
    pub object: u64,
    /// How long the client still waits, in milliseconds.
    pub time_left: Millis,
    /// Size of the answer in KB, where it is known.
    pub size_kb: Option<f64>,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is admitted; its end has to be reported with the ticket.
    Admit(Ticket),
    /// It is rejected.
    Reject {
        /// Time after which the client may retry, in milliseconds; 0: none is given.
        retry_after: Millis,
    },
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    pub(super) request: RequestInfo,
    pub(super) resource: Resource,
    pub(super) admitted_at: Millis,
    /// It was known or marked as a retry.
    pub(super) is_retry: bool,
}

/// Decisions since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests admitted that came at a reserved time.
    pub reservations_kept: u64,
    /// Requests rejected since they came before their retry-after time.
    pub too_early: u64,
    /// Requests rejected since their priority was below the shed level.
    pub below_level: u64,
    /// Retries rejected since no retry budget was left.
    pub no_budget: u64,
    /// Requests rejected although they came at a reserved time.
    pub reservations_broken: u64,
    /// Retry-after times given that reserve capacity.
    pub reservations: u64,
    /// Shed levels that this instance decided for the fleet.
    pub decisions: u64,
}
