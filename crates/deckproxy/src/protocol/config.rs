//! The configuration that a gateway reads at its start.

use crate::protocol::feed::{self, EventError, KnownEvents};
use deckproxy_settings::InstanceSettings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Limit on the number of descriptors if the configuration sets none.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Limit on the memory in MB if the configuration sets none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Numbers of this magnitude or more are not reformatted.
const LARGEST_INTEGER: f64 = 1e15;

/// The configuration of a gateway.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the control feed.
    pub feed: Option<SocketAddr>,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Limit on the number of its descriptors.
    pub sockets: usize,
    /// Limit on its memory, MB.
    pub memory: f64,
    /// The settings.
    pub settings: InstanceSettings,
    /// The feed's events that the configuration contains.
    pub known: KnownEvents,
}

/// Why a configuration is invalid.
#[derive(Debug)]
pub enum ConfigError {
    /// It is not JSON.
    NotJson(serde_json::Error),
    /// A field's value has the wrong type, or is missing.
    Field {
        /// The field's path.
        field: String,
        /// What is wrong with it, such as `no text`.
        fault: &'static str,
    },
    /// A field is not a socket address.
    NotAnAddress {
        /// The field.
        field: &'static str,
        /// Its text.
        text: String,
    },
    /// The settings are invalid; contains the error message of the settings' reader.
    Settings(String),
    /// An event of the field `known` can't be parsed.
    Known(EventError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NotJson(error) => write!(f, "the configuration is no JSON: {error}"),
            ConfigError::Field { field, fault } => write!(f, "configuration field {field}: {fault}"),
            ConfigError::NotAnAddress { field, text } => {
                write!(f, "configuration field {field}: {text:?} is no address")
            }
            ConfigError::Settings(error) => write!(f, "configuration: {error}"),
            ConfigError::Known(error) => write!(f, "configuration field known: {error}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    fn field(field: &str, fault: &'static str) -> ConfigError {
        ConfigError::Field { field: field.to_string(), fault }
    }
}

/// Reads the configuration.
///
/// # Errors
/// It is not JSON, or a field is missing or has an invalid value; the error names the field.
pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
    let root: Value = serde_json::from_slice(text).map_err(ConfigError::NotJson)?;
    let settings = settings(&root)?;
    let known = known_events(&root["known"])?;
    Ok(Config {
        name: root["name"].as_str().unwrap_or_default().to_string(),
        listen: address(&root, "listen")?,
        feed: if root["feed"].is_null() { None } else { Some(address(&root, "feed")?) },
        seed: seed(&root["seed"]).ok_or_else(|| ConfigError::field("seed", "no number"))?,
        sockets: limit(&root, "sockets", DEFAULT_SOCKETS)? as usize,
        memory: limit(&root, "memory_mb", DEFAULT_MEMORY_MB)?,
        settings,
        known,
    })
}

fn settings(root: &Value) -> Result<InstanceSettings, ConfigError> {
    let settings = root.get("settings").filter(|settings| settings.is_object());
    let settings = settings.ok_or_else(|| ConfigError::field("settings", "no object"))?;
    let mut pairs = BTreeMap::new();
    flatten(String::new(), settings, &mut pairs);
    let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str()));
    deckproxy_settings::read_pairs(pairs).map_err(|error| ConfigError::Settings(error.to_string()))
}

fn known_events(known: &Value) -> Result<KnownEvents, ConfigError> {
    let events = known["events"].as_array().map_or(&[][..], Vec::as_slice);
    let events: Result<Vec<_>, _> = events.iter().map(feed::decode_event).collect();
    let events = events.map_err(ConfigError::Known)?;
    let last = known["n"].as_u64().or(events.last().map(|event| event.number)).unwrap_or(0);
    Ok(KnownEvents { last, events })
}

fn address(root: &Value, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = root[field].as_str().ok_or_else(|| ConfigError::field(field, "no text"))?;
    text.parse().map_err(|_| ConfigError::NotAnAddress { field, text: text.to_string() })
}

/// A limit, which must be above 0 if it is set.
fn limit(root: &Value, name: &str, default: f64) -> Result<f64, ConfigError> {
    let Some(value) = root["limits"].get(name) else { return Ok(default) };
    let number = value.as_f64().filter(|number| *number > 0.0);
    number.ok_or_else(|| ConfigError::field(&format!("limits.{name}"), "no number"))
}

/// The seed: a number, or a text of hex digits.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        other => other.as_u64(),
    }
}

/// Flattens an object into pairs of path and value in the text form of the settings: a list of scalars is joined with
/// commas; the objects of a list are flattened under their positions, and their number is added as `count`.
fn flatten(path: String, value: &Value, out: &mut BTreeMap<String, String>) {
    let child_path = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten(child_path(name), field, out);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.insert(child_path("count"), items.len().to_string());
            for (position, item) in items.iter().enumerate() {
                flatten(child_path(&position.to_string()), item, out);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar).collect();
            out.insert(path, items.join(","));
        }
        other => {
            out.insert(path, scalar(other));
        }
    }
}

/// A scalar in the text form of the settings. Spaces and commas of a string are replaced by underscores.
fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Null => String::new(),
        Value::Number(n) => number(&n.to_string()),
        other => other.to_string(),
    }
}

/// A number in the text form of the settings: an integer with a fraction of zero is written without it.
pub(super) fn number(text: &str) -> String {
    match text.parse::<f64>() {
        Ok(number) if number.fract() == 0.0 && number.abs() < LARGEST_INTEGER => format!("{number:.0}"),
        _ => text.to_string(),
    }
}
