//! Outputs of a gateway between sites: destinations, effects and log events.

use crate::close::{CloseReason, HelloError};
use crate::frame::{Frame, Request};
use crate::purges::{Distrust, PurgeNotice};
use crate::requester::{EndpointsUp, Reply, RequestToken};
use crate::responder::RunId;
use crate::{ConnectionId, Millis};
use std::fmt;

/// Where a request is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// On this site.
    Local,
    /// On another site: this is the next site to which the request is forwarded.
    Remote(String),
    /// It can't be routed.
    Unroutable(Unroutable),
}

/// Why a request can't be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unroutable {
    /// It would return to a site that it has passed.
    Loop,
    /// It was already forwarded as often as it may be.
    TooManyHops,
}

impl Unroutable {
    /// The reason as text, for the log and for the client.
    pub fn as_str(self) -> &'static str {
        match self {
            Unroutable::Loop => "it would come back to a site that it came by",
            Unroutable::TooManyHops => "it came by too many sites",
        }
    }
}

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection to a peer's gateway.
    Connect {
        /// Index of the peer.
        peer: usize,
        /// Index of its gateway.
        endpoint: usize,
    },
    /// Send a frame on a connection.
    Send(ConnectionId, Frame),
    /// Close a connection once all earlier frames are written.
    Close(ConnectionId, CloseReason),
    /// Pass the final response to the client of a forwarded request.
    Reply(RequestToken, Reply),
    /// Execute a request that was received over a link.
    Run(RunId, Request),
    /// Cancel an execution: the requesting side no longer waits for it.
    Cancel(RunId),
    /// Apply a purge that another site relayed.
    Purge(PurgeNotice),
    /// Discard the copies that are now older than this, ms, because purges may be missing.
    LimitCopyAge(Millis),
    /// Write a log line.
    Log(LogEvent),
}

/// An event for the operators' log. The operators' manual lists the texts.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A peer's endpoint came up.
    EndpointUp {
        /// The peer's site.
        site: String,
        /// Index of the endpoint.
        endpoint: usize,
        /// The number of the peer's endpoints that are up now.
        endpoints: EndpointsUp,
    },
    /// A peer's endpoint lost its last connection.
    EndpointDown {
        /// The peer's site.
        site: String,
        /// Index of the endpoint.
        endpoint: usize,
        /// The number of the peer's endpoints that are up now.
        endpoints: EndpointsUp,
    },
    /// The other side's hello was rejected.
    HelloRejected(HelloError),
    /// The other side closes a connection, for the given reason.
    Goodbye(String),
    /// A gap was detected in a peer's purge log.
    PurgesMissing,
    /// This site's copies are served only up to a maximum age.
    CopyAgeLimited {
        /// The site that is unreachable, or whose purges may be missing.
        site: String,
        /// The largest age, ms.
        max_age: Millis,
    },
    /// This site's copies are served at any age again.
    CopyAgeUnlimited,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointUp { site, endpoint, endpoints: EndpointsUp { up, total } } => {
                write!(formatter, "link to {site} ({endpoint}): up; {up} of {total} endpoints are up")
            }
            LogEvent::EndpointDown { site, endpoint, endpoints: EndpointsUp { up, total } } => {
                write!(formatter, "link to {site} ({endpoint}): down; {up} of {total} endpoints are up")
            }
            LogEvent::HelloRejected(error) => write!(formatter, "link: {error}"),
            LogEvent::Goodbye(reason) => write!(formatter, "link: the peer says: {reason}"),
            LogEvent::PurgesMissing => {
                formatter.write_str("purges of a peer are missing: copies are not trusted")
            }
            LogEvent::CopyAgeLimited { site, max_age } => write!(
                formatter,
                "site {site} is unreachable, or its purges may be missing: own copies may be {max_age:.0} ms old at most"
            ),
            LogEvent::CopyAgeUnlimited => {
                formatter.write_str("all peers are reachable: own copies may be of any age again")
            }
        }
    }
}

/// Requests sent to the home because copies were not trusted, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DistrustCounters {
    /// The lease had expired.
    pub lease_expired: u64,
    /// Purges may have been missed.
    pub purges_missed: u64,
    /// The clock skew was too large or unknown.
    pub clock_skew: u64,
}

impl DistrustCounters {
    /// Counts a request that is sent to the home.
    pub(super) fn count(&mut self, distrust: Distrust) {
        match distrust {
            Distrust::LeaseExpired => self.lease_expired += 1,
            Distrust::PurgesMissed => self.purges_missed += 1,
            Distrust::ClockSkew => self.clock_skew += 1,
        }
    }
}
