//! Reading the configuration and the operator file, at the start and again on SIGHUP.

use crate::program::cli::Run;
use crate::program::file_fault::{FileFault, lines};
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
    /// What the operators switch on beside it.
    pub operator: Operator,
}

/// Why the files can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// Neither the command line nor the environment names a configuration.
    #[error("GW_CONFIG is not set")]
    NoConfiguration,
    /// The configuration can't be read.
    #[error("cannot read the configuration {}: {error}", path.display())]
    UnreadableConfiguration {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The configuration can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// `GW_LISTEN` is not a socket address.
    #[error("GW_LISTEN: {0:?} is no address")]
    ListenNotAnAddress(String),
    /// The operator file can't be read or used: each fault on a line.
    #[error("{}", lines(.0))]
    OperatorFile(Vec<FileFault>),
}

impl FileError {
    /// Whether the process had no descriptor left for a file, which says nothing about the file.
    pub fn is_exhausted(&self) -> bool {
        match self {
            FileError::UnreadableConfiguration { error, .. } => is_exhausted(error),
            FileError::OperatorFile(faults) => faults.iter().any(FileFault::is_exhausted),
            _ => false,
        }
    }
}

impl Files {
    /// Reads what the command line and the environment name.
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

/// Reads the configuration, over which the environment's `GW_LISTEN` and `GW_NAME` are laid.
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

/// Reads an operator file up to one byte over the largest that is allowed: of a longer file no more is needed to report it.
fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let most = deckproxy_operator::MAX_FILE_SIZE + 1;
    let length = usize::try_from(fs::metadata(path)?.len()).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(length.min(most));
    File::open(path)?.take(most as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}
