//! Migration of a configuration to the shape of another deployment. No I/O.

use crate::protocol::config_file::{LIMITS, join};
use deckproxy_settings::keys;
use serde_json::{Map, Value};

/// The top-level fields that are read.
const FIELDS: [&str; 9] =
    ["name", "listen", "seed", "limits", "feed", "flow_bytes_per_s", "link_bytes_per_s", "known", "settings"];
/// Settings in `familyInfo` that are lists with a value for each class.
const BY_CLASS: [&str; 4] = ["maxAgeMs", "usableAfterMs", "agedWorth", "goesThrough"];
/// Settings in `familyInfo` that are lists with a value for each zone.
const BY_ZONE: [&str; 2] = ["zoneBalancers", "inletKbPerS"];
/// Settings whose value is a position in a list.
const POSITIONS: [PositionSetting; 3] = [
    PositionSetting { group: Some("familyInfo"), field: "shieldKind", list: "machineTypes" },
    PositionSetting { group: Some("familyInfo"), field: "sourceKind", list: "machineTypes" },
    PositionSetting { group: None, field: "locality", list: "zones" },
];

/// A setting whose value is a position in a list.
struct PositionSetting {
    /// The group of settings that contains it.
    group: Option<&'static str>,
    /// The name of the setting.
    field: &'static str,
    /// The name of the list.
    list: &'static str,
}

/// A field that was removed by a migration, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Path of the field.
    pub field: String,
    /// Why it was removed.
    pub why: String,
}

/// A configuration in another shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Migrated {
    /// The configuration.
    pub config: Value,
    /// The fields that were removed.
    pub losses: Vec<Loss>,
}

/// Migrates a configuration to another shape: the parts of the shape are merged into it in order, field by field
/// (RFC 7386, so `null` removes a field); fields that don't fit the result are removed and reported.
pub fn migrate(old: &Value, shape: &[Value]) -> Migrated {
    let mut migration = Migration { config: old.clone(), losses: Vec::new() };
    migration.remove_unread();
    for part in shape {
        json_patch::merge(&mut migration.config, part);
    }
    let zones = migration.names("zones");
    let kinds = migration.names("machineTypes");
    let classes = migration.config["settings"].get("services").and_then(Value::as_array).map(Vec::len);
    migration.remove_lists_of_wrong_length(&BY_CLASS, classes, "classes");
    migration.remove_lists_of_wrong_length(&BY_ZONE, zones.as_ref().map(Vec::len), "zones");
    for position in &POSITIONS {
        migration.remove_position_out_of_range(position);
    }
    migration.remove_members_with_unknown_names(zones.as_deref(), kinds.as_deref());
    Migrated { config: migration.config, losses: migration.losses }
}

/// A migration in progress.
struct Migration {
    config: Value,
    losses: Vec<Loss>,
}

impl Migration {
    /// The names in a list of the settings.
    fn names(&self, list: &str) -> Option<Vec<String>> {
        let names = self.config["settings"].get(list)?.as_array()?;
        Some(names.iter().filter_map(|name| name.as_str().map(str::to_string)).collect())
    }

    fn add_loss(&mut self, field: String, why: String) {
        self.losses.push(Loss { field, why });
    }

    /// Removes the fields that this program does not read.
    fn remove_unread(&mut self) {
        let Migration { config, losses } = self;
        if let Some(root) = config.as_object_mut() {
            retain(root, "", losses, |name| FIELDS.contains(&name));
        }
        if let Some(limits) = config.get_mut("limits").and_then(Value::as_object_mut) {
            retain(limits, "limits", losses, |name| LIMITS.contains(&name));
        }
        if let Some(settings) = config.get_mut("settings").and_then(Value::as_object_mut) {
            retain(settings, "settings", losses, |name| is_key(name) || is_group(name));
            for (name, value) in settings.iter_mut() {
                remove_unread_in_setting(name, value, losses);
            }
        }
    }

    /// Removes lists by class or zone whose length is not the number of classes or zones, as happens if
    /// the shape changes that number and does not replace the lists.
    fn remove_lists_of_wrong_length(&mut self, lists: &[&str], count: Option<usize>, of: &str) {
        for list in lists {
            let family = &self.config["settings"]["familyInfo"];
            let length = family.get(*list).and_then(Value::as_array).map(Vec::len);
            let (Some(length), Some(count)) = (length, count) else { continue };
            if length != count {
                remove(&mut self.config["settings"]["familyInfo"], list);
                let why = format!("has {length} values for {count} {of}; give it in the shape");
                self.add_loss(format!("settings.familyInfo.{list}"), why);
            }
        }
    }

    /// Removes a position that is out of the range of its list.
    fn remove_position_out_of_range(&mut self, setting: &PositionSetting) {
        let PositionSetting { group, field, list } = setting;
        let length = self.names(list).map(|names| i64::try_from(names.len()).unwrap_or(i64::MAX));
        let settings = &mut self.config["settings"];
        let object = match group {
            Some(group) => &mut settings[*group],
            None => settings,
        };
        let position = object.get(*field).and_then(Value::as_f64).map(|position| position as i64);
        let (Some(position), Some(length)) = (position, length) else { return };
        if position >= length {
            remove(object, field);
            let path = group.map_or(String::new(), |group| format!("{group}."));
            let why = format!("place {position} of {length} {list}; give it in the shape");
            self.add_loss(format!("settings.{path}{field}"), why);
        }
    }

    /// Removes members whose zone or kind the new shape does not have.
    fn remove_members_with_unknown_names(&mut self, zones: Option<&[String]>, kinds: Option<&[String]>) {
        let Migration { config, losses } = self;
        let Some(events) = config["known"].get_mut("events").and_then(Value::as_array_mut) else { return };
        for (event_position, event) in events.iter_mut().enumerate() {
            let list = event.get_mut("members").and_then(|list| list.get_mut("members"));
            let Some(members) = list.and_then(Value::as_array_mut) else { continue };
            let mut position = 0;
            members.retain(|member| {
                let why = unknown_name(member, "locality", zones, "zones")
                    .or_else(|| unknown_name(member, "flavor", kinds, "machineTypes"));
                let field = format!("known.events.{event_position}.members.members.{position}");
                position += 1;
                let keep = why.is_none();
                losses.extend(why.map(|why| Loss { field, why }));
                keep
            });
        }
    }
}

/// Why a member is removed whose field names no entry of a list; `None` if it names one.
fn unknown_name(member: &Value, field: &str, names: Option<&[String]>, list: &str) -> Option<String> {
    let name = member[field].as_str().unwrap_or_default();
    let is_unknown = names.is_some_and(|names| !names.iter().any(|other| other == name));
    is_unknown.then(|| format!("{field} {name:?} is none of the {list}"))
}

/// Whether a path is a key of the settings.
fn is_key(path: &str) -> bool {
    keys::KEYS.iter().any(|(key, _)| *key == path)
}

/// Whether there are keys of the settings below a path.
fn is_group(path: &str) -> bool {
    keys::KEYS.iter().any(|(key, _)| key.starts_with(&format!("{path}.")))
}

/// Removes the unread fields nested in a setting.
fn remove_unread_in_setting(name: &str, value: &mut Value, losses: &mut Vec<Loss>) {
    if let Some(fields) = value.as_object_mut().filter(|_| !is_key(name)) {
        retain(fields, &format!("settings.{name}"), losses, |field| is_key(&join(name, field)));
    }
    for (position, item) in value.as_array_mut().into_iter().flatten().enumerate() {
        if let Some(fields) = item.as_object_mut() {
            let is_read = |field: &str| keys::format_of(&format!("{name}.{position}.{field}")).is_some();
            retain(fields, &format!("settings.{name}.{position}"), losses, is_read);
        }
    }
}

/// Removes the fields for which `keep` returns false, and reports them.
fn retain(fields: &mut Map<String, Value>, path: &str, losses: &mut Vec<Loss>, keep: impl Fn(&str) -> bool) {
    let removed: Vec<String> = fields.keys().filter(|name| !keep(name)).cloned().collect();
    for name in removed {
        fields.remove(&name);
        losses.push(Loss { field: join(path, &name), why: "not read by this program".to_string() });
    }
}

fn remove(object: &mut Value, field: &str) {
    if let Some(fields) = object.as_object_mut() {
        fields.remove(field);
    }
}
