//! Errors in deriving the settings of a fleet from the operator file and the platform's names.

use crate::rules::InvalidInstanceName;
use thiserror::Error;

/// Why the settings of a fleet can't be derived.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FleetSettingsError {
    /// The file does not name this instance, and the platform's name of it is not a valid instance name.
    #[error("fleet.instance must be set: the platform's {0}")]
    Instance(InvalidInstanceName),
    /// The file does not name the zone, and the platform's name of it is not a valid zone name.
    #[error("fleet.zone must be set: the platform's {0}")]
    Zone(InvalidInstanceName),
    /// The address at which others reach this instance is not a socket address.
    #[error("fleet.address, or fleet.listen in its place, is not ADDRESS:PORT")]
    Address,
}
