//! `deckproxy check`: validates operator files and configurations.

use crate::program::error::ProgramError;
use crate::program::file_fault::FileFault;
use crate::program::{files, migrate};
use crate::protocol::config_file::Completeness;
use deckproxy_operator::Operator;
use deckproxy_sites::routes::ForwardingError;
use std::path::{Path, PathBuf};

/// Checks each file and, if all are valid, the operator files together. Writes each fault to standard error.
///
/// # Errors
/// A file has faults.
pub fn run(paths: &[PathBuf]) -> Result<(), ProgramError> {
    let mut faults = Vec::new();
    let mut operators = Vec::new();
    for path in paths {
        if is_configuration(path) {
            let configuration = migrate::read_configuration(path, Completeness::Complete);
            faults.extend(configuration.err().unwrap_or_default());
            continue;
        }
        match files::read_operator(path) {
            Ok(operator) => operators.push((path, operator)),
            Err(found) => faults.extend(found),
        }
    }
    if faults.is_empty() {
        faults = check_together(&operators);
    }
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() { Ok(()) } else { Err(ProgramError::FaultsFound { count: faults.len() }) }
}

fn is_configuration(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension.eq_ignore_ascii_case("json"))
}

/// Faults across the files of several sites, such as routes that form a loop.
fn check_together(operators: &[(&PathBuf, Operator)]) -> Vec<FileFault> {
    let files: Vec<Operator> = operators.iter().map(|(_, operator)| operator.clone()).collect();
    let errors = deckproxy_operator::check_routes_between_sites(&files);
    let fault =
        |error: ForwardingError| FileFault::Forwarding { path: operators[error.site].0.clone(), error };
    errors.into_iter().map(fault).collect()
}
