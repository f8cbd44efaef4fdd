//! `deckproxy migrate`: writes the counterpart of a configuration file for the shape of another deployment.

use crate::program::cli::Migrate;
use crate::protocol::config::{self, ConfigError};
use crate::protocol::config_file::{self, Completeness};
use crate::protocol::config_migration::{self, Migrated};
use serde_json::{Value, json};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{fmt, fs};

/// The exit code where something could not be carried over. 0 is clean, 1 failed, 2 a command line that can't be
/// read.
pub const WITH_LOSSES: u8 = 3;

/// Why nothing was written.
#[derive(Debug)]
pub enum MigrateError {
    /// An argument of `--set` has no `=`.
    SetWithoutValue(String),
    /// Files or `--set` arguments have faults, one each.
    Faults(Vec<String>),
    /// The counterpart is no configuration that a gateway starts with.
    UnusableResult(ConfigError),
    /// The output is the input.
    OutputIsInput(PathBuf),
    /// The output exists, and `--replace` was not given.
    OutputExists(PathBuf),
    /// The output can't be written.
    Output {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
}

impl fmt::Display for MigrateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MigrateError::SetWithoutValue(set) => write!(f, "--set {set}: no PATH=VALUE"),
            MigrateError::Faults(faults) => write!(f, "{}\nnothing was written", faults.join("\n")),
            MigrateError::UnusableResult(error) => {
                write!(f, "the counterpart would not start: {error}\nnothing was written")
            }
            MigrateError::OutputIsInput(path) => {
                write!(f, "{}: is the input, which is never written over", path.display())
            }
            MigrateError::OutputExists(path) => {
                write!(f, "{}: is there already; --replace writes it anew", path.display())
            }
            MigrateError::Output { path, error } => {
                write!(f, "{}: cannot be written: {error}", path.display())
            }
        }
    }
}

impl std::error::Error for MigrateError {}

/// Whether the output had to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// It was written.
    Anew,
    /// It had that content already.
    Unchanged,
}

/// Reads a configuration file; a partial one may lack fields.
///
/// # Errors
/// Every fault as `FILE:LINE:COLUMN: FIELD: WHAT`, or that the file can't be read.
pub fn read_configuration(path: &Path, completeness: Completeness) -> Result<Value, Vec<String>> {
    let shown = path.display();
    let bytes = fs::read(path).map_err(|e| vec![format!("{shown}: cannot be read: {e}")])?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let valid = e.utf8_error().valid_up_to();
        let line = e.as_bytes()[..valid].split(|byte| *byte == b'\n').count();
        vec![format!("{shown}:{line}:1: file: not UTF-8 from byte {valid} on")]
    })?;
    config_file::read(&text, completeness)
        .map_err(|faults| faults.iter().map(|fault| format!("{shown}:{fault}")).collect())
}

/// Does what the command line says. Nothing is written unless all of it can be.
///
/// # Errors
/// See [`MigrateError`].
pub fn run(arguments: &Migrate) -> Result<ExitCode, MigrateError> {
    let (old, shapes) = read_input(arguments)?;
    let Migrated { config: new, losses } = config_migration::migrate(&old, &shapes);
    let text = format!("{new:#}\n");
    config::read(text.as_bytes()).map_err(MigrateError::UnusableResult)?;
    for loss in &losses {
        println!("{}: {}: {}", arguments.old.display(), loss.field, loss.why);
    }
    let count = format!("{} not carried over", losses.len());
    let out = arguments.out.display();
    if arguments.dry_run {
        println!("{out}: would be written ({} bytes), {count}; nothing was changed", text.len());
    } else {
        match write(&arguments.old, &arguments.out, text.as_bytes(), arguments.replace)? {
            Written::Anew => println!("{out}: written ({} bytes), {count}", text.len()),
            Written::Unchanged => println!("{out}: is that already, {count}"),
        }
    }
    Ok(if losses.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(WITH_LOSSES) })
}

/// Reads the old configuration, and the shapes to lay over it in order. All faults are found in one go.
fn read_input(arguments: &Migrate) -> Result<(Value, Vec<Value>), MigrateError> {
    let mut faults = Vec::new();
    let mut read = |path: &Path, completeness| {
        read_configuration(path, completeness).map_err(|found| faults.extend(found)).unwrap_or_default()
    };
    let old = read(&arguments.old, Completeness::Complete);
    let mut shapes: Vec<Value> =
        arguments.shape.iter().map(|path| read(path, Completeness::Partial)).collect();
    for set in &arguments.set {
        let (shape, found) = read_set(set)?;
        faults.extend(found);
        shapes.push(shape);
    }
    if faults.is_empty() { Ok((old, shapes)) } else { Err(MigrateError::Faults(faults)) }
}

/// Reads a `--set PATH=VALUE` as a shape with that one field, and its faults.
fn read_set(set: &str) -> Result<(Value, Vec<String>), MigrateError> {
    let (path, value) = set.split_once('=').ok_or_else(|| MigrateError::SetWithoutValue(set.to_string()))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
    let shape = path.rsplit('.').fold(value, |value, field| json!({ field: value }));
    let faults = config_file::read(&shape.to_string(), Completeness::Partial).err().unwrap_or_default();
    let faults = faults.into_iter().map(|fault| {
        // Line and column are of a text that the user has never seen.
        format!("--set {set}: {}", fault.what)
    });
    let faults = faults.collect();
    Ok((shape, faults))
}

/// Writes a file completely or not at all.
fn write(input: &Path, out: &Path, bytes: &[u8], replace: bool) -> Result<Written, MigrateError> {
    if let Ok(existing) = fs::canonicalize(out) {
        if fs::canonicalize(input).is_ok_and(|input| input == existing) {
            return Err(MigrateError::OutputIsInput(out.to_path_buf()));
        } else if fs::read(out).is_ok_and(|content| content == bytes) {
            return Ok(Written::Unchanged);
        } else if !replace {
            return Err(MigrateError::OutputExists(out.to_path_buf()));
        }
    }
    write_atomically(input, out, bytes, replace)
        .map_err(|error| MigrateError::Output { path: out.to_path_buf(), error })?;
    Ok(Written::Anew)
}

/// Writes a temporary file with the input's permissions, and renames it to the output.
fn write_atomically(input: &Path, out: &Path, bytes: &[u8], replace: bool) -> io::Result<()> {
    let folder = out.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    // A temporary file is its owner's alone; who could read the old one is to read the new one.
    file.as_file().set_permissions(fs::metadata(input)?.permissions())?;
    file.write_all(bytes)?;
    file.as_file().sync_all()?;
    // Without leave to replace, a file that came meanwhile stays.
    let persisted = if replace { file.persist(out) } else { file.persist_noclobber(out) };
    persisted.map_err(|e| e.error)?;
    File::open(folder)?.sync_all()
}
