//! `deckproxy migrate`: writes the counterpart of a configuration file for the shape of another deployment.

use crate::program::cli::Migrate;
use crate::program::file_fault::{FileFault, lines};
use crate::protocol::config::{self, ConfigError};
use crate::protocol::config_file::{self, Completeness, Fault};
use crate::protocol::config_migration::{self, Migrated};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// The exit code where something could not be carried over. 0 is clean, 1 failed, 2 a command line that can't be
/// read.
pub const WITH_LOSSES: u8 = 3;

/// Why nothing was written.
#[derive(Debug, Error)]
pub enum MigrateError {
    /// An argument of `--set` has no `=`.
    #[error("--set {0}: no PATH=VALUE")]
    SetWithoutValue(String),
    /// Files or `--set` arguments have faults.
    #[error("{}\nnothing was written", lines(.0))]
    Faults(Vec<InputFault>),
    /// The counterpart is no configuration that a gateway starts with.
    #[error("the counterpart would not start: {0}\nnothing was written")]
    UnusableResult(ConfigError),
    /// The output is the input.
    #[error("{}: is the input, which is never written over", .0.display())]
    OutputIsInput(PathBuf),
    /// The output exists, and `--replace` was not given.
    #[error("{}: is there already; --replace writes it anew", .0.display())]
    OutputExists(PathBuf),
    /// The output can't be written.
    #[error("{}: cannot be written: {error}", path.display())]
    Output {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
}

/// A fault of what the command line names.
#[derive(Debug, Error)]
pub enum InputFault {
    /// Of a file.
    #[error(transparent)]
    File(#[from] FileFault),
    /// Of a `--set PATH=VALUE`. Line and column are left out: they are of a text that the user has never seen.
    #[error("--set {argument}: {}", fault.what)]
    Set {
        /// The argument.
        argument: String,
        /// The fault.
        fault: Fault,
    },
}

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
/// The file can't be read, or has faults: all of them are listed.
pub fn read_configuration(path: &Path, completeness: Completeness) -> Result<Value, Vec<FileFault>> {
    let path_of_fault = || path.to_path_buf();
    let bytes =
        fs::read(path).map_err(|error| vec![FileFault::Unreadable { path: path_of_fault(), error }])?;
    let text =
        String::from_utf8(bytes).map_err(|error| vec![FileFault::not_utf8(path_of_fault(), &error)])?;
    config_file::read(&text, completeness).map_err(|faults| {
        let located =
            faults.into_iter().map(|fault| FileFault::Configuration { path: path_of_fault(), fault });
        located.collect()
    })
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
        let read = read_configuration(path, completeness);
        read.map_err(|found| faults.extend(found.into_iter().map(InputFault::File))).unwrap_or_default()
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
fn read_set(argument: &str) -> Result<(Value, Vec<InputFault>), MigrateError> {
    let (path, value) =
        argument.split_once('=').ok_or_else(|| MigrateError::SetWithoutValue(argument.to_string()))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
    let shape = path.rsplit('.').fold(value, |value, field| json!({ field: value }));
    let faults = config_file::read(&shape.to_string(), Completeness::Partial).err().unwrap_or_default();
    let faults = faults.into_iter().map(|fault| InputFault::Set { argument: argument.to_string(), fault });
    Ok((shape, faults.collect()))
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
