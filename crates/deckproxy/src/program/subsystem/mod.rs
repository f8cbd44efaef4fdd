//! The interface between the event loop and a subsystem: typed events in, typed effects out.
//!
//! The loop owns connections, sockets, timers and background work. A subsystem ([`Subsystem`]) gets typed events
//! ([`Event`]) with a view of the router ([`Context`]), and appends typed effects ([`Effect`]) to a queue. It knows
//! neither the loop nor the other subsystems, so that each can be read, tested and switched off alone.

mod client_identities;
mod effect;
mod event;
mod ids;
mod open_requests;
mod platform;
mod summary_fields;

pub use client_identities::ClientIdentities;
pub use effect::{Effect, Effects};
pub use event::{Event, Note, outcome_of};
pub use ids::{FIRST_LINK_CLIENT, LinkId, RequestKey, micros};
pub use open_requests::OpenRequests;
pub use platform::platform_settings;
pub use summary_fields::{Field, summary_text};

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::CopyInfo;
use crate::routing::{ClientId, Router};
use deckproxy_flow::scheduler::{Micros, TaskId};
use deckproxy_operator::Operator;
use deckproxy_sites::frame::Frame;

/// What a subsystem may look at.
pub struct Context<'a> {
    /// The loop's clock, ms.
    pub now: f64,
    /// The router, its settings and the names of members.
    pub router: &'a Router,
    /// Requests that would be held for long are to be rejected: memory is at its bound, or a shutdown rejects.
    pub full: bool,
}

/// What becomes of a client's request before the router gets it.
pub enum Verdict {
    /// The next subsystem, and at last the router, gets it.
    Pass,
    /// The subsystem took it over, and will answer it by [`Effect::Answer`].
    Taken,
    /// It is answered at once.
    Answer(Answer),
}

/// A part of the program that an operator file switches on.
pub trait Subsystem {
    /// Takes an event.
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects);

    /// Decides on a client's request before the router gets it.
    fn request(&mut self, _: &Context<'_>, _: RequestKey, _: &Call, _: &mut Effects) -> Verdict {
        Verdict::Pass
    }

    /// Takes the final answer to a client's request; returns the answer to send in its place, if another.
    fn answer(&mut self, _: &Context<'_>, _: RequestKey, _: &Answer) -> Option<Answer> {
        None
    }

    /// Takes the answer to a request that was given to the router by [`Effect::Route`], and the copy it came from.
    fn routed(&mut self, _: &Context<'_>, _: ClientId, _: Answer, _: Option<CopyInfo>, _: &mut Effects) {}

    /// Takes a frame that came on a link.
    fn frame(&mut self, _: &Context<'_>, _: LinkId, _: Frame, _: &mut Effects) {}

    /// Appends the effects that wait. Called after events, until none comes any more.
    fn poll(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// When [`Subsystem::tick`] is to be called next, ms.
    fn next_due(&self) -> Option<f64> {
        None
    }

    /// The time given by [`Subsystem::next_due`] has come.
    fn tick(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// Runs a background task until that time at most. Returns whether it has more to do; none if the task is not
    /// this subsystem's.
    fn run_task(&mut self, _: &Context<'_>, _: TaskId, _: Micros, _: &mut Effects) -> Option<bool> {
        None
    }

    /// Bytes that it holds beside those that wait on connections.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// Whether it owes no answer any more.
    fn is_settled(&self) -> bool {
        true
    }

    /// The process is about to be killed: answers what is open as failed.
    fn fail_open(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// All requests are answered and all clients gone. Returns whether the subsystem has nothing left to do.
    fn finish(&mut self, _: &Context<'_>, _: &mut Effects) -> bool {
        true
    }

    /// Takes what may change while serving from a new operator file, in which it is still switched on.
    fn reload(&mut self, _: &Context<'_>, _: &Operator, _: &mut Effects) {}

    /// Its part of the summary in the log.
    fn summary(&mut self) -> Vec<Field>;
}
