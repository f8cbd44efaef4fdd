//! Errors that prevent the gateway's start.

use deckproxy_operator::FleetSettingsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the gateway could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The clients' address can't be bound.
    #[error("{address}: {error}")]
    ClientListener {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The address for links of other sites' gateways can't be bound.
    #[error("links' address {address}: {error}")]
    LinkListener {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The address for datagrams of the fleet's other instances can't be bound.
    #[error("the fleet's address {address}: {error}")]
    FleetSocket {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The fleet's settings can't be used.
    #[error(transparent)]
    FleetSettings(#[from] FleetSettingsError),
    /// The event loop's timer can't be registered.
    #[error(transparent)]
    LoopTimer(calloop::Error),
}
