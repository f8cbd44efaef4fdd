//! Why a command of decklab could not do its work.

use deckproxy_operator::FileError;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// A failure of a command. Its text names the place (file, option, address) and what is wrong there; `decklab` prints it
/// and ends with exit code 2.
#[derive(Debug)]
pub enum LabError {
    /// A file or folder could not be read, created or written.
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file can be read, but what it holds is wrong in one or more places.
    Contents {
        /// The file.
        path: PathBuf,
        /// All that is wrong, each with line and column, in the order of the text.
        faults: Vec<FileError>,
    },
    /// An option or argument has a value that the command cannot work with.
    Argument {
        /// The option as it is written on the command line.
        name: &'static str,
        /// What is wrong with the value.
        fault: String,
    },
    /// A socket could not be opened at the address that was asked for.
    Socket {
        /// "TCP" or "UDP".
        protocol: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A picture, table or record could not be produced.
    Output {
        /// The file, or the title of the picture.
        place: String,
        /// What the library that makes it said.
        fault: String,
    },
    /// There is nothing in a folder that the command could show.
    NoRecords {
        /// The folder.
        folder: PathBuf,
    },
    /// A thread of the command has failed; its own message stands before this one.
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

    /// A fault in the value of an option.
    pub fn argument(name: &'static str, fault: impl fmt::Display) -> LabError {
        LabError::Argument { name, fault: fault.to_string() }
    }

    /// A failure of a library that writes to `place`.
    pub fn output(place: impl fmt::Display, fault: impl fmt::Display) -> LabError {
        LabError::Output { place: place.to_string(), fault: fault.to_string() }
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

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LabError::File { path, source } => write!(f, "{}: {source}", path.display()),
            LabError::Contents { path, faults } => {
                for (i, fault) in faults.iter().enumerate() {
                    let separator = if i == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}:{fault}", path.display())?;
                }
                Ok(())
            }
            LabError::Argument { name, fault } => write!(f, "{name}: {fault}"),
            LabError::Socket { protocol, source } => write!(f, "{protocol}: {source}"),
            LabError::Output { place, fault } => write!(f, "{place}: {fault}"),
            LabError::NoRecords { folder } => write!(f, "no record of this kind in {}", folder.display()),
            LabError::Thread { job } => write!(f, "{job} failed"),
        }
    }
}

impl std::error::Error for LabError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LabError::File { source, .. } | LabError::Socket { source, .. } => Some(source),
            _ => None,
        }
    }
}
