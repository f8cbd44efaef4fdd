//! How overload is handled, and what is told of requests.

use super::shed_level::Limits;
use super::summary::Thing;
use crate::Millis;
use crate::instance::Name;
use deckproxy_recovery::budget;

/// A class, as far as this goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its band by worth, 0 the one worth least.
    pub band: usize,
    /// It may run once only: no copy serves it, and once it may have run it is not turned away.
    pub effect: bool,
}

/// How overload is handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name: the key of all draws.
    pub fleet: String,
    /// The classes, by their places.
    pub classes: Vec<Class>,
    /// How cuts are made.
    pub limits: Limits,
    /// What a gateway's own repeats may cost while nothing is cut.
    pub budget: budget::Limits,
    /// Clients are told when to come back, and are held to it.
    pub advice: bool,
    /// The shortest and the longest time after which one is asked back, ms.
    pub least_back: Millis,
    /// See `least_back`.
    pub most_back: Millis,
    /// Wishes turned away, and objects served, that are remembered.
    pub remembered: usize,
    /// From one summary to the next, ms.
    pub window: Millis,
}

/// Who is there, as the fleet's view tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seat {
    /// Ourselves.
    pub own: Option<Name>,
    /// The others that are there, with the life of each.
    pub others: Vec<(Name, u64)>,
    /// What is known is old: nothing is decided.
    pub old: bool,
}

/// A request, as far as this goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    /// Who asks.
    pub client: u64,
    /// The class, by its place.
    pub class: usize,
    /// What for.
    pub object: u64,
    /// How long the client still waits, ms.
    pub left: Millis,
    /// KB of the answer, where it is known.
    pub size: Option<f64>,
    /// The client says itself that it has asked before.
    pub again: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes to the module; how it ends is to be told.
    Pass(Ticket),
    /// It is refused at once, and asked back after so many ms; 0: no time is told.
    Refuse(Millis),
}

/// A request that passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    pub(super) asked: Asked,
    pub(super) thing: Thing,
    pub(super) at: Millis,
    pub(super) again: bool,
}

/// What was done, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Passed, and those of them that had been promised it.
    pub passed: u64,
    /// See `passed`.
    pub kept: u64,
    /// Came before they were asked to; below the cut; repeats for which no budget was left.
    pub hasty: u64,
    /// See `hasty`.
    pub below: u64,
    /// See `hasty`.
    pub no_budget: u64,
    /// Promised ones that came in time and could not be let in.
    pub broken: u64,
    /// Times to come back that were promised.
    pub promised: u64,
    /// Looks at which this instance decided for others and itself.
    pub looks: u64,
}
