//! The operator file: protobuf text format of `proto/operator.proto`, read and checked as a whole.
//!
//! All faults are reported at once, each with line, column and the field's path. The text is parsed by
//! `prost-reflect`, single fields are checked by `garde`, routes by `deckproxy-sites`.
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
pub use sites::check_together;
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

/// Reads a file's bytes.
///
/// # Errors
///
/// Every fault of the file, in the order of the text.
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

/// All faults of a decoded file: of single fields, and of entries beside each other.
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

/// The outermost message of the schema that this build has compiled in.
fn descriptor() -> MessageDescriptor {
    let bytes: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
    // The bytes are this build's own; a test reads the example with them.
    let pool = DescriptorPool::decode(bytes).expect("the schema that was compiled in");
    pool.get_message_by_name("deckproxy.operator.Operator").expect("the schema's outermost message")
}
