//! Configuration files as operators write them: every fault with its place, and the move of one to the shape of
//! another deployment. No I/O.

use crate::protocol::config;
use deckproxy_settings::keys;
use jsonc_parser::ast::{Object, ObjectPropName, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// The fields beside the settings that are read.
const FIELDS: [&str; 9] =
    ["name", "listen", "seed", "limits", "feed", "flow_bytes_per_s", "link_bytes_per_s", "known", "settings"];
/// The limits beside the settings that are read.
const LIMITS: [&str; 3] = ["cores", "memory_mb", "sockets"];
/// Settings that hold a value for each class, and for each zone.
const BY_CLASS: [&str; 4] = ["maxAgeMs", "usableAfterMs", "agedWorth", "goesThrough"];
const BY_ZONE: [&str; 2] = ["zoneBalancers", "inletKbPerS"];
/// Settings that say how many or which member of a list something is, and the list.
const PLACES: [(&str, &str); 3] = [
    ("familyInfo.shieldKind", "machineTypes"),
    ("familyInfo.sourceKind", "machineTypes"),
    ("locality", "zones"),
];

/// What could not be carried over, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Path of the field.
    pub field: String,
    /// Why it was left out.
    pub why: String,
}

/// Strict JSON: none of the looser forms that some editors allow.
fn strict() -> ParseOptions {
    ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Reads a file's text. The error has every fault as `line:column: field: what`, lines and columns from 1. A
/// partial file (a shape) need not hold what a gateway cannot start without, and `null` in it takes a field away.
pub fn read(text: &str, partial: bool) -> Result<Value, Vec<String>> {
    let place = |at: usize| {
        let before = &text[..text.floor_char_boundary(at.min(text.len()))];
        let line = before.rfind('\n').map_or(0, |i| i + 1);
        format!("{}:{}", before.matches('\n').count() + 1, before[line..].chars().count() + 1)
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &strict())
        .map_err(|e| vec![format!("{}: file: {}", place(e.range().start), e.kind())])?;
    let Some(root) = parsed.value else { return Err(vec!["1:1: file: it is empty".to_string()]) };
    let Node::Object(root) = root else {
        return Err(vec![format!("{}: file: no object", place(root.start()))]);
    };
    let mut faults = Vec::new();
    twice("", &Node::Object(root.clone()), &mut faults);
    check(&root, partial, &mut faults);
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(e) => return Err(vec![format!("{}:{}: file: {e}", e.line(), e.column().max(1))]),
    };
    if faults.is_empty() && !partial {
        // What only the whole tells: a feed's event without its number, and the like.
        faults.extend(config::read(text.as_bytes()).err().map(|error| (0, error.to_string())));
    }
    faults.sort();
    if faults.is_empty() {
        return Ok(value);
    }
    Err(faults.into_iter().map(|(at, what)| format!("{}: {what}", place(at))).collect())
}

fn name<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    name.as_str()
}

fn below(path: &str, field: &str) -> String {
    if path.is_empty() { field.to_string() } else { format!("{path}.{field}") }
}

/// Fields that are given twice.
fn twice(path: &str, node: &Node, faults: &mut Vec<(usize, String)>) {
    match node {
        Node::Object(object) => {
            let mut seen = BTreeSet::new();
            for prop in &object.properties {
                let path = below(path, name(&prop.name));
                if !seen.insert(name(&prop.name)) {
                    faults.push((prop.start(), format!("{path}: given twice")));
                }
                twice(&path, &prop.value, faults);
            }
        }
        Node::Array(array) => {
            for (i, item) in array.elements.iter().enumerate() {
                twice(&below(path, &i.to_string()), item, faults);
            }
        }
        _ => {}
    }
}

/// Checks what is read of a file, field by field.
fn check(root: &Object, partial: bool, faults: &mut Vec<(usize, String)>) {
    let absent = |node: &Node| partial && matches!(node, Node::NullKeyword(_));
    for field in ["listen", "seed", "settings"].iter().filter(|_| !partial) {
        if root.get(field).is_none() {
            faults.push((root.start(), format!("{field}: missing")));
        }
    }
    for prop in root.properties.iter().filter(|p| !absent(&p.value)) {
        let (field, node) = (name(&prop.name), &prop.value);
        let mut fault = |what: &str| faults.push((node.start(), format!("{field}: {what}")));
        match (field, node) {
            ("name", Node::StringLit(_)) => {}
            ("name", _) => fault("no text"),
            ("listen" | "feed", Node::StringLit(text))
                if text.value.parse::<std::net::SocketAddr>().is_ok() => {}
            ("listen" | "feed", Node::StringLit(text)) => {
                fault(&format!("{:?} is not allowed; allowed: an address as 10.0.0.4:7001", text.value));
            }
            ("feed", Node::NullKeyword(_)) => {}
            ("listen" | "feed", _) => fault("no text"),
            ("seed", Node::StringLit(text)) if u64::from_str_radix(&text.value, 16).is_ok() => {}
            ("seed", Node::NumberLit(number)) if number.value.parse::<u64>().is_ok() => {}
            ("seed", _) => fault("is not allowed; allowed: up to 16 hex digits in quotes, or a whole number"),
            ("flow_bytes_per_s" | "link_bytes_per_s", Node::NumberLit(_)) => {}
            ("flow_bytes_per_s" | "link_bytes_per_s", _) => fault("no number"),
            ("limits", Node::Object(limits)) => {
                for limit in limits.properties.iter().filter(|p| !absent(&p.value)) {
                    let good = matches!(&limit.value, Node::NumberLit(n)
                        if n.value.parse::<f64>().is_ok_and(|x| x > 0.0 && x.is_finite()));
                    if LIMITS.contains(&name(&limit.name)) && !good {
                        let what = "is not allowed; allowed: a number above 0";
                        faults.push((limit.value.start(), format!("limits.{}: {what}", name(&limit.name))));
                    }
                }
            }
            ("known", Node::Object(_)) => {}
            ("settings", Node::Object(settings)) => {
                for prop in &settings.properties {
                    setting(name(&prop.name).to_string(), &prop.value, partial, faults);
                }
            }
            ("limits" | "known" | "settings", _) => fault("no object"),
            _ => {}
        }
    }
}

/// Checks one setting, or those below it, against what its key may hold.
fn setting(path: String, node: &Node, partial: bool, faults: &mut Vec<(usize, String)>) {
    let plain = |node: &Node| match node {
        Node::StringLit(text) => Some(text.value.replace([' ', ','], "_")),
        Node::NumberLit(number) => Some(config::number(number.value)),
        Node::BooleanLit(flag) => Some(flag.value.to_string()),
        _ => None,
    };
    let is_list = matches!(keys::format_of(&path), Some(keys::ValueFormat::List(_)));
    let mut fault = |node: &Node, what: &str| faults.push((node.start(), format!("settings.{path}: {what}")));
    match node {
        Node::NullKeyword(_) if partial => {}
        Node::Object(object) if keys::format_of(&path).is_none() => {
            for prop in &object.properties {
                setting(below(&path, name(&prop.name)), &prop.value, partial, faults);
            }
        }
        Node::Array(array) if keys::format_of(&path).is_none() => {
            for (i, item) in array.elements.iter().enumerate() {
                setting(below(&path, &i.to_string()), item, partial, faults);
            }
        }
        Node::Array(array) if is_list => {
            for item in &array.elements {
                match plain(item) {
                    Some(value) => {
                        if let Err(invalid) = keys::check(&path, &value) {
                            fault(item, &invalid.to_string());
                        }
                    }
                    None => fault(item, "no plain value"),
                }
            }
        }
        Node::Object(_) | Node::Array(_) => fault(node, "no plain value"),
        _ => {
            if let Some(invalid) = plain(node).and_then(|value| keys::check(&path, &value).err()) {
                fault(node, &invalid.to_string());
            }
        }
    }
}

/// Moves a configuration to another shape: what the shape's parts hold, one after the other, replaces what the file
/// holds, field by field (RFC 7386, so `null` takes a field away), and what then fits nowhere is left out and told.
pub fn migrate(old: &Value, shape: &[Value]) -> (Value, Vec<Loss>) {
    let mut new = old.clone();
    let mut losses = Vec::new();
    unread(&mut new, &mut losses);
    shape.iter().for_each(|part| json_patch::merge(&mut new, part));
    let names = |settings: &Value, list: &str| -> Option<Vec<String>> {
        let names = settings.get(list)?.as_array()?;
        Some(names.iter().filter_map(|n| n.as_str().map(str::to_string)).collect())
    };
    let settings = &new["settings"];
    let (zones, kinds) = (names(settings, "zones"), names(settings, "machineTypes"));
    let classes = settings.get("services").and_then(Value::as_array).map(Vec::len);
    // Lists by class or zone that the shape left alone, though it has another number of them.
    for (lists, count, of) in
        [(&BY_CLASS[..], classes, "classes"), (&BY_ZONE[..], zones.as_ref().map(Vec::len), "zones")]
    {
        for list in lists {
            let held = new["settings"]["familyInfo"].get(*list).and_then(Value::as_array).map(Vec::len);
            if let (Some(held), Some(count)) = (held, count)
                && held != count
            {
                remove(&mut new["settings"]["familyInfo"], list);
                let why = format!("has {held} values for {count} {of}; give it in the shape");
                losses.push(Loss { field: format!("settings.familyInfo.{list}"), why });
            }
        }
    }
    for (path, list) in PLACES {
        let (parent, field) = path.rsplit_once('.').map_or((None, path), |(p, f)| (Some(p), f));
        let length = names(&new["settings"], list).map(|l| l.len() as i64);
        let holder = match parent {
            Some(parent) => &mut new["settings"][parent],
            None => &mut new["settings"],
        };
        let at = holder.get(field).and_then(Value::as_f64).map(|x| x as i64);
        if let (Some(at), Some(length)) = (at, length)
            && at >= length
        {
            remove(holder, field);
            let why = format!("place {at} of {length} {list}; give it in the shape");
            losses.push(Loss { field: format!("settings.{path}"), why });
        }
    }
    members(&mut new, zones.as_deref(), kinds.as_deref(), &mut losses);
    (new, losses)
}

fn remove(holder: &mut Value, field: &str) {
    holder.as_object_mut().and_then(|fields| fields.remove(field));
}

/// Takes out the fields that this program does not read.
fn unread(new: &mut Value, losses: &mut Vec<Loss>) {
    let mut lose = |fields: &mut Map<String, Value>, path: &str, keep: &dyn Fn(&str) -> bool| {
        let gone: Vec<String> = fields.keys().filter(|name| !keep(name)).cloned().collect();
        for name in gone {
            fields.remove(&name);
            losses.push(Loss { field: below(path, &name), why: "not read by this program".to_string() });
        }
    };
    if let Some(root) = new.as_object_mut() {
        lose(root, "", &|name| FIELDS.contains(&name));
    }
    if let Some(limits) = new.get_mut("limits").and_then(Value::as_object_mut) {
        lose(limits, "limits", &|name| LIMITS.contains(&name));
    }
    if let Some(settings) = new.get_mut("settings").and_then(Value::as_object_mut) {
        let known = |path: &str| keys::KEYS.iter().any(|(key, _)| *key == path);
        let group = |path: &str| keys::KEYS.iter().any(|(key, _)| key.starts_with(&format!("{path}.")));
        lose(settings, "settings", &|name| known(name) || group(name));
        for (name, held) in settings.iter_mut() {
            let path = |field: &str| below(name, field);
            if let Some(fields) = held.as_object_mut().filter(|_| !known(name)) {
                lose(fields, &format!("settings.{name}"), &|field| known(&path(field)));
            }
            for (i, item) in held.as_array_mut().into_iter().flatten().enumerate() {
                if let Some(fields) = item.as_object_mut() {
                    let known = |field: &str| keys::format_of(&format!("{name}.{i}.{field}")).is_some();
                    lose(fields, &format!("settings.{name}.{i}"), &known);
                }
            }
        }
    }
}

/// Takes out members whose zone or kind the new shape does not have.
fn members(new: &mut Value, zones: Option<&[String]>, kinds: Option<&[String]>, losses: &mut Vec<Loss>) {
    let Some(events) = new["known"].get_mut("events").and_then(Value::as_array_mut) else { return };
    for (i, event) in events.iter_mut().enumerate() {
        let list = event.get_mut("members").and_then(|m| m.get_mut("members")).and_then(Value::as_array_mut);
        let Some(list) = list else { continue };
        let mut at = 0;
        list.retain(|member| {
            let lacks = |field: &str, names: Option<&[String]>, of: &str| {
                let held = member[field].as_str().unwrap_or_default();
                let gone = names.is_some_and(|names| !names.iter().any(|n| n == held));
                gone.then(|| format!("{field} {held:?} is none of the {of}"))
            };
            let why = lacks("locality", zones, "zones").or(lacks("flavor", kinds, "machineTypes"));
            let field = format!("known.events.{i}.members.members.{at}");
            at += 1;
            let keep = why.is_none();
            losses.extend(why.map(|why| Loss { field, why }));
            keep
        });
    }
}
