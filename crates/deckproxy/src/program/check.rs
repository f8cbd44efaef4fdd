//! `deckproxy check`: whether operator files and configurations can be used.

use crate::program::error::ProgramError;
use crate::program::files::{self, FileError};
use crate::program::migrate;
use crate::protocol::config_file::Completeness;
use deckproxy_operator::Operator;
use std::path::{Path, PathBuf};

/// Checks each file by itself and, if all can be used, the operator files together. Writes each fault to standard
/// error.
///
/// # Errors
/// There were faults.
pub fn run(paths: &[PathBuf]) -> Result<(), ProgramError> {
    let mut faults = Vec::new();
    let mut operators = Vec::new();
    for path in paths {
        if is_configuration(path) {
            faults
                .extend(migrate::read_configuration(path, Completeness::Complete).err().unwrap_or_default());
            continue;
        }
        match files::read_operator(path) {
            Ok(operator) => operators.push((path, operator)),
            Err(FileError::OperatorFile(found)) => faults.extend(found),
            Err(error) => faults.push(error.to_string()),
        }
    }
    if faults.is_empty() {
        faults = check_together(&operators);
    }
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() { Ok(()) } else { Err(ProgramError::FaultsFound(faults.len())) }
}

fn is_configuration(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension.eq_ignore_ascii_case("json"))
}

/// Faults between the files of several sites, such as routes that go round in a circle.
fn check_together(operators: &[(&PathBuf, Operator)]) -> Vec<String> {
    let files: Vec<Operator> = operators.iter().map(|(_, operator)| operator.clone()).collect();
    let faults = deckproxy_operator::check_together(&files);
    faults.into_iter().map(|(index, what)| format!("{}: {what}", operators[index].0.display())).collect()
}
