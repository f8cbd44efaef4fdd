//! Reading the configuration and the operator file, at start and on SIGHUP.

use crate::program::cli::Run;
use crate::program::file_fault::{FileFault, join_lines};
use crate::protocol::config::{self, Config, ConfigError};
use crate::transport::stream::is_exhausted;
use deckproxy_operator::Operator;
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::{env, fs};
use thiserror::Error;

/// The files' contents, read and checked.
#[derive(Debug)]
pub struct Files {
    /// The platform's configuration.
    pub config: Config,
    /// The operator file, which enables and configures optional subsystems.
    pub operator: Operator,
}

/// Why the files can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// Neither the command line nor the environment specifies a configuration.
    #[error("GW_CONFIG is not set")]
    NoConfiguration,
    /// The configuration can't be read.
    #[error("cannot read the configuration {}: {error}", path.display())]
    UnreadableConfiguration {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The configuration can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// `GW_LISTEN` is not a socket address.
    #[error("GW_LISTEN: {0:?} is not a socket address")]
    ListenNotAnAddress(String),
    /// The operator file can't be read or used: one fault per line.
    #[error("{}", join_lines(.0))]
    OperatorFile(Vec<FileFault>),
}

impl FileError {
    /// Whether a file could not be opened because the process had no descriptors left, which is no fault of the file.
    pub fn is_exhausted(&self) -> bool {
        match self {
            FileError::UnreadableConfiguration { error, .. } => is_exhausted(error),
            FileError::OperatorFile(faults) => faults.iter().any(FileFault::is_exhausted),
            _ => false,
        }
    }
}

impl Files {
    /// Reads the files that the command line and the environment specify.
    ///
    /// # Errors
    /// A file can't be read or used; see [`FileError`].
    pub fn read(run: &Run) -> Result<Self, FileError> {
        let operator = match &run.operator {
            None => Operator::default(),
            Some(path) => read_operator(path).map_err(FileError::OperatorFile)?,
        };
        Ok(Files { config: read_config(run)?, operator })
    }
}

/// Reads the configuration; `GW_LISTEN` and `GW_NAME` in the environment override it.
fn read_config(run: &Run) -> Result<Config, FileError> {
    let path: OsString = match &run.config {
        Some(path) => path.clone().into_os_string(),
        None => env::var_os("GW_CONFIG").ok_or(FileError::NoConfiguration)?,
    };
    let text = fs::read(&path)
        .map_err(|error| FileError::UnreadableConfiguration { path: PathBuf::from(&path), error })?;
    let mut config = config::read(&text)?;
    if let Ok(listen) = env::var("GW_LISTEN") {
        config.listen = listen.parse().map_err(|_| FileError::ListenNotAnAddress(listen))?;
    }
    if let Ok(name) = env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

/// Reads an operator file.
///
/// # Errors
/// The file can't be read, or has faults: all of them are listed.
pub fn read_operator(path: &Path) -> Result<Operator, Vec<FileFault>> {
    let path_of_fault = || path.to_path_buf();
    let bytes =
        read_limited(path).map_err(|error| vec![FileFault::Unreadable { path: path_of_fault(), error }])?;
    deckproxy_operator::read(&bytes).map_err(|faults| {
        let located = faults.into_iter().map(|fault| FileFault::Operator { path: path_of_fault(), fault });
        located.collect()
    })
}

/// Reads an operator file up to one byte more than its maximum size, which is enough to report a longer file.
fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let max_length = deckproxy_operator::MAX_FILE_SIZE + 1;
    let length = usize::try_from(fs::metadata(path)?.len()).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(length.min(max_length));
    File::open(path)?.take(max_length as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}
