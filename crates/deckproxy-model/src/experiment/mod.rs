//! Experiment files: protobuf text format of `proto/experiment.proto`.

mod conversion;

/// Types that are generated from `proto/experiment.proto`; the fields are described there.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
mod schema {
    include!(concat!(env!("OUT_DIR"), "/deckproxy.model.rs"));
}

pub use deckproxy_operator::FileError;

use crate::scenario::{InvalidField, Scenario};
use deckproxy_operator::text_format;
use prost::Message as _;
use prost_reflect::{DescriptorPool, MessageDescriptor};

/// Name of the only variant of an experiment that lists none.
const DEFAULT_VARIANT: &str = "gateway";

/// A scenario that is compared with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Its name, which no other variant of the experiment has.
    pub name: String,
    /// What is run.
    pub scenario: Scenario,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// The question that it is to answer.
    pub question: String,
    /// What is compared, at least one; the others are compared with the first.
    pub variants: Vec<Variant>,
}

/// Parses an experiment file.
///
/// # Errors
///
/// Returns all errors of the file, in the order of its text.
///
/// # Panics
///
/// Never: the schema that is decoded here was compiled into this build.
pub fn read(bytes: &[u8]) -> Result<Experiment, Vec<FileError>> {
    let file = text_format::read(&root_message(), bytes)?;
    let parsed = schema::Experiment::decode(&*file.encoded)
        .map_err(|error| vec![file.error("", &error.to_string())])?;
    let mut errors = Vec::new();
    let base = conversion::scenario(&parsed, &mut errors);
    errors.extend(validation_errors(&base, parsed.faults.len()));
    let variants = variants(&parsed, base, &mut errors);
    if errors.is_empty() {
        return Ok(Experiment { question: parsed.question, variants });
    }
    let mut located: Vec<FileError> =
        errors.iter().map(|error| file.error(&error.path, &error.reason)).collect();
    located.sort();
    Err(located)
}

fn root_message() -> MessageDescriptor {
    let schema: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/experiment.bin"));
    let pool = DescriptorPool::decode(schema).expect("the schema was compiled by the build script");
    pool.get_message_by_name("deckproxy.model.Experiment").expect("the schema has this message")
}

/// What is wrong with a scenario that was converted from a file with `fault_count` faults.
fn validation_errors(scenario: &Scenario, fault_count: usize) -> Vec<InvalidField> {
    let mut errors = scenario.validate();
    if scenario.faults.len() != fault_count {
        // Some faults could not be converted, so the indices of the others are not those of the text.
        errors.retain(|error| !error.path.starts_with("faults["));
    }
    errors
}

fn variants(parsed: &schema::Experiment, base: Scenario, errors: &mut Vec<InvalidField>) -> Vec<Variant> {
    let mut variants: Vec<Variant> = Vec::new();
    for (index, variant) in parsed.variants.iter().enumerate() {
        if variant.name.is_empty() || variants.iter().any(|other| other.name == variant.name) {
            errors.push(InvalidField::new(format!("variants[{index}].name"), "a name of its own is wanted"));
        }
        let scenario = conversion::variant_scenario(variant, &base);
        variants.push(Variant { name: variant.name.clone(), scenario });
    }
    if variants.is_empty() {
        variants.push(Variant { name: DEFAULT_VARIANT.to_string(), scenario: base });
    }
    variants
}
