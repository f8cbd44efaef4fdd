//! Why the gateway can't be started.

use deckproxy_operator::FleetSettingsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the gateway can't be started: an address can't be bound, or a subsystem can't be set up.
#[derive(Debug, Error)]
pub enum StartError {
    /// The clients' address can't be bound.
    #[error("{address}: {error}")]
    ClientListener {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The address for links of other sites' gateways can't be bound.
    #[error("links' address {address}: {error}")]
    LinkListener {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The address for datagrams of the fleet's other instances can't be bound.
    #[error("the fleet's address {address}: {error}")]
    FleetSocket {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The fleet's settings can't be used.
    #[error(transparent)]
    FleetSettings(#[from] FleetSettingsError),
    /// The event loop takes no timer.
    #[error(transparent)]
    LoopTimer(calloop::Error),
}
