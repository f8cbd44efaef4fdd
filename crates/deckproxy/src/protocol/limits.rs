//! Limits that the protocols set, and bounds on the resources that a peer may use in a gateway. None of them affects
//! where a request is sent. Times are in milliseconds, sizes in bytes.

/// Requests that may be open on one client connection.
pub const CLIENT_REQUESTS: usize = 32;
/// Largest body of a client's request.
pub const CLIENT_BODY: usize = 48_000;
/// Largest message of a client: a body and its fields.
pub const CLIENT_MESSAGE: usize = 64 * 1024;
/// Most values in one message of a client, at all levels of nesting.
pub const CLIENT_VALUES: u64 = 1024;
/// Longest text of one forwarded field.
pub const FIELD: usize = 128;
/// Groups of objects.
pub const GROUPS: u32 = 256;
/// Multiple of a class's deadline that the transfer of a part of the given size may take at the transfer rate of the
/// settings.
pub const TRANSFER_DEADLINES: f64 = 8.0;
/// Longest text of a number.
pub const DIGITS: usize = 20;
/// Largest object.
pub const OBJECT: usize = 240_000;
/// Bodies below this size are copied out of the read buffer.
pub const SMALL_BODY: usize = 16 * 1024;
/// Most strings in one answer of a member.
pub const MEMBER_STRINGS: usize = 8;
/// Longest string of a member's answer other than its body.
pub const MEMBER_TEXT: usize = 4096;
/// Longest line of the feed.
pub const FEED_LINE: usize = 4 * 1024 * 1024;
/// Largest frame on a link between gateways: the largest piece of a body in the schema, and its fields.
pub const LINK_FRAME: usize = 272 * 1024;
/// Size of a link's write buffer from which no further piece of a body is added, so that few bytes are queued ahead of
/// more urgent frames.
pub const LINK_WRITE_BUFFER: usize = 32 * 1024;
/// Size of the kernel's send buffer for a link, for the same reason.
pub const LINK_SEND_BUFFER: usize = 64 * 1024;
/// Size of a link's write buffer from which the link counts as stalled.
pub const LINK_STALLED: usize = 16 * 1024 * 1024;
/// Incoming links may use one in this many descriptors.
pub const LINK_SHARE: usize = 8;
/// Clients may use one in this many descriptors.
pub const CLIENT_SHARE: usize = 3;
/// Descriptors reserved for the event loop, the listener, the feed, the log and connections that are accepted only to
/// be closed.
pub const RESERVE: usize = 40;
/// At most one in this many descriptors is reserved; takes effect if the process has few descriptors.
pub const RESERVE_SHARE: usize = 4;
/// Attempts begin to share member connections when one in this many of the allowed connections is left.
pub const SHARING_RESERVE: usize = 4;
/// Most connections being established to one member before its attempts share them, so that a burst does not overflow
/// the member's accept queue and an unreachable member uses few descriptors.
pub const CONNECTING: usize = 8;

/// Shortest delay of a timer of the decision module.
pub const MIN_TIMER_DELAY: f64 = 1.0;
/// Time by which deadlines are extended to allow for delays on the sockets.
pub const SOCKET_SLACK: f64 = 50.0;
/// Time after SIGTERM during which new connections and requests are still accepted.
pub const DRAIN_ACCEPT: f64 = 700.0;
/// Upper bound on the deadline that is used to schedule a planned restart.
pub const DRAIN_DEADLINE: f64 = 3000.0;
/// Time before the kill that ends a planned restart at which all open requests are failed.
pub const DRAIN_MARGIN: f64 = 400.0;
/// Time without a line after which the feed's connection is considered dead; the feed sends a line each second.
pub const FEED_SILENCE: f64 = 2200.0;
/// Initial backoff before reconnecting to the feed.
pub const FEED_BACKOFF_INITIAL: f64 = 50.0;
/// Longest backoff before reconnecting to the feed.
pub const FEED_BACKOFF_MAX: f64 = 1000.0;
/// Time for which a client may leave answers unread before its connection is closed.
pub const CLIENT_WRITE_TIMEOUT: f64 = 10_000.0;
/// Time that a client's connection may be idle, well over the four seconds after which clients close.
pub const CLIENT_IDLE_TIMEOUT: f64 = 10_000.0;
/// Time in which the first message on a new connection must be received, and the longest pause within a later one.
pub const CLIENT_READ_TIMEOUT: f64 = 2000.0;
/// Time in which any message after the first must be received, from its first byte.
pub const CLIENT_MESSAGE_TIMEOUT: f64 = 10_000.0;
/// Age below which a new connection is not evicted for another client, as its first message may be in transit. The
/// gateway's own connections may still evict it.
pub const CLIENT_MIN_AGE: f64 = 50.0;
/// Requests that a client may cancel one after another without one being answered.
pub const CLIENT_CANCELLATIONS: usize = 4 * CLIENT_REQUESTS;
/// Time after a request's deadline and the settings' slack for which its answer is still delivered.
pub const LATE_ANSWER: f64 = 500.0;
/// Longest interval between checks whether a closing connection still owes an answer; it closes once it owes none. Also the
/// longest time that a half-closed connection stays open for a client that still sends.
pub const CLOSING_INTERVAL: f64 = 1500.0;
/// Time that a client has to close its side of a half-closed connection (lingering close); extended while it still
/// sends. Also the time from failing all open requests at a shutdown until connections are closed.
pub const LINGER: f64 = 300.0;
/// Time before a member's idle timeout from which a connection to it is no longer used.
pub const IDLE_MARGIN: f64 = 500.0;
/// Timeout of a health check.
pub const HEALTH_CHECK_TIMEOUT: f64 = 1000.0;
/// Bytes of rejections and pongs that one client may leave unread; the answers to open requests are bounded by their
/// number. Reading continues in any case, as a client's cancellations and its end of stream arrive after everything
/// that it sent before.
pub const CLIENT_REJECTIONS: usize = 64 * 1024;
/// Bytes that are read from a client before they are handled, unless more of a message is missing.
pub const CLIENT_READ: usize = 16 * 1024;
/// Bytes that a client may have left at the end of its slice without waiting behind all others: some small requests.
pub const CLIENT_SMALL_REST: usize = 1024;
/// Time after which the last read from a client is outdated: the client is read again before an attempt is sent for it.
pub const CLIENT_READ_AGE: f64 = 20.0;
/// Time for which one connection is served before the others get their turn.
pub const SLICE: f64 = 0.5;
/// Time for which requests of a client wait until everything that it has sent is read. Then they are rejected.
pub const PENDING_TIMEOUT: f64 = 200.0;
/// Bytes of answers that are collected for one write while a client's messages are handled.
pub const CLIENT_WRITE_BATCH: usize = 16 * 1024;
/// Size of the write buffer of a member's connection from which another connection is opened.
pub const MEMBER_WRITE_BUFFER: usize = 4 * 1024 * 1024;

/// Bytes of rejections and pongs that one client may leave unread while memory is scarce.
pub const CLIENT_REJECTIONS_SCARCE: usize = 2 * 1024;
/// Bytes that a client's partial message may always take, and body up to which a request counts as small. It has room for
/// a cancellation of all requests that may be open.
pub const CLIENT_INPUT: usize = 2 * 1024;
/// Bytes that are read from a member's connection without memory reserved for its answer.
pub const MEMBER_READ: usize = 4 * 1024;

/// Share of the memory that clients' partial messages may use.
const CLIENT_INPUT_SHARE: f64 = 0.2;
/// Share of the memory that is held for peers from which requests with a large body are rejected, so that these don't keep
/// the small ones out.
const BODIES_SHARE: f64 = 0.4;
/// Share from which all new requests are rejected.
const REQUESTS_SHARE: f64 = 0.5;
/// Share up to which large answers of members are received.
const ANSWERS_SHARE: f64 = 0.6;
/// Share that the answers being received may use themselves. It is below that of requests, so that members that stop
/// inside large answers don't keep all requests out.
const MEMBER_INPUT_SHARE: f64 = 0.4;
/// Share up to which members are read at all. The rest is for the process itself, its tables, and what the allocator
/// can't use.
const READ_SHARE: f64 = 0.65;
/// Share of the memory used by messages waiting for clients from which no large answer is received and the client with
/// the most unread bytes is closed.
const UNREAD_SHARE: f64 = 0.25;

/// Bounds derived from the memory and descriptor limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Most connections of clients.
    pub clients: usize,
    /// Most connections to members.
    pub member_connections: usize,
    /// The process's limit on memory, bytes.
    pub memory: usize,
    /// Most bytes that clients' partial messages may take.
    pub client_input: usize,
    /// Most bytes held for peers with which requests with a large body are admitted.
    pub bodies: usize,
    /// Most bytes held for peers with which new requests are admitted.
    pub requests: usize,
    /// Most bytes held for peers with which large answers of members are received.
    pub answers: usize,
    /// Most bytes of answers that are being received.
    pub member_input: usize,
    /// Most bytes held for peers with which members are read.
    pub read: usize,
    /// Most bytes that wait for clients.
    pub unread: usize,
}

impl Bounds {
    /// The bounds for `memory_mb` MB of memory and `sockets` descriptors.
    pub fn of(memory_mb: f64, sockets: usize) -> Self {
        let bytes = |share: f64| (memory_mb * 1024.0 * 1024.0 * share) as usize;
        let reserved = RESERVE.min(sockets / RESERVE_SHARE);
        Bounds {
            clients: sockets / CLIENT_SHARE,
            member_connections: sockets.saturating_sub(sockets / CLIENT_SHARE + reserved),
            memory: bytes(1.0),
            client_input: bytes(CLIENT_INPUT_SHARE),
            bodies: bytes(BODIES_SHARE),
            requests: bytes(REQUESTS_SHARE),
            answers: bytes(ANSWERS_SHARE),
            member_input: bytes(MEMBER_INPUT_SHARE),
            read: bytes(READ_SHARE),
            unread: bytes(UNREAD_SHARE),
        }
    }
}
