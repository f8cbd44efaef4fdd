//! Why a connection is closed.

use crate::frame::VERSION;
use std::fmt;

/// The reason for closing a connection. Its text is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing was received within the silence timeout.
    Silent,
    /// The peer was removed from the configuration, and no exchange is open or the connection was silent.
    PeerRemoved,
    /// The other side sent a goodbye.
    Goodbye,
    /// The other side sent a message that is not allowed in the connection's current state.
    UnexpectedMessage,
    /// The other side's first message was not a hello.
    HelloMissing,
    /// The other side sent no hello within the silence timeout.
    HelloTimeout,
    /// The other side's hello was rejected.
    HelloRejected(HelloError),
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Silent => formatter.write_str("silent"),
            CloseReason::PeerRemoved => formatter.write_str("no longer a peer"),
            CloseReason::Goodbye => formatter.write_str("the other side said goodbye"),
            CloseReason::UnexpectedMessage => formatter.write_str("a message that does not belong there"),
            CloseReason::HelloMissing => formatter.write_str("no hello"),
            CloseReason::HelloTimeout => formatter.write_str("no hello in time"),
            CloseReason::HelloRejected(error) => error.fmt(formatter),
        }
    }
}

/// Why a hello was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HelloError {
    /// The other side uses this unsupported version of the protocol.
    Version(u32),
    /// The other side expects to connect to another site.
    WrongDestination {
        /// This site.
        own: String,
        /// The site that the other side expects to connect to.
        expected: String,
    },
    /// The other side's site name is this site's own, empty or too long.
    InvalidSite {
        /// This site.
        own: String,
        /// The name in the hello.
        site: String,
    },
    /// The other end is not the configured site.
    WrongSite {
        /// The configured site.
        expected: String,
        /// The site in the hello.
        site: String,
    },
}

impl fmt::Display for HelloError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HelloError::Version(version) => {
                write!(formatter, "version {VERSION} of the link protocol is spoken here, not {version}")
            }
            HelloError::WrongDestination { own, expected } => {
                write!(formatter, "this is site {own:?}, not {expected:?}")
            }
            HelloError::InvalidSite { own, site } => write!(formatter, "site {site:?} can't link to {own:?}"),
            HelloError::WrongSite { expected, site } => {
                write!(formatter, "site {expected:?} was expected, not {site:?}")
            }
        }
    }
}

impl std::error::Error for HelloError {}
