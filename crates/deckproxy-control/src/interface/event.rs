//! Events that the host hands to the decision module.

use super::{AttemptEnding, FillNote, ListKind, LoadReport, Member, MemberId, Millis, Request, RequestId};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The router has started; its last known member list follows.
    Started,
    /// A member list, or a part of one.
    MemberList(ListKind, Vec<Member>),
    /// A client's request arrived.
    Request(Request),
    /// A streamed answer has begun.
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
        /// The member it was sent to.
        member: MemberId,
        /// How it ended.
        ending: AttemptEnding,
        /// Time since it was sent.
        elapsed: Millis,
        /// The request has its final answer.
        finished: bool,
        /// What the answer tells of its copy or fill.
        note: FillNote,
        /// The member's load, where it is reported.
        load: Option<LoadReport>,
    },
    /// The client has left; its request needs no answer.
    ClientGone(RequestId),
    /// A timer is due; the token is that of its request.
    Timer(u64),
    /// The result of a health check.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether it answered well.
        ok: bool,
        /// Its load, where it is reported.
        load: Option<LoadReport>,
    },
    /// A message from another router, by its position.
    PeerMessage(u32, Vec<u8>),
    /// Copies were purged: those of one object, or of a whole group.
    Purged {
        /// The object; `None`: the whole group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: Millis,
    },
}
