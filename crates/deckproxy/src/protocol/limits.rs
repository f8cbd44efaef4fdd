//! Limits that the protocol sets, and bounds on what a peer may make a gateway hold. None is a decision about
//! where a request goes.

/// Requests that may be open on one client connection.
pub const CLIENT_OPEN: usize = 32;
/// Largest body of a client's request.
pub const CLIENT_BODY: usize = 48_000;
/// Largest message of a client: a body and its fields.
pub const CLIENT_MESSAGE: usize = 64 * 1024;
/// Values that one message of a client may hold, whatever their nesting.
pub const CLIENT_VALUES: u64 = 1024;
/// Longest text of one field that is passed on.
pub const FIELD: usize = 128;
/// Groups of objects.
pub const GROUPS: u32 = 256;
/// Times a class's longest time that sending a part may take by its size.
pub const LARGEST: f64 = 8.0;
/// Longest text of a number.
pub const DIGITS: usize = 20;
/// Most bytes of an object.
pub const OBJECT: usize = 240_000;
/// Bodies below this size are copied out of the buffer that they came in.
pub const SMALL_BODY: usize = 16 * 1024;
/// Strings in one answer of a member.
pub const MEMBER_STRINGS: usize = 8;
/// Longest string of a member's answer other than its body.
pub const MEMBER_TEXT: usize = 4096;
/// Longest line of the feed.
pub const FEED_LINE: usize = 4 * 1024 * 1024;
/// Largest frame on a link between gateways: a piece of a body at the schema's largest, and its fields.
pub const LINK_FRAME: usize = 272 * 1024;
/// Bytes waiting on a link's connection from which no further piece of a body is put there: what is more urgent does
/// not stand behind much.
pub const LINK_OUTGOING: usize = 32 * 1024;
/// Bytes that the kernel takes for a link's connection, for the same reason.
pub const LINK_SENDING: usize = 64 * 1024;
/// Bytes waiting on a link's connection from which it is taken for stuck.
pub const LINK_STUCK: usize = 16 * 1024 * 1024;
/// Share of the descriptors that links which come in may hold, as one in so many.
pub const LINK_SHARE: usize = 8;
/// Share of the descriptors that clients may hold, as one in so many.
pub const CLIENT_SHARE: usize = 3;
/// Descriptors kept back for the loop, the listener, the feed, the log and what is accepted to be closed.
/// Where there are few, one in so many.
pub const RESERVE: usize = 40;
/// See `RESERVE`.
pub const RESERVE_SHARE: usize = 4;
/// Share of the members' connections, as one in so many, from which on attempts share them.
pub const SHARE_FROM: usize = 4;
/// Connections that may be on their way up to one member before its attempts share them: a burst does not
/// overflow what waits to be accepted there, and a member that has vanished takes no descriptors.
pub const CONNECTING: usize = 8;

/// Milliseconds until a timer of the module rings at the earliest.
pub const TICK: f64 = 1.0;
/// Milliseconds by which every time limit is longer on sockets.
pub const SOCKET_SLACK: f64 = 50.0;
/// Milliseconds after SIGTERM in which new connections and requests may still come.
pub const STRAGGLERS: f64 = 700.0;
/// Milliseconds that a longest deadline counts at most when a planned restart is timed.
pub const LONGEST_COUNTED: f64 = 3000.0;
/// Milliseconds before the kill that ends a planned restart at which all that is open is ended.
pub const LAST_CALL: f64 = 400.0;
/// Milliseconds without a line after which the feed's connection is taken for dead; it sends one each second.
pub const FEED_SILENCE: f64 = 2200.0;
/// Milliseconds from one try to connect to the feed until the next, at first and at most.
pub const FEED_BACKOFF: (f64, f64) = (50.0, 1000.0);
/// Milliseconds that a client may leave its answers unread before its connection is closed.
pub const CLIENT_STALL: f64 = 10_000.0;
/// Milliseconds that a client's connection may be idle, well over the four seconds after which clients close.
pub const CLIENT_IDLE: f64 = 10_000.0;
/// Milliseconds in which a new connection's first message must come, and any message from its first byte on.
pub const CLIENT_PROMPT: f64 = 2000.0;
/// Milliseconds that a new connection has in any case, also when there is no room for more: its first message may
/// be on its way.
pub const CLIENT_YOUNG: f64 = 50.0;
/// Requests that a client may take back one after another without one being answered.
pub const CLIENT_TAKEN_BACK: usize = 4 * CLIENT_OPEN;
/// Milliseconds between looks at whether a closing connection still owes an answer; it closes once it does not.
pub const CLOSING: f64 = 1500.0;
/// Milliseconds that a client has to close its side of a connection that closes.
pub const LINGER: f64 = 300.0;
/// Milliseconds before a member's idle close at which a connection is not used any more.
pub const IDLE_MARGIN: f64 = 500.0;
/// Milliseconds for a probe.
pub const PROBE: f64 = 1000.0;
/// Bytes of refusals and pongs that one client may leave unread; the answers to open requests are bounded by their
/// number. Reading goes on in any case: what a client takes back, and its end, come behind all that it sent before.
pub const CLIENT_REFUSALS: usize = 64 * 1024;
/// Turns of reading that a client gets at once before anything is sent for it: all requests that may be open, with
/// the largest bodies, and what takes them back behind them.
pub const CLIENT_AHEAD: usize = 8;
/// Milliseconds after which what was heard of a client is old: it is heard again before an attempt goes out for it.
/// And the longest that one client is heard without a break.
pub const NEWS: f64 = 20.0;
/// Bytes waiting for one member's connection from which another connection is opened.
pub const MEMBER_OUTGOING: usize = 4 * 1024 * 1024;

/// Share of the memory that connections and requests' bodies may take, from which on new requests are refused. The
/// rest is for the process itself, what its tables hold, and what is on its way already.
const MEMORY: f64 = 0.5;
/// Share of the memory that may wait for clients, from which on nothing more is read from members and who leaves
/// most unread is closed.
const UNREAD: f64 = 0.25;

/// Bounds that follow from the memory and the descriptors that a process is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to members.
    pub links: usize,
    /// Bytes read and not decoded, waiting to be written, or held as bodies.
    pub bytes: usize,
    /// Bytes that wait for clients.
    pub unread: usize,
}

impl Bounds {
    /// The bounds for so many MB and descriptors.
    pub fn of(memory_mb: f64, sockets: usize) -> Self {
        let bytes = |share: f64| (memory_mb * 1024.0 * 1024.0 * share) as usize;
        Bounds {
            clients: sockets / CLIENT_SHARE,
            links: sockets.saturating_sub(sockets / CLIENT_SHARE + RESERVE.min(sockets / RESERVE_SHARE)),
            bytes: bytes(MEMORY),
            unread: bytes(UNREAD),
        }
    }
}
