//! Faults of configurations and operator files, with their locations.

use crate::protocol::config_file::Fault;
use crate::transport::stream::is_exhausted;
use deckproxy_operator::FileError;
use deckproxy_sites::routes::ForwardingError;
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::string::FromUtf8Error;
use thiserror::Error;

/// A fault of a file; most are shown as `FILE:LINE:COLUMN: FIELD: WHAT`.
#[derive(Debug, Error)]
pub enum FileFault {
    /// The file can't be read.
    #[error("{}: cannot be read: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// A configuration is not UTF-8.
    #[error("{}:{line}:1: file: not UTF-8 from byte {offset} on", path.display())]
    NotUtf8 {
        /// The file.
        path: PathBuf,
        /// The line of the first byte that is not UTF-8, from 1.
        line: usize,
        /// The offset of that byte in the file, from 0.
        offset: usize,
    },
    /// A configuration has a fault.
    #[error("{}:{fault}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// The fault, with its line and column.
        fault: Fault,
    },
    /// An operator file has a fault.
    #[error("{}:{fault}", path.display())]
    Operator {
        /// The file.
        path: PathBuf,
        /// The fault, with its line and column.
        fault: FileError,
    },
    /// A route of an operator file conflicts with the routes of the other sites' files.
    #[error("{}: {error}", path.display())]
    Forwarding {
        /// The file.
        path: PathBuf,
        /// The fault of the route.
        error: ForwardingError,
    },
}

/// The texts of faults, one per line.
pub fn join_lines(faults: &[impl Display]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl FileFault {
    /// The fault of a configuration that is not UTF-8.
    pub fn not_utf8(path: PathBuf, error: &FromUtf8Error) -> Self {
        let offset = error.utf8_error().valid_up_to();
        let line = error.as_bytes()[..offset].split(|byte| *byte == b'\n').count();
        FileFault::NotUtf8 { path, line, offset }
    }

    /// Whether the file could not be opened because the process had no descriptors left, which is no fault of the file.
    pub fn is_exhausted(&self) -> bool {
        matches!(self, FileFault::Unreadable { error, .. } if is_exhausted(error))
    }
}
