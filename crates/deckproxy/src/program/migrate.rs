//! `deckproxy migrate`: converts a configuration file to the shape of another deployment.

use crate::program::cli::Migrate;
use crate::program::file_fault::{FileFault, join_lines};
use crate::protocol::config::{self, ConfigError};
use crate::protocol::config_file::{self, Completeness, Fault};
use crate::protocol::config_migration::{self, Migrated};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// The exit code if a field could not be carried over. 0 stands for success, 1 for failure, 2 for an invalid command
/// line.
pub const WITH_LOSSES: u8 = 3;

/// Why nothing was written.
#[derive(Debug, Error)]
pub enum MigrateError {
    /// An argument of `--set` has no `=`.
    #[error("--set {0}: no PATH=VALUE")]
    SetWithoutValue(String),
    /// Files or `--set` arguments have faults.
    #[error("{}\nnothing was written", join_lines(.0))]
    Faults(Vec<InputFault>),
    /// A gateway could not start with the result.
    #[error("a gateway could not start with the result: {0}\nnothing was written")]
    UnusableResult(ConfigError),
    /// The output is the same file as the input.
    #[error("{}: is the input file, which is never overwritten", .0.display())]
    OutputIsInput(PathBuf),
    /// The output exists, and `--replace` was not given.
    #[error("{}: already exists; use --replace to overwrite it", .0.display())]
    OutputExists(PathBuf),
    /// The output can't be written.
    #[error("{}: cannot be written: {error}", path.display())]
    Output {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
}

/// A fault of an input file or a `--set` argument.
#[derive(Debug, Error)]
pub enum InputFault {
    /// A fault of a file.
    #[error(transparent)]
    File(#[from] FileFault),
    /// A fault of a `--set PATH=VALUE`. Its line and column are omitted, as they refer to generated JSON.
    #[error("--set {argument}: {}", fault.what)]
    Set {
        /// The argument.
        argument: String,
        /// The fault.
        fault: Fault,
    },
}

/// Whether the output was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    /// It was written.
    Written,
    /// It already had the same content.
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

/// Runs `migrate`. Writes the complete output or nothing.
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
            WriteOutcome::Written => println!("{out}: written ({} bytes), {count}", text.len()),
            WriteOutcome::Unchanged => println!("{out}: already has this content, {count}"),
        }
    }
    Ok(if losses.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(WITH_LOSSES) })
}

/// Reads the old configuration, and the shapes to merge over it in order. Reports the faults of all files and
/// arguments together, except that an argument without `=` fails at once.
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

/// Converts a `--set PATH=VALUE` to a shape with a single field, and returns it with its faults.
fn read_set(argument: &str) -> Result<(Value, Vec<InputFault>), MigrateError> {
    let (path, value) =
        argument.split_once('=').ok_or_else(|| MigrateError::SetWithoutValue(argument.to_string()))?;
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_string()));
    let shape = path.rsplit('.').fold(value, |value, field| json!({ field: value }));
    let faults = config_file::read(&shape.to_string(), Completeness::Partial).err().unwrap_or_default();
    let faults = faults.into_iter().map(|fault| InputFault::Set { argument: argument.to_string(), fault });
    Ok((shape, faults.collect()))
}

/// Writes the output completely or not at all.
fn write(input: &Path, out: &Path, bytes: &[u8], replace: bool) -> Result<WriteOutcome, MigrateError> {
    if let Ok(existing) = fs::canonicalize(out) {
        if fs::canonicalize(input).is_ok_and(|input| input == existing) {
            return Err(MigrateError::OutputIsInput(out.to_path_buf()));
        } else if fs::read(out).is_ok_and(|content| content == bytes) {
            return Ok(WriteOutcome::Unchanged);
        } else if !replace {
            return Err(MigrateError::OutputExists(out.to_path_buf()));
        }
    }
    write_atomically(input, out, bytes, replace)
        .map_err(|error| MigrateError::Output { path: out.to_path_buf(), error })?;
    Ok(WriteOutcome::Written)
}

/// Writes a temporary file with the input's permissions and renames it to the output.
fn write_atomically(input: &Path, out: &Path, bytes: &[u8], replace: bool) -> io::Result<()> {
    let folder = out.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    // Temporary files are private to their owner; the output must be readable by everyone who can read the input.
    file.as_file().set_permissions(fs::metadata(input)?.permissions())?;
    file.write_all(bytes)?;
    file.as_file().sync_all()?;
    // Without `--replace`, a file that was created meanwhile is kept.
    let persisted = if replace { file.persist(out) } else { file.persist_noclobber(out) };
    persisted.map_err(|e| e.error)?;
    File::open(folder)?.sync_all()
}
