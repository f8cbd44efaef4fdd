//! Errors in frames, with their position.

use deckproxy_settings::SettingsError;
use std::fmt;
use std::io;
use std::string::FromUtf8Error;

/// An error in a frame, or of the input or output.
#[derive(Debug)]
pub enum WireError {
    /// Reading or writing failed.
    Io(io::Error),
    /// The input ends inside a frame; the text names the part.
    Truncated(&'static str),
    /// The length of a batch is over the limit.
    BatchTooLong {
        /// Its length in bytes.
        length: usize,
        /// The limit in bytes, the header included.
        limit: usize,
    },
    /// The header of a batch cannot be read.
    Header(RecordError),
    /// The clock of a batch is infinite.
    ClockNotFinite {
        /// Number of the batch.
        batch: u32,
    },
    /// The number of records of a batch does not fit into its length.
    TooManyRecords {
        /// Number of the batch.
        batch: u32,
        /// Number of its records.
        count: usize,
        /// Its length in bytes.
        length: usize,
    },
    /// A record cannot be decoded or processed.
    Record {
        /// Number of the batch.
        batch: u32,
        /// Position of the record in it, from 0.
        record: usize,
        /// The error.
        error: RecordError,
    },
}

/// An error in a record.
#[derive(Debug)]
pub enum RecordError {
    /// The record is too short for a field; the text names the part of the frame.
    Truncated(&'static str),
    /// A field is NaN.
    NotANumber {
        /// The part of the frame.
        part: &'static str,
        /// Offset of the field in it, in bytes.
        offset: usize,
    },
    /// A field points outside the frame's tail.
    OutsideTail {
        /// The part of the frame.
        part: &'static str,
        /// Offset in the tail, in bytes.
        offset: usize,
        /// Number of units that the field refers to.
        count: usize,
        /// Size of a unit, in bytes.
        unit: usize,
        /// Length of the tail, in bytes.
        tail: usize,
    },
    /// The settings are not UTF-8.
    SettingsNotUtf8(FromUtf8Error),
    /// The settings are invalid.
    Settings(SettingsError),
    /// No event has this code.
    UnknownEvent(u8),
    /// No kind of member list has this code.
    UnknownListKind(u8),
    /// No lifecycle has this code.
    UnknownLifecycle(u8),
    /// No ending of an attempt has this code.
    UnknownEnding(u16),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "input or output failed: {error}"),
            WireError::Truncated(part) => write!(f, "the input ends inside {part}"),
            WireError::BatchTooLong { length, limit } => {
                write!(f, "a batch of {length} bytes is over the limit of {limit}")
            }
            WireError::Header(error) => write!(f, "{error}"),
            WireError::ClockNotFinite { batch } => write!(f, "batch {batch}: the clock is not finite"),
            WireError::TooManyRecords { batch, count, length } => {
                write!(f, "batch {batch}: {count} records do not fit into {length} bytes")
            }
            WireError::Record { batch, record, error } => {
                write!(f, "batch {batch}, record {record}: {error}")
            }
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Truncated(part) => write!(f, "the input ends inside {part}"),
            RecordError::NotANumber { part, offset } => write!(f, "{part}: no number at {offset}"),
            RecordError::OutsideTail { part, offset, count, unit, tail } => {
                write!(
                    f,
                    "{part}: offset {offset} with {count} of {unit} bytes lies outside the tail of {tail}"
                )
            }
            RecordError::SettingsNotUtf8(error) => write!(f, "the settings are not UTF-8: {error}"),
            RecordError::Settings(error) => write!(f, "{error}"),
            RecordError::UnknownEvent(code) => write!(f, "unknown event code {code}"),
            RecordError::UnknownListKind(code) => write!(f, "unknown kind of list {code}"),
            RecordError::UnknownLifecycle(code) => write!(f, "unknown lifecycle {code}"),
            RecordError::UnknownEnding(code) => write!(f, "unknown outcome {code}"),
        }
    }
}

impl std::error::Error for WireError {}
impl std::error::Error for RecordError {}
