//! The interface between the event loop and a subsystem: typed events in, typed effects out.
//!
//! The loop owns connections, sockets, timers and background work. A subsystem ([`Subsystem`]) receives typed events
//! ([`Event`]) with a view of the router ([`Context`]), and appends typed effects ([`Effect`]) to a queue. It
//! depends on neither the loop nor the other subsystems, so that each can be read, tested and switched off
//! independently.

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

/// Read-only state that the event loop passes to a subsystem.
pub struct Context<'a> {
    /// The loop's clock, ms.
    pub now: f64,
    /// The router, its settings and the names of members.
    pub router: &'a Router,
    /// Whether new requests must be rejected, because the memory limit is reached or a shutdown is in its rejecting
    /// phase. Determined only for [`Subsystem::poll`]; false in all other calls.
    pub rejects_requests: bool,
    /// Whether new requests with a large body must be rejected; likewise.
    pub rejects_bodies: bool,
    /// Bytes that may be taken for answers of other sites. Determined only for [`Subsystem::poll`]; 0 in all other calls.
    pub memory_room: usize,
}

/// A subsystem's decision on a client's request, made before the router receives it.
pub enum Verdict {
    /// Pass the request to the next subsystem and finally to the router.
    Pass,
    /// The subsystem took the request over and will answer it by [`Effect::Answer`].
    Taken,
    /// Answer the request immediately.
    Answer(Answer),
}

/// A part of the program that the operator file enables.
pub trait Subsystem {
    /// Handles an event.
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, out: &mut Effects);

    /// Decides on a client's request before the router receives it.
    fn request(&mut self, _: &Context<'_>, _: RequestKey, _: &Call, _: &mut Effects) -> Verdict {
        Verdict::Pass
    }

    /// Handles the final answer to a client's request; returns a different answer to send instead, if any.
    fn answer(&mut self, _: &Context<'_>, _: RequestKey, _: &Answer) -> Option<Answer> {
        None
    }

    /// Handles the router's answer to a request passed to it by [`Effect::Route`], with the copy that served it.
    fn routed(&mut self, _: &Context<'_>, _: ClientId, _: Answer, _: Option<CopyInfo>, _: &mut Effects) {}

    /// Handles a frame received on a link.
    fn frame(&mut self, _: &Context<'_>, _: LinkId, _: Frame, _: &mut Effects) {}

    /// Appends pending effects. Called after events until no effect is left.
    fn poll(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// When [`Subsystem::tick`] must be called next, ms.
    fn next_due(&self) -> Option<f64> {
        None
    }

    /// Called when the time returned by [`Subsystem::next_due`] is reached.
    fn tick(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// Runs a background task until the given time at most. Returns whether more work is left; none if the task
    /// belongs to another subsystem.
    fn run_task(&mut self, _: &Context<'_>, _: TaskId, _: Micros, _: &mut Effects) -> Option<bool> {
        None
    }

    /// Bytes that the subsystem buffers, besides those queued on connections.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// Whether no request is waiting for an answer from the subsystem.
    fn is_settled(&self) -> bool {
        true
    }

    /// Answers all open requests as failed, as the process is about to be killed.
    fn fail_open(&mut self, _: &Context<'_>, _: &mut Effects) {}

    /// Finishes pending work of a shutdown, once all requests are answered and all clients have disconnected. Returns
    /// whether nothing is left to do.
    fn finish(&mut self, _: &Context<'_>, _: &mut Effects) -> bool {
        true
    }

    /// Applies the settings of a new operator file that can change without a restart. The new file still enables the
    /// subsystem.
    fn reload(&mut self, _: &Context<'_>, _: &Operator, _: &mut Effects) {}

    /// The subsystem's part of the log's summary line.
    fn summary(&mut self) -> Vec<Field>;
}
