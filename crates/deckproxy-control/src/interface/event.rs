//! Events that the host passes to the decision module.

use super::{AttemptEnding, FillNote, ListKind, LoadReport, Member, MemberId, Millis, Request, RequestId};

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The router has started; its last known member list follows.
    Started,
    /// A member list, or the changed entries of one.
    MemberList(ListKind, Vec<Member>),
    /// A client's request arrived.
    Request(Request),
    /// The first bytes of a streamed answer have arrived.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The member to which the attempt was sent.
        member: MemberId,
        /// How it ended.
        ending: AttemptEnding,
        /// Time since the attempt was sent.
        elapsed: Millis,
        /// Whether the request has its final answer.
        finished: bool,
        /// What the answer reports about its copy or fill.
        note: FillNote,
        /// The member's load, if reported.
        load: Option<LoadReport>,
    },
    /// The client has disconnected; its request needs no answer.
    ClientGone(RequestId),
    /// A timer expired; the token is the one with which it was set.
    Timer(u64),
    /// The result of a health check.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether the check passed.
        ok: bool,
        /// Its load, if reported.
        load: Option<LoadReport>,
    },
    /// A message from the router at a position.
    PeerMessage(u32, Vec<u8>),
    /// Copies of one object, or of a whole group, were purged.
    Purged {
        /// The object; `None`: all objects of the group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: Millis,
    },
}
