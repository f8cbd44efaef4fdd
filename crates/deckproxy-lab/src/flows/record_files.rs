//! The folder of stored records: a file for each hour, a JSON object a line.

use super::record::Record;
use crate::error::LabError;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a line is not a record.
#[derive(Debug, Error)]
enum LineError {
    #[error("not UTF-8")]
    NotUtf8,
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

/// The name of the file of an hour, counted from 1970. Names sort by time.
pub fn file_name(hour: u64) -> String {
    format!("flows-{hour:08}.jsonl")
}

/// The files of a folder in the order of time.
///
/// # Errors
///
/// The folder cannot be read.
pub fn list(folder: &Path) -> Result<Vec<PathBuf>, LabError> {
    let entries = fs::read_dir(folder).map_err(LabError::file(folder))?;
    let mut files: Vec<PathBuf> =
        entries.filter_map(|entry| Some(entry.ok()?.path())).filter(|path| is_record_file(path)).collect();
    files.sort();
    Ok(files)
}

fn is_record_file(path: &Path) -> bool {
    let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
    name.starts_with("flows-") && path.extension().is_some_and(|extension| extension == "jsonl")
}

/// Hands all records of a folder to `take`, and gives the number of lines that are not records. These are skipped, as the
/// last one may be half written; the first of each file is printed with its place.
///
/// # Errors
///
/// The folder or a file cannot be read.
pub fn read_all(folder: &Path, mut take: impl FnMut(Record)) -> Result<usize, LabError> {
    let mut invalid = 0;
    for path in list(folder)? {
        invalid += read_file(&path, &mut take).map_err(LabError::file(&path))?;
    }
    Ok(invalid)
}

/// The same of one file.
fn read_file(path: &Path, take: &mut impl FnMut(Record)) -> io::Result<usize> {
    let mut invalid = 0;
    for (index, line) in BufReader::new(File::open(path)?).lines().enumerate() {
        match parse(line)? {
            Ok(record) => take(record),
            Err(error) => {
                if invalid == 0 {
                    eprintln!("{}:{}: not a record: {error}", path.display(), index + 1);
                }
                invalid += 1;
            }
        }
    }
    Ok(invalid)
}

/// The record of a line. The outer error is one of the file, after which nothing more can be read.
fn parse(line: io::Result<String>) -> io::Result<Result<Record, LineError>> {
    match line {
        Ok(line) => Ok(serde_json::from_str(&line).map_err(LineError::from)),
        Err(error) if error.kind() == io::ErrorKind::InvalidData => Ok(Err(LineError::NotUtf8)),
        Err(error) => Err(error),
    }
}
