//! The variants of an experiment, and the option `--sweep` that multiplies them by the values of a field.

use deckproxy_model::experiment::Variant;
use deckproxy_model::scenario::{InvalidField, Scenario};
use thiserror::Error;

/// Why a text is not a sweep.
#[derive(Debug, Error)]
pub enum SweepError {
    /// There is no `=` in it.
    #[error("FIELD=VALUES is wanted")]
    NoValues,
    /// A scenario has no field of this name.
    #[error("there is no field {0}")]
    UnknownField(String),
    /// A value is not JSON.
    #[error("{0:?} is no value")]
    NotJson(String),
    /// A value has another type than the field.
    #[error("{field}={value}: {source}")]
    WrongType {
        /// The field that is swept.
        field: String,
        /// Its value as given.
        value: String,
        /// What the JSON library said.
        source: serde_json::Error,
    },
    /// The scenario cannot be run with a value.
    #[error("{0}")]
    OutOfRange(InvalidField),
    /// The scenario cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The experiment's variants, each once for each value that is swept.
///
/// # Errors
///
/// The sweep is not `FIELD=VALUES`, there is no such field, or a value does not fit it.
pub fn variants(variants: &[Variant], sweep: Option<&str>) -> Result<Vec<Variant>, SweepError> {
    let Some(sweep) = sweep else { return Ok(variants.to_vec()) };
    let (field, values) = sweep.split_once('=').ok_or(SweepError::NoValues)?;
    let mut swept = Vec::new();
    for Variant { name, scenario } in variants {
        for value in values.split(',') {
            let scenario = with_field(scenario, field, value)?;
            swept.push(Variant { name: format!("{name} {field}={value}"), scenario });
        }
    }
    Ok(swept)
}

/// A scenario with another value in one field, given as JSON.
fn with_field(scenario: &Scenario, field: &str, value: &str) -> Result<Scenario, SweepError> {
    let mut json = serde_json::to_value(scenario)?;
    let pointer = format!("/{}", field.replace('.', "/"));
    let place = json.pointer_mut(&pointer).ok_or_else(|| SweepError::UnknownField(field.to_string()))?;
    *place = serde_json::from_str(value).map_err(|_| SweepError::NotJson(value.to_string()))?;
    let scenario: Scenario = serde_json::from_value(json).map_err(|source| SweepError::WrongType {
        field: field.to_string(),
        value: value.to_string(),
        source,
    })?;
    match scenario.validate().into_iter().next() {
        Some(invalid) => Err(SweepError::OutOfRange(invalid)),
        None => Ok(scenario),
    }
}
