//! Messages of the link protocol, encoded as protobuf, one per frame.
//!
//! The side that opens a connection sends requests; the side that accepts it serves them. The framing (a length prefix
//! of four bytes) and its limits are in the gateway's `protocol::link`. Field and variant names do not appear on the
//! wire; tags, types and enumeration numbers do, and must not change.

use bytes::Bytes;
use prost::Message;

/// Version of the link protocol that this crate implements.
pub const VERSION: u32 = 1;

/// A frame, which contains one message of the protocol.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message; `None` for a kind that only a later version of the protocol defines.
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub payload: Option<Payload>,
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// The handshake: the first message in each direction of a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The sender closes the connection; also sent in response to a hello that is rejected.
    #[prost(message, tag = "2")]
    Goodbye(Goodbye),
    /// A heartbeat from the requesting side.
    #[prost(message, tag = "3")]
    Ping(Heartbeat),
    /// The serving side's response to a `Ping`.
    #[prost(message, tag = "4")]
    Pong(Heartbeat),
    /// An attempt from the requesting side.
    #[prost(message, tag = "5")]
    Request(Request),
    /// The response to an attempt, without its body.
    #[prost(message, tag = "6")]
    Response(ResponseHead),
    /// A chunk of a response's body.
    #[prost(message, tag = "7")]
    Chunk(BodyChunk),
    /// The requesting side extends the credit window of a body.
    #[prost(message, tag = "8")]
    WindowUpdate(WindowUpdate),
    /// The requesting side has canceled these attempts or has received their complete responses: the serving side may
    /// discard their state.
    #[prost(message, tag = "9")]
    Release(AttemptNumbers),
    /// After a lost connection: the requesting side requests the status of these attempts and reattaches to them.
    #[prost(message, tag = "10")]
    Resume(AttemptNumbers),
    /// The status of one attempt, in response to a `Resume`.
    #[prost(message, tag = "11")]
    Status(AttemptStatus),
    /// A purge from the sender's own feed, or one that it relays.
    #[prost(message, tag = "12")]
    Purge(Purge),
    /// The serving side asks the requesting side to send no new attempts, on any connection.
    #[prost(message, tag = "13")]
    GoAway(GoAway),
}

/// The handshake of one side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The sender's site.
    #[prost(string, tag = "2")]
    pub site: String,
    /// The site that the sender expects at the other end.
    #[prost(string, tag = "3")]
    pub peer_site: String,
    /// Epoch of the sender's process; it changes with a restart.
    #[prost(fixed64, tag = "4")]
    pub epoch: u64,
    /// The requesting side's session, within which attempts are numbered.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
    /// Initial credit window of each body, bytes.
    #[prost(uint32, tag = "6")]
    pub credit_window: u32,
    /// How long the sender keeps a session without a connection, ms.
    #[prost(uint32, tag = "7")]
    pub resume_timeout: u32,
    /// The last purge of the other side's log that the sender has received.
    #[prost(uint64, tag = "8")]
    pub purges_received: u64,
    /// The epoch of the log that `purges_received` refers to.
    #[prost(fixed64, tag = "9")]
    pub purges_epoch: u64,
    /// The requesting side's next attempt number. A serving side without state of the session accepts no lower number.
    #[prost(uint64, tag = "10")]
    pub next_attempt: u64,
    /// Length of time up to now for which the sender's purge log is complete, ms.
    #[prost(double, tag = "11")]
    pub purge_history: f64,
}

/// Announces that the sender closes the connection.
#[derive(Clone, PartialEq, Message)]
pub struct Goodbye {
    /// Why the sender closes the connection, for the log.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// A heartbeat, or the response to one.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Sequence number on this connection.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The sender's Unix time, ms.
    #[prost(double, tag = "2")]
    pub unix_time: f64,
    /// Number of the last purge in the sender's log.
    #[prost(uint64, tag = "3")]
    pub last_purge: u64,
    /// The last purge of the other side's log that the sender has received.
    #[prost(uint64, tag = "4")]
    pub purges_received: u64,
    /// From the requesting side: attempts with lower numbers have ended, and the serving side may discard their state.
    #[prost(uint64, tag = "5")]
    pub lowest_open_attempt: u64,
}

/// An attempt: a request as it is sent to another site.
#[derive(Clone, PartialEq, Message)]
pub struct Request {
    /// Attempt number, unique within the session.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The client's identifier of the request.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The request class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Time left until the deadline, ms.
    #[prost(double, tag = "4")]
    pub time_left: f64,
    /// The idempotency key.
    #[prost(string, optional, tag = "5")]
    pub idempotency_key: Option<String>,
    /// The object, 16 hex digits.
    #[prost(string, tag = "6")]
    pub object: String,
    /// The part of the object.
    #[prost(uint32, optional, tag = "7")]
    pub part: Option<u32>,
    /// The group of the object.
    #[prost(uint32, tag = "8")]
    pub group: u32,
    /// Expected size of the response, KB, if the client stated one.
    #[prost(double, optional, tag = "9")]
    pub size_kb: Option<f64>,
    /// Tag of the copy that the client has cached.
    #[prost(string, optional, tag = "10")]
    pub cached_tag: Option<String>,
    /// The sites that forwarded the request, in the order in which it passed them.
    #[prost(string, repeated, tag = "11")]
    pub site_path: Vec<String>,
    /// The request's body.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
}

/// The response to an attempt, without its body.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHead {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How the attempt ended.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// With `Rejected`: time after which the client may retry, ms; 0: unspecified.
    #[prost(double, tag = "3")]
    pub retry_after: f64,
    /// With `Served`: length of the body, bytes.
    #[prost(uint32, tag = "4")]
    pub body_length: u32,
    /// With `Served` and `NotModified`: age of the copy when the head was sent, ms, if it is known.
    #[prost(double, optional, tag = "5")]
    pub copy_age: Option<f64>,
    /// Tag of the copy.
    #[prost(string, tag = "6")]
    pub tag: String,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Failed; it may have been executed.
    Failed = 0,
    /// Served; the body follows.
    Served = 1,
    /// The client's cached copy is current.
    NotModified = 2,
    /// Rejected without being executed; a retry is safe.
    Rejected = 3,
    /// The request is not valid.
    Invalid = 4,
}

/// A chunk of a response's body.
#[derive(Clone, PartialEq, Message)]
pub struct BodyChunk {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Offset of the chunk in the body, bytes.
    #[prost(uint32, tag = "2")]
    pub offset: u32,
    /// The chunk.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
}

/// Extends the credit window of one body.
#[derive(Clone, PartialEq, Message)]
pub struct WindowUpdate {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Offset up to which the body may be sent, bytes.
    #[prost(uint32, tag = "2")]
    pub limit: u32,
}

/// A list of attempts.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptNumbers {
    /// Their numbers.
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<u64>,
}

/// The status of an attempt whose connection was lost.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptStatus {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its state on the serving side.
    #[prost(enumeration = "AttemptState", tag = "2")]
    pub state: i32,
}

/// The state of an attempt whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptState {
    /// Not known; it may have been executed.
    Unknown = 0,
    /// It was never received, and is fenced: it will not be accepted if it arrives later.
    NeverReceived = 1,
    /// It is being executed.
    Running = 2,
    /// Its execution has ended, and its response follows.
    Completed = 3,
}

/// A purge.
#[derive(Clone, PartialEq, Message)]
pub struct Purge {
    /// Its number in the sender's log.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The object; `None` purges the complete group.
    #[prost(fixed64, optional, tag = "2")]
    pub object: Option<u64>,
    /// The group.
    #[prost(uint32, tag = "3")]
    pub group: u32,
    /// Time from the purge until this message was sent, ms.
    #[prost(double, tag = "4")]
    pub age: f64,
    /// Time from the first site's notification until this message was sent, ms.
    #[prost(double, tag = "5")]
    pub notified_age: f64,
    /// The sites that it passed before the sender's, starting with the site whose own feed reported it.
    #[prost(string, repeated, tag = "6")]
    pub site_path: Vec<String>,
    /// Epoch of the process whose own feed reported the purge. Identifies the purge together with `origin_number`.
    #[prost(fixed64, tag = "7")]
    pub origin_epoch: u64,
    /// Number of the purge in that process's log.
    #[prost(uint64, tag = "8")]
    pub origin_number: u64,
}

/// Asks the requesting side to send no new attempts to the sender's process.
#[derive(Clone, PartialEq, Message)]
pub struct GoAway {
    /// Why no new attempts are to be sent, for the log.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Time after which the requesting side may send attempts again, ms; 0: not known.
    #[prost(double, tag = "2")]
    pub retry_after: f64,
}

impl From<Payload> for Frame {
    fn from(payload: Payload) -> Self {
        Frame { payload: Some(payload) }
    }
}
