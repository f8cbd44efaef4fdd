//! What can be pending. Gateways are named by index; what is meant for one incarnation of a gateway, or one
//! epoch of a member, is void for a later one.

use super::job::JobHandle;
use crate::Micros;
use crate::balancer::{AttemptKey, ClientAnswer, MemberReply, RequestId};
use crate::members::{JobSlot, MemberId};

/// A pending event.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client's new request arrives at a gateway.
    ClientArrival { gateway: u32 },
    /// The time of the next arrival at a gateway is drawn again, as the rate may have changed.
    ArrivalRedraw { gateway: u32 },
    /// A client retries.
    ClientRetry { request: RequestId },
    /// The answer to a client's attempt, counted from 1, reaches the client.
    AnswerAtClient { request: RequestId, attempt: u32, answer: ClientAnswer },
    /// Something is due at a gateway.
    GatewayTimer { gateway: u32, incarnation: u32 },
    /// A gateway is killed and starts again.
    GatewayRestart { gateway: u32 },
    /// A restarted gateway serves again.
    GatewayUp { gateway: u32 },
    /// An attempt reaches its member.
    AttemptAtMember { slot: JobSlot },
    /// The cancellation of an attempt reaches its member.
    CancelAtMember { job: JobHandle },
    /// A core of a member has finished a job.
    ServiceDone { member: MemberId, epoch: u32, job: JobHandle },
    /// A fill reaches its source.
    FillAtSource { job: JobHandle },
    /// The copy for a job that leads a fill arrives, with the time when the origin issued it; none: the fill
    /// failed.
    FillDone { job: JobHandle, issued: Option<Micros> },
    /// A member's reply reaches a gateway.
    ReplyAtGateway { gateway: u32, incarnation: u32, key: AttemptKey, reply: MemberReply },
    /// A gateway notices that the connection of an attempt broke, after the attempt was sent or before.
    ConnectionBroken { gateway: u32, incarnation: u32, key: AttemptKey, sent: bool },
    /// A member's changed entry of the endpoint list reaches a gateway.
    EndpointUpdate { gateway: u32, incarnation: u32, member: MemberId },
    /// A purge reaches a gateway.
    PurgeNotice { gateway: u32, incarnation: u32, object: u64, purged_at: Micros },
    /// The control feed observes the state of a member.
    MemberObserved { member: MemberId },
    /// An object of a site is purged.
    Purge { site: usize },
    /// A fault of the scenario begins.
    FaultBegins { fault: usize },
    /// A fault of the scenario ends.
    FaultEnds { fault: usize },
    /// The links that a fault concerns become degraded, or normal.
    LinkPhase { fault: usize, degraded: bool },
    /// An interval of the record ends.
    RecordPoint,
}
