//! The configuration that a gateway reads at its start.

use crate::protocol::feed::{self, News};
use deckproxy_settings::Conf;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// All that a gateway is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the control feed is.
    pub feed: Option<SocketAddr>,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory it may hold, MB.
    pub memory: f64,
    /// The settings.
    pub conf: Conf,
    /// The number of the last event known, and the events.
    pub known: (u64, Vec<(u64, News)>),
}

/// Reads the configuration; the error names the field.
pub fn read(text: &[u8]) -> Result<Config, String> {
    let root: Value =
        serde_json::from_slice(text).map_err(|e| format!("the configuration is no JSON: {e}"))?;
    let string = |name: &str| root[name].as_str().ok_or(format!("configuration field {name}: no text"));
    let address = |name: &str| -> Result<SocketAddr, String> {
        let text = string(name)?;
        text.parse().map_err(|_| format!("configuration field {name}: {text:?} is no address"))
    };
    let settings = root.get("settings").filter(|s| s.is_object());
    let mut pairs = BTreeMap::new();
    flatten(String::new(), settings.ok_or("configuration field settings: no object")?, &mut pairs);
    let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str()));
    let conf = deckproxy_settings::read_pairs(pairs).map_err(|e| format!("configuration: {e}"))?;
    let events = root["known"]["events"].as_array().map_or(&[][..], Vec::as_slice);
    let events = events.iter().map(feed::event).collect::<Result<Vec<_>, _>>();
    let events = events.map_err(|e| format!("configuration field known: {e}"))?;
    let last = root["known"]["n"].as_u64().or(events.last().map(|e| e.0)).unwrap_or(0);
    let limit = |name: &str, usual: f64| match root["limits"].get(name) {
        None => Ok(usual),
        Some(v) => {
            v.as_f64().filter(|x| *x > 0.0).ok_or(format!("configuration field limits.{name}: no number"))
        }
    };
    let seed = match &root["seed"] {
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        other => other.as_u64(),
    };
    Ok(Config {
        name: root["name"].as_str().unwrap_or_default().to_string(),
        listen: address("listen")?,
        feed: if root["feed"].is_null() { None } else { Some(address("feed")?) },
        seed: seed.ok_or("configuration field seed: no number")?,
        sockets: limit("sockets", 1024.0)? as usize,
        memory: limit("memory_mb", 192.0)?,
        conf,
        known: (last, events),
    })
}

/// Writes an object as pairs of path and value, as the settings' text has them: a list of plain values joined
/// with commas, a list of objects under its places with their count.
fn flatten(path: String, value: &Value, out: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(below(name), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(below(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            out.insert(path, items.join(","));
        }
        other => {
            out.insert(path, plain(other));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        Value::Null => String::new(),
        Value::Number(n) => number(&n.to_string()),
        other => other.to_string(),
    }
}

/// A number as the settings' text has it: whole ones may be written with a fraction of zero.
pub(super) fn number(text: &str) -> String {
    match text.parse::<f64>() {
        Ok(x) if x.fract() == 0.0 && x.abs() < 1e15 => format!("{x:.0}"),
        _ => text.to_string(),
    }
}
