//! Why the program ends with a failure.

use crate::program::files::FileError;
use crate::program::migrate::MigrateError;
use std::{fmt, io};

/// Why a command failed. Its text goes to standard error, and the exit code is 1.
#[derive(Debug)]
pub enum ProgramError {
    /// The signals can't be received.
    Signals(calloop::Error),
    /// The configuration or the operator file can't be used.
    Files(FileError),
    /// The gateway can't be started: an address can't be bound, or a subsystem can't be set up.
    Start(io::Error),
    /// The event loop failed.
    EventLoop(calloop::Error),
    /// `check` found so many faults, and has written each of them.
    FaultsFound(usize),
    /// `migrate` failed.
    Migrate(MigrateError),
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProgramError::Signals(error) => error.fmt(f),
            ProgramError::Files(error) => error.fmt(f),
            ProgramError::Start(error) => error.fmt(f),
            ProgramError::EventLoop(error) => write!(f, "the event loop failed: {error}"),
            ProgramError::FaultsFound(1) => f.write_str("1 fault found"),
            ProgramError::FaultsFound(count) => write!(f, "{count} faults found"),
            ProgramError::Migrate(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ProgramError {}

impl From<FileError> for ProgramError {
    fn from(error: FileError) -> Self {
        ProgramError::Files(error)
    }
}

impl From<MigrateError> for ProgramError {
    fn from(error: MigrateError) -> Self {
        ProgramError::Migrate(error)
    }
}
