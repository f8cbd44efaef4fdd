//! What the two ends of a link say to each other: protobuf messages, one frame each.
//!
//! The end that opens a connection is the near one: it asks. The end that accepted it is the far one: it serves. The
//! framing (a length of four bytes) and the limits on it are the gateway's `protocol::link`.

use bytes::Bytes;
use prost::Message;

/// The version of the protocol.
pub const VERSION: u32 = 1;

/// A frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it says.
    #[prost(oneof = "Say", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub say: Option<Say>,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Say {
    /// First on a connection, from both ends.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The connection ends, and why; also the answer to a hello that does not fit.
    #[prost(message, tag = "2")]
    Bye(Bye),
    /// Heartbeat, from the near end.
    #[prost(message, tag = "3")]
    Ping(Beat),
    /// The answer to one.
    #[prost(message, tag = "4")]
    Pong(Beat),
    /// An attempt.
    #[prost(message, tag = "5")]
    Ask(Ask),
    /// The answer to an attempt, but for its body.
    #[prost(message, tag = "6")]
    Answer(Answer),
    /// A piece of an answer's body.
    #[prost(message, tag = "7")]
    Piece(Piece),
    /// The near end has room for more of a body.
    #[prost(message, tag = "8")]
    Credit(Credit),
    /// The near end gives attempts up, or has their answers whole: the far end may forget them.
    #[prost(message, tag = "9")]
    Done(Numbers),
    /// After a cut: what became of these?
    #[prost(message, tag = "10")]
    Resume(Numbers),
    /// What became of one.
    #[prost(message, tag = "11")]
    Fate(Fate),
    /// A purge told at the sender's site, or relayed by it.
    #[prost(message, tag = "12")]
    Purge(Purge),
    /// Nothing new is taken on this connection.
    #[prost(message, tag = "13")]
    GoAway(GoAway),
}

/// Who speaks.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The speaker's site.
    #[prost(string, tag = "2")]
    pub site: String,
    /// The site that it means to speak with.
    #[prost(string, tag = "3")]
    pub to: String,
    /// Number of the speaker's process; another one after a restart.
    #[prost(fixed64, tag = "4")]
    pub epoch: u64,
    /// The session: attempts are numbered within it. The near end's.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
    /// Bytes of one body that it takes before it has to say so.
    #[prost(uint32, tag = "6")]
    pub credit: u32,
    /// For how long it remembers a session after a cut, ms.
    #[prost(uint32, tag = "7")]
    pub reattach: u32,
    /// The last purge of the other end that it has, and of which epoch.
    #[prost(uint64, tag = "8")]
    pub purges: u64,
    /// See `purges`.
    #[prost(fixed64, tag = "9")]
    pub purges_epoch: u64,
    /// The near end's next number of an attempt: earlier ones are not taken in a session that the far end does not
    /// remember.
    #[prost(uint64, tag = "10")]
    pub next: u64,
    /// For how long back the speaker's purges are all known to it, ms.
    #[prost(double, tag = "11")]
    pub complete: f64,
}

/// The end of a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Bye {
    /// Why.
    #[prost(string, tag = "1")]
    pub why: String,
}

/// A heartbeat, or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {
    /// Its number on this connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The sender's Unix time, ms.
    #[prost(double, tag = "2")]
    pub clock: f64,
    /// The number of the sender's last purge when this was sent.
    #[prost(uint64, tag = "3")]
    pub purges: u64,
    /// The last of the other end's purges that the sender has.
    #[prost(uint64, tag = "4")]
    pub has: u64,
    /// From the near end: attempts with lower numbers are over, and the far end may forget them.
    #[prost(uint64, tag = "5")]
    pub floor: u64,
}

/// An attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// Its number in the session.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The client's name for the request.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Time that is left, ms.
    #[prost(double, tag = "4")]
    pub allow: f64,
    /// The idempotency key.
    #[prost(string, optional, tag = "5")]
    pub key: Option<String>,
    /// The object, 16 hex digits.
    #[prost(string, tag = "6")]
    pub object: String,
    /// The part.
    #[prost(uint32, optional, tag = "7")]
    pub part: Option<u32>,
    /// The group.
    #[prost(uint32, tag = "8")]
    pub group: u32,
    /// The size in KB, if told.
    #[prost(double, optional, tag = "9")]
    pub size: Option<f64>,
    /// The tag of the client's copy.
    #[prost(string, optional, tag = "10")]
    pub have: Option<String>,
    /// The sites that it came by, the first one first.
    #[prost(string, repeated, tag = "11")]
    pub path: Vec<String>,
    /// The body.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How.
    #[prost(enumeration = "Word", tag = "2")]
    pub word: i32,
    /// With `Refused`: when to come back, ms; 0: no advice.
    #[prost(double, tag = "3")]
    pub cooldown: f64,
    /// With `Served`: bytes of the body.
    #[prost(uint32, tag = "4")]
    pub length: u32,
    /// With `Served` and `Unchanged`: age of the copy when this was sent, ms, where it is known.
    #[prost(double, optional, tag = "5")]
    pub age: Option<f64>,
    /// The copy's tag.
    #[prost(string, tag = "6")]
    pub tag: String,
}

/// How an attempt over a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Word {
    /// Failed; it may have run.
    Failed = 0,
    /// Served; the body follows.
    Served = 1,
    /// The client's copy is the one.
    Unchanged = 2,
    /// Refused; trying again is harmless.
    Refused = 3,
    /// It can't be used.
    Unusable = 4,
}

/// A piece of a body.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Where it belongs in the body.
    #[prost(uint32, tag = "2")]
    pub at: u32,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
}

/// Room for more of a body.
#[derive(Clone, PartialEq, Message)]
pub struct Credit {
    /// The attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Bytes up to which it may be sent.
    #[prost(uint32, tag = "2")]
    pub up_to: u32,
}

/// Attempts by number.
#[derive(Clone, PartialEq, Message)]
pub struct Numbers {
    /// Their numbers.
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<u64>,
}

/// What became of an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Fate {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What became of it; where it has ended, its answer follows.
    #[prost(enumeration = "Became", tag = "2")]
    pub became: i32,
}

/// What became of an attempt after a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Became {
    /// It is not known; it may have run.
    Unknown = 0,
    /// It never came, and will not be taken any more.
    Never = 1,
    /// It runs.
    Running = 2,
    /// It has ended: its answer follows.
    Ended = 3,
}

/// A purge.
#[derive(Clone, PartialEq, Message)]
pub struct Purge {
    /// Its number in the sender's epoch.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The object; none: the whole group.
    #[prost(fixed64, optional, tag = "2")]
    pub object: Option<u64>,
    /// The group.
    #[prost(uint32, tag = "3")]
    pub group: u32,
    /// Time since the purge when this was sent, ms.
    #[prost(double, tag = "4")]
    pub age: f64,
    /// Time since the sender's site was told, ms.
    #[prost(double, tag = "5")]
    pub told: f64,
    /// The sites that it came by, the one where it was told first.
    #[prost(string, repeated, tag = "6")]
    pub path: Vec<String>,
    /// The purge's own name: the site's epoch and number where it was told.
    #[prost(fixed64, tag = "7")]
    pub origin_epoch: u64,
    /// See `origin_epoch`.
    #[prost(uint64, tag = "8")]
    pub origin_number: u64,
}

/// Nothing new is taken.
#[derive(Clone, PartialEq, Message)]
pub struct GoAway {
    /// Why.
    #[prost(string, tag = "1")]
    pub why: String,
    /// When to come back, ms; 0: not known.
    #[prost(double, tag = "2")]
    pub cooldown: f64,
}

impl From<Say> for Frame {
    fn from(say: Say) -> Self {
        Frame { say: Some(say) }
    }
}
