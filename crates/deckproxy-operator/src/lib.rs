//! The operator file: protobuf text format of `proto/operator.proto`, read and checked as a whole.
//!
//! All faults are told in one go, each with line, column and the field's path. The text is parsed by
//! `prost-reflect`, single fields are checked by `garde`, routes by `deckproxy-sites`.
#![forbid(unsafe_code)]

pub mod defaults;
mod fleet;
mod flows;
mod recovery;
pub mod rules;
mod sites;
pub use fleet::Platform;
pub use sites::check_together;
pub mod source;
pub mod text;
pub use text::{Fault, LARGEST};

#[allow(missing_docs, clippy::doc_markdown)]
mod schema {
    include!(concat!(env!("OUT_DIR"), "/deckproxy.operator.rs"));
}
pub use schema::*;

use garde::Validate;
use prost::Message as _;
use prost_reflect::{DescriptorPool, MessageDescriptor};

/// Reads a file's bytes. The error holds every fault, in the order of the text.
pub fn read(bytes: &[u8]) -> Result<Operator, Vec<Fault>> {
    let file = text::read(&descriptor(), bytes)?;
    let operator = Operator::decode(&*file.encoded).map_err(|e| vec![file.fault("", &e.to_string())])?;
    let mut told = Vec::new();
    if let Err(report) = operator.validate() {
        told.extend(report.iter().map(|(path, e)| (path.to_string(), e.to_string())));
    }
    told.extend(sites::check(&operator));
    told.extend(flows::check(&operator));
    told.extend(recovery::check(&operator));
    told.extend(fleet::check(&operator));
    if told.is_empty() {
        return Ok(operator);
    }
    let mut faults: Vec<Fault> = told.iter().map(|(path, what)| file.fault(path, what)).collect();
    faults.sort();
    faults.dedup();
    Err(faults)
}

fn descriptor() -> MessageDescriptor {
    let bytes: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
    // The bytes are this build's own; a test reads the example with them.
    let pool = DescriptorPool::decode(bytes).expect("the schema that was compiled in");
    pool.get_message_by_name("deckproxy.operator.Operator").expect("the schema's outermost message")
}
