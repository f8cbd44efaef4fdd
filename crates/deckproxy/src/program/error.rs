//! Errors that end the program.

use crate::program::files::FileError;
use crate::program::migrate::MigrateError;
use crate::program::start_error::StartError;
use thiserror::Error;

/// Why a command failed. Its text goes to standard error, and the exit code is 1.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The signals can't be received.
    #[error(transparent)]
    Signals(calloop::Error),
    /// The configuration or the operator file can't be used.
    #[error(transparent)]
    Files(#[from] FileError),
    /// The gateway can't be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    EventLoop(calloop::Error),
    /// `check` found faults and has written each of them.
    #[error("{count} {} found", if *count == 1 { "fault" } else { "faults" })]
    FaultsFound {
        /// Number of faults.
        count: usize,
    },
    /// `migrate` failed.
    #[error(transparent)]
    Migrate(#[from] MigrateError),
}
