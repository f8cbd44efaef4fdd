//! Limits that the protocols set, and bounds on what a peer may make a gateway hold. None of them decides where a
//! request is sent. Times are in milliseconds, sizes in bytes.

/// Requests that may be open on one client connection.
pub const CLIENT_REQUESTS: usize = 32;
/// Largest body of a client's request.
pub const CLIENT_BODY: usize = 48_000;
/// Largest message of a client: a body and its fields.
pub const CLIENT_MESSAGE: usize = 64 * 1024;
/// Values that one message of a client may hold, however they are nested.
pub const CLIENT_VALUES: u64 = 1024;
/// Longest text of one field that is passed on.
pub const FIELD: usize = 128;
/// Groups of objects.
pub const GROUPS: u32 = 256;
/// Multiple of a class's deadline that the transfer of a part may take by its size.
pub const TRANSFER_DEADLINES: f64 = 8.0;
/// Longest text of a number.
pub const DIGITS: usize = 20;
/// Largest object.
pub const OBJECT: usize = 240_000;
/// Bodies below this size are copied out of the buffer that they came in.
pub const SMALL_BODY: usize = 16 * 1024;
/// Strings in one answer of a member.
pub const MEMBER_STRINGS: usize = 8;
/// Longest string of a member's answer other than its body.
pub const MEMBER_TEXT: usize = 4096;
/// Longest line of the feed.
pub const FEED_LINE: usize = 4 * 1024 * 1024;
/// Largest frame on a link between gateways: the largest piece of a body in the schema, and its fields.
pub const LINK_FRAME: usize = 272 * 1024;
/// Size of a link's write buffer from which no further piece of a body is put there, so that more urgent frames do not
/// stand behind much.
pub const LINK_WRITE_BUFFER: usize = 32 * 1024;
/// Size of the kernel's send buffer for a link, for the same reason.
pub const LINK_SEND_BUFFER: usize = 64 * 1024;
/// Size of a link's write buffer from which the link counts as stalled.
pub const LINK_STALLED: usize = 16 * 1024 * 1024;
/// Share of the descriptors that incoming links may hold, as one in so many.
pub const LINK_SHARE: usize = 8;
/// Share of the descriptors that clients may hold, as one in so many.
pub const CLIENT_SHARE: usize = 3;
/// Descriptors reserved for the event loop, the listener, the feed, the log and what is accepted only to be closed.
pub const RESERVE: usize = 40;
/// Largest share of the descriptors that is reserved, as one in so many; it counts where there are few.
pub const RESERVE_SHARE: usize = 4;
/// Share of the member connections, as one in so many, that is left when attempts begin to share connections.
pub const SHARING_RESERVE: usize = 4;
/// Connections that may be coming up to one member before its attempts share them: a burst does not overflow the
/// member's accept queue, and a member that has vanished takes few descriptors.
pub const CONNECTING: usize = 8;

/// Earliest time at which a timer of the decision module fires.
pub const MIN_TIMER_DELAY: f64 = 1.0;
/// Time by which every deadline is extended on sockets.
pub const SOCKET_SLACK: f64 = 50.0;
/// Time after SIGTERM in which new connections and requests may still come.
pub const DRAIN_ACCEPT: f64 = 700.0;
/// Longest deadline that counts when a planned restart is timed.
pub const DRAIN_DEADLINE: f64 = 3000.0;
/// Time before the kill that ends a planned restart at which all open requests are ended.
pub const DRAIN_MARGIN: f64 = 400.0;
/// Time without a line after which the feed's connection counts as dead; it sends one each second.
pub const FEED_SILENCE: f64 = 2200.0;
/// First backoff before the feed is connected again.
pub const FEED_BACKOFF_INITIAL: f64 = 50.0;
/// Longest backoff before the feed is connected again.
pub const FEED_BACKOFF_MAX: f64 = 1000.0;
/// Time that a client may leave its answers unread before its connection is closed.
pub const CLIENT_WRITE_TIMEOUT: f64 = 10_000.0;
/// Time that a client's connection may be idle, well over the four seconds after which clients close.
pub const CLIENT_IDLE_TIMEOUT: f64 = 10_000.0;
/// Time in which a new connection's first message must come, and any message from its first byte on.
pub const CLIENT_READ_TIMEOUT: f64 = 2000.0;
/// Time that a new connection has in any case, also when there is no capacity for more: its first message may be on its
/// way.
pub const CLIENT_MIN_AGE: f64 = 50.0;
/// Requests that a client may cancel one after another without one being answered.
pub const CLIENT_CANCELLATIONS: usize = 4 * CLIENT_REQUESTS;
/// Time between checks whether a closing connection still owes an answer; it closes once it does not.
pub const CLOSING_INTERVAL: f64 = 1500.0;
/// Time that a client has to close its side of a connection that closes (lingering close).
pub const LINGER: f64 = 300.0;
/// Time before a member's idle timeout from which a connection is not used any more.
pub const IDLE_MARGIN: f64 = 500.0;
/// Timeout of a health check.
pub const HEALTH_CHECK_TIMEOUT: f64 = 1000.0;
/// Bytes of rejections and pongs that one client may leave unread; the answers to open requests are bounded by their
/// number. Reading goes on in any case: a client's cancellations, and its end, come behind all that it sent before.
pub const CLIENT_REJECTIONS: usize = 64 * 1024;
/// Rounds of reading that a client gets at once before anything is sent for it: all requests that may be open, with the
/// largest bodies, and what cancels them behind them.
pub const CLIENT_READ_AHEAD: usize = 8;
/// Time after which what was read from a client is outdated: it is read again before an attempt is sent for it. Also the
/// longest time for which one client is read without a break.
pub const CLIENT_READ_AGE: f64 = 20.0;
/// Size of the write buffer of a member's connection from which another connection is opened.
pub const MEMBER_WRITE_BUFFER: usize = 4 * 1024 * 1024;

/// Share of the memory that connections and requests' bodies may take, from which on new requests are rejected. The rest
/// is for the process itself, its tables, and what is on its way already.
const BUFFERED_SHARE: f64 = 0.5;
/// Share of the memory that may wait for clients, from which on nothing more is read from members and the client that
/// leaves most unread is closed.
const UNREAD_SHARE: f64 = 0.25;

/// Bounds that follow from the memory and the descriptors that a process is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to members.
    pub member_connections: usize,
    /// Bytes read and not decoded, waiting to be written, or held as bodies.
    pub buffered: usize,
    /// Bytes that wait for clients.
    pub unread: usize,
}

impl Bounds {
    /// The bounds for so many MB and descriptors.
    pub fn of(memory_mb: f64, sockets: usize) -> Self {
        let bytes = |share: f64| (memory_mb * 1024.0 * 1024.0 * share) as usize;
        let reserved = RESERVE.min(sockets / RESERVE_SHARE);
        Bounds {
            clients: sockets / CLIENT_SHARE,
            member_connections: sockets.saturating_sub(sockets / CLIENT_SHARE + reserved),
            buffered: bytes(BUFFERED_SHARE),
            unread: bytes(UNREAD_SHARE),
        }
    }
}
