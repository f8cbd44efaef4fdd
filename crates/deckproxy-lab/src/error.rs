//! Why a command of decklab could not do its work.

use crate::flows::{FilterError, TimeError};
use crate::model::SweepError;
use deckproxy_operator::FileError;
use plotters::drawing::DrawingAreaErrorKind;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a picture could not be drawn.
pub type DrawError = DrawingAreaErrorKind<io::Error>;

/// A failure of a command. Its text names the place (file, option, address) and what is wrong there; `decklab` prints it
/// and ends with exit code 2.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file or folder could not be read, created or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file can be read, but what it holds is wrong in one or more places.
    #[error("{}", list(path, faults))]
    Contents {
        /// The file.
        path: PathBuf,
        /// All that is wrong, each with line and column, in the order of the text.
        faults: Vec<FileError>,
    },
    /// An option or argument has a value that the command cannot work with.
    #[error("{name}: {fault}")]
    Argument {
        /// The option as it is written on the command line.
        name: &'static str,
        /// What is wrong with the value.
        fault: String,
    },
    /// The option `--where` is not a filter.
    #[error("--where: {0}")]
    Filter(#[from] FilterError),
    /// The option `--sweep` is not a sweep of the experiment.
    #[error("--sweep: {0}")]
    Sweep(#[from] SweepError),
    /// An option is not a time.
    #[error("{name}: {source}")]
    Time {
        /// The option as it is written on the command line.
        name: &'static str,
        /// What is wrong with the value.
        source: TimeError,
    },
    /// A socket could not be opened at the address that was asked for.
    #[error("{protocol}: {source}")]
    Socket {
        /// "TCP" or "UDP".
        protocol: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A file is not a program that can be started.
    #[error("{}: is not an executable program", path.display())]
    NotExecutable {
        /// The file.
        path: PathBuf,
    },
    /// There is no data for a picture.
    #[error("{}: nothing to draw", path.display())]
    NothingToDraw {
        /// The picture's file.
        path: PathBuf,
    },
    /// A picture could not be drawn.
    #[error("{title}: {source}")]
    Picture {
        /// The title of the picture.
        title: String,
        /// What the plotting library said.
        source: DrawError,
    },
    /// A row of a table could not be written.
    #[error("{place}: {source}")]
    Csv {
        /// The file, or "standard output".
        place: String,
        /// What the CSV library said.
        source: csv::Error,
    },
    /// A value could not be written as JSON.
    #[error("{value}: {source}")]
    Json {
        /// What the value is of.
        value: String,
        /// What the JSON library said.
        source: serde_json::Error,
    },
    /// A collected record could not be stored.
    #[error("cannot store records: {}: {source}", folder.display())]
    Store {
        /// The collector's folder.
        folder: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// There is nothing in a folder that the command could show.
    #[error("no matching record in {}", folder.display())]
    NoRecords {
        /// The folder.
        folder: PathBuf,
    },
    /// A thread of the command has failed; its own message stands before this one.
    #[error("{job} failed")]
    Thread {
        /// What it did.
        job: &'static str,
    },
}

impl LabError {
    /// A failure to read or write `path`, in the form that `map_err` takes.
    pub fn file(path: &Path) -> impl Fn(io::Error) -> LabError {
        move |source| LabError::File { path: path.to_path_buf(), source }
    }

    /// A failure to write a table to `place`, in the form that `map_err` takes.
    pub fn csv(place: impl fmt::Display) -> impl Fn(csv::Error) -> LabError {
        move |source| LabError::Csv { place: place.to_string(), source }
    }

    /// A failure to write a value as JSON, in the form that `map_err` takes.
    pub fn json(value: impl fmt::Display) -> impl Fn(serde_json::Error) -> LabError {
        move |source| LabError::Json { value: value.to_string(), source }
    }

    /// A failure to draw a picture, in the form that `map_err` takes.
    pub fn picture(title: impl fmt::Display) -> impl Fn(DrawError) -> LabError {
        move |source| LabError::Picture { title: title.to_string(), source }
    }

    /// A fault in the value of an option.
    pub fn argument(name: &'static str, fault: impl fmt::Display) -> LabError {
        LabError::Argument { name, fault: fault.to_string() }
    }

    /// Prints the failure of a command to standard error: faults of a file one a line as `FILE:LINE:COLUMN: FIELD: WHAT`,
    /// like `deckproxy check`, everything else after the command's name.
    pub fn report(&self, command: &str) {
        match self {
            LabError::Contents { .. } => eprintln!("{self}"),
            _ => eprintln!("decklab {command}: {self}"),
        }
    }
}

/// The faults of a file, one a line.
fn list(path: &Path, faults: &[FileError]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("{}:{fault}", path.display())).collect();
    lines.join("\n")
}
