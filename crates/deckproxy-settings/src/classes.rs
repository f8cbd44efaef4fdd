//! The classes of the settings.

use crate::error::SettingsError;
use crate::values::Values;
use deckproxy_control::interface::{Class, Group, Idempotency};

/// A class and its name.
pub(crate) struct NamedClass {
    pub(crate) name: String,
    pub(crate) class: Class,
}

/// Settings that are lists of one value for each class, by position.
struct ClassLists {
    freshness_lifetimes: Vec<f64>,
    stale_lifetimes: Vec<f64>,
    stale_weight_shares: Vec<f64>,
    writes: Vec<bool>,
}

/// Reads all classes.
pub(crate) fn read_classes(values: &Values) -> Result<Vec<NamedClass>, SettingsError> {
    let count: usize = values.parsed("services.count")?.unwrap_or(0);
    let lists = ClassLists {
        freshness_lifetimes: values.list("familyInfo.maxAgeMs")?,
        stale_lifetimes: values.list("familyInfo.usableAfterMs")?,
        stale_weight_shares: values.list("familyInfo.agedWorth")?,
        writes: values.list("familyInfo.goesThrough")?,
    };
    (0..count).map(|position| read_class(values, &lists, position)).collect()
}

/// Reads the class at a position.
fn read_class(values: &Values, lists: &ClassLists, position: usize) -> Result<NamedClass, SettingsError> {
    let key = |field: &str| format!("services.{position}.{field}");
    let at_position = |list: &[f64]| list.get(position).copied().unwrap_or(0.0);
    let latency_objective = values.number(&key("aimMs"), 0.0)?;
    let name = values.text(&key("name")).unwrap_or_default().to_string();
    let class = Class {
        latency_objective,
        latency_objective_stretch: values.number(&key("aimStretch"), 0.0)?,
        deadline: values.number(&key("deadlineMs"), latency_objective)?,
        priority_weight: values.number(&key("importance"), 1.0)?,
        late_weight_share: values.number(&key("lateShare"), 0.0)?,
        idempotency: read_idempotency(values, &key("effect"))?,
        group: read_group(values, &key("group"))?,
        dedup_window: values.number(&key("dedupWindowMs"), 0.0)?,
        freshness_lifetime: at_position(&lists.freshness_lifetimes),
        stale_lifetime: at_position(&lists.stale_lifetimes),
        stale_weight_share: at_position(&lists.stale_weight_shares),
        write: lists.writes.get(position).copied().unwrap_or(false),
        stream: values.flag(&key("stream"))?,
    };
    Ok(NamedClass { name, class })
}

/// Reads whether requests of the class are idempotent. The default is not idempotent, so that they are not retried
/// unless the settings allow it.
fn read_idempotency(values: &Values, key: &str) -> Result<Idempotency, SettingsError> {
    values.word(
        key,
        "effect",
        Idempotency::NotIdempotent,
        &[
            ("retryable", Idempotency::Idempotent),
            ("dedup", Idempotency::Keyed),
            ("fragile", Idempotency::NotIdempotent),
        ],
    )
}

/// Reads which members may serve the class; all by default.
fn read_group(values: &Values, key: &str) -> Result<Group, SettingsError> {
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
    values.word(key, "group", Group::All, &groups)
}
