//! Identifiers and the unit of time that subsystems share with the event loop.

use crate::routing::ClientId;
use deckproxy_flow::scheduler::Micros;

/// One connection of a link to another site's gateway.
pub type LinkId = u64;
/// A client's request: the client's connection and the id that the client gave the request.
pub type RequestKey = (ClientId, u32);
/// Client ids from this one on stand for requests that were received over links.
pub const FIRST_LINK_CLIENT: ClientId = 1 << 62;

/// Converts a time of the event loop's clock from milliseconds to whole microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}
