//! What a gateway between sites decides, without I/O and without a clock.
//!
//! - [`routes`]: whose object a request is for.
//! - [`near`]: the side whose clients ask: crossings, collapsing, sessions and what a cut leaves open.
//! - [`far`]: the side that serves: what has come, what runs, which answers are kept for a peer that was cut off.
//! - [`purges`]: numbered purges on both sides, the lease under which copies are good, the clocks' difference.
//! - [`pace`]: what a link carries, and whether an answer over it could be in time.
//! - [`site`]: all of it together, as a gateway drives it.
//! - [`frame`]: what the two sides say to each other.
//!
//! All times are milliseconds on the caller's clock; only differences of them count.
#![forbid(unsafe_code)]

pub mod far;
pub mod frame;
pub mod near;
pub mod pace;
pub mod purges;
pub mod routes;
pub mod site;

/// Milliseconds.
pub type Millis = f64;

/// Limits of the links.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkLimits {
    /// From one heartbeat to the next.
    pub heartbeat: Millis,
    /// Without a word, until a connection is taken for cut.
    pub silence: Millis,
    /// For which both ends remember a session after a cut.
    pub reattach: Millis,
    /// Bytes of one piece of a body.
    pub chunk: usize,
    /// Bytes of one body that may be on their way.
    pub credit: usize,
    /// Crossings open at once.
    pub crossings: usize,
    /// Requests that may wait for one crossing.
    pub waiters: usize,
    /// Bytes of answers kept for a peer that was cut off.
    pub retain: usize,
    /// Span over which a link that came back gets its part again.
    pub ramp: Millis,
    /// For which a request waits for a way that is down, before it is refused.
    pub hold: Millis,
    /// Repeats for each first try.
    pub repeats: f64,
    /// Until a refused client is asked back where nothing better is known.
    pub cooldown: Millis,
}

/// Limits of what holds a copy to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrustLimits {
    /// After the news of a purge, until no older copy may answer.
    pub grace: Millis,
    /// For which the home's word that no purge is missing counts.
    pub lease: Millis,
    /// Before a gateway's start, for which the purges that it knows at its start are all there were.
    pub known: Millis,
    /// The home serves its own objects from any copy also while a peer is not heard that may tell their purges.
    pub serve_when_cut: bool,
    /// By which two clocks may differ.
    pub skew: Millis,
    /// After a purge, until the copies are gone by themselves.
    pub copy_life: Millis,
}
