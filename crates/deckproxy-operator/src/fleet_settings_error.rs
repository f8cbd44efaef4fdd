//! Why the settings of a fleet can't be made from the operator file and the platform's names.

use crate::rules::InvalidInstanceName;
use thiserror::Error;

/// Why the settings of a fleet can't be made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FleetSettingsError {
    /// The file gives this instance no name, and the platform's can't be used.
    #[error("fleet.instance must be set: the platform's {0}")]
    Instance(InvalidInstanceName),
    /// The file names no zone, and the platform's name of it can't be used.
    #[error("fleet.zone must be set: the platform's {0}")]
    Zone(InvalidInstanceName),
    /// The address at which others reach this instance is not a socket address.
    #[error("fleet.listen is no address")]
    Address,
}
