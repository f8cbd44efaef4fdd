//! What is read at the start, and again on SIGHUP.

use crate::program::cli::Run;
use crate::protocol::config;
use crate::transport::stream::is_exhausted;
use deckproxy_operator::Operator;
use std::path::Path;
use std::{fmt, io};

/// All that is read at the start, and again on SIGHUP.
#[derive(Debug)]
pub struct Files {
    /// The platform's configuration.
    pub config: config::Config,
    /// What the operators switch on beside it.
    pub operator: Operator,
}

/// Why they could not be read; the text has a line for each fault.
#[derive(Debug)]
pub enum FileError {
    /// The process has no descriptor left for a file, which says nothing of it.
    Exhausted(String),
    /// A file can't be read or used.
    Unusable(String),
}

impl FileError {
    fn of(e: &io::Error, what: String) -> Self {
        if is_exhausted(e) { FileError::Exhausted(what) } else { FileError::Unusable(what) }
    }
}

impl From<config::ConfigError> for FileError {
    fn from(error: config::ConfigError) -> Self {
        FileError::Unusable(error.to_string())
    }
}

impl From<String> for FileError {
    fn from(what: String) -> Self {
        FileError::Unusable(what)
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Exhausted(what) | FileError::Unusable(what) => f.write_str(what),
        }
    }
}

impl Files {
    /// Reads what the command line and the environment name.
    pub fn read(run: &Run) -> Result<Self, FileError> {
        let operator = match &run.operator {
            None => Operator::default(),
            Some(path) => {
                let bytes = bytes(path).map_err(|e| FileError::of(&e, unreadable(path, &e)))?;
                usable(path, &bytes).map_err(|faults| faults.join("\n"))?
            }
        };
        Ok(Files { config: configuration(run)?, operator })
    }
}

fn configuration(run: &Run) -> Result<config::Config, FileError> {
    let path = match &run.config {
        Some(path) => path.clone().into_os_string(),
        None => std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG is not set".to_string())?,
    };
    let shown = Path::new(&path).display().to_string();
    let told = |e: io::Error| FileError::of(&e, format!("cannot read the configuration {shown}: {e}"));
    let text = std::fs::read(&path).map_err(told)?;
    let mut config = config::read(&text)?;
    if let Ok(listen) = std::env::var("GW_LISTEN") {
        config.listen = listen.parse().map_err(|_| format!("GW_LISTEN: {listen:?} is no address"))?;
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

/// Reads an operator file; the error has a line for each fault.
pub fn operator(path: &Path) -> Result<Operator, Vec<String>> {
    let bytes = bytes(path).map_err(|e| vec![unreadable(path, &e)])?;
    usable(path, &bytes)
}

fn unreadable(path: &Path, e: &io::Error) -> String {
    format!("{}: cannot be read: {e}", path.display())
}

fn usable(path: &Path, bytes: &[u8]) -> Result<Operator, Vec<String>> {
    let shown = path.display();
    deckproxy_operator::read(bytes)
        .map_err(|faults| faults.iter().map(|fault| format!("{shown}:{fault}")).collect())
}

/// What an operator file holds. What is over the limit is not read, only told.
fn bytes(path: &Path) -> io::Result<Vec<u8>> {
    let length = std::fs::metadata(path)?.len();
    let most = deckproxy_operator::LARGEST as u64 + 1;
    let mut bytes = Vec::with_capacity(length.min(most) as usize);
    io::Read::read_to_end(&mut io::Read::take(std::fs::File::open(path)?, most), &mut bytes)?;
    Ok(bytes)
}
