//! The variants of an experiment, and the option `--sweep` that multiplies them by the values of a field.

use crate::error::LabError;
use deckproxy_model::experiment::Variant;
use deckproxy_model::scenario::Scenario;

/// The experiment's variants, each once for each value that is swept.
///
/// # Errors
///
/// The sweep is not `FIELD=VALUES`, there is no such field, or a value does not fit it.
pub fn variants(variants: &[Variant], sweep: Option<&str>) -> Result<Vec<Variant>, LabError> {
    let Some(sweep) = sweep else { return Ok(variants.to_vec()) };
    let (field, values) = sweep.split_once('=').ok_or_else(|| fault("FIELD=VALUES is wanted"))?;
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
fn with_field(scenario: &Scenario, field: &str, value: &str) -> Result<Scenario, LabError> {
    let mut json = serde_json::to_value(scenario).map_err(fault)?;
    let pointer = format!("/{}", field.replace('.', "/"));
    let place = json.pointer_mut(&pointer).ok_or_else(|| fault(format!("there is no field {field}")))?;
    *place = serde_json::from_str(value).map_err(|_| fault(format!("{value:?} is no value")))?;
    let scenario: Scenario =
        serde_json::from_value(json).map_err(|e| fault(format!("{field}={value}: {e}")))?;
    match scenario.validate().first() {
        Some(error) => Err(fault(error)),
        None => Ok(scenario),
    }
}

fn fault(what: impl std::fmt::Display) -> LabError {
    LabError::argument("--sweep", what)
}
