//! Reads and validates the operator file, which is in the protobuf text format of `proto/operator.proto`.
//!
//! All errors are reported at once, each with its line, its column and the field's path. The text is parsed by
//! `prost-reflect`, single fields are validated by `garde`, and routes by `deckproxy-sites`.
#![forbid(unsafe_code)]

pub mod defaults;
pub mod field_positions;
mod finding;
mod fleet;
mod fleet_settings_error;
mod flows;
mod platform;
mod recovery;
pub mod rules;
mod sites;
pub use fleet_settings_error::FleetSettingsError;
pub use platform::{PlatformClass, PlatformSettings};
pub use sites::check_routes_between_sites;
pub mod text_format;
pub use text_format::{FileError, MAX_FILE_SIZE};

#[allow(clippy::all, clippy::pedantic, missing_docs)]
mod schema {
    include!(concat!(env!("OUT_DIR"), "/deckproxy.operator.rs"));
}
pub use schema::*;

use finding::Finding;
use garde::Validate;
use prost::Message as _;
use prost_reflect::{DescriptorPool, MessageDescriptor};

/// Parses and validates the bytes of a file.
///
/// # Errors
///
/// All errors of the first failing step, in the order of the text. The steps check the syntax, then the fields and
/// their types, then the values and the relations between them.
pub fn read(bytes: &[u8]) -> Result<Operator, Vec<FileError>> {
    let file = text_format::read(&descriptor(), bytes)?;
    let operator = Operator::decode(&*file.encoded).map_err(|e| vec![file.error("", &e.to_string())])?;
    let findings = check(&operator);
    if findings.is_empty() {
        return Ok(operator);
    }
    let mut errors: Vec<FileError> =
        findings.iter().map(|finding| file.error(&finding.path, &finding.message)).collect();
    errors.sort();
    errors.dedup();
    Err(errors)
}

/// Validates a decoded file: single fields, and relations between fields.
fn check(operator: &Operator) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Err(report) = operator.validate() {
        findings.extend(report.iter().map(|(path, e)| Finding::new(path.to_string(), e.to_string())));
    }
    findings.extend(sites::check(operator));
    findings.extend(flows::check(operator));
    findings.extend(recovery::check(operator));
    findings.extend(fleet::check(operator));
    findings
}

/// The root message of the schema that was compiled in.
fn descriptor() -> MessageDescriptor {
    let bytes: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
    // The bytes were written by the build script, so they are valid; a test parses the example with them.
    let pool = DescriptorPool::decode(bytes).expect("the schema that was compiled in");
    pool.get_message_by_name("deckproxy.operator.Operator").expect("the schema's outermost message")
}
