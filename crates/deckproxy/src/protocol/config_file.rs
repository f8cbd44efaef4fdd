//! Parses and checks configuration files; reports every fault with its line and column. No I/O.

use crate::protocol::config;
use deckproxy_settings::keys::{self, ValueFormat};
use jsonc_parser::ast::{Object, ObjectProp, Value as Node};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// The fields of `limits` that are read.
pub(super) const LIMITS: [&str; 3] = ["cores", "memory_mb", "sockets"];
/// Fields that a gateway requires to start.
const REQUIRED: [&str; 3] = ["listen", "seed", "settings"];

/// A fault of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// The field and what is wrong with it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Whether a file is a complete configuration, or a part to be merged into one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// A configuration with which a gateway can start.
    Complete,
    /// A part: no field is required, and `null` removes one.
    Partial,
}

/// A fault with its byte offset, by which faults are ordered.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FaultAtOffset {
    offset: usize,
    what: String,
}

/// Options for strict JSON, without any of the parser's extensions.
fn strict_json() -> ParseOptions {
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

/// Parses and checks the text of a file.
///
/// # Errors
/// The faults of the file in order of their position; only the first one if the file is not strict JSON.
pub fn read(text: &str, completeness: Completeness) -> Result<Value, Vec<Fault>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &strict_json()).map_err(|error| {
        vec![locate(
            text,
            FaultAtOffset { offset: error.range().start, what: format!("file: {}", error.kind()) },
        )]
    })?;
    let Some(root) = parsed.value else {
        return Err(vec![Fault { line: 1, column: 1, what: "file: it is empty".to_string() }]);
    };
    let Node::Object(object) = &root else {
        let what = "file: no object".to_string();
        return Err(vec![locate(text, FaultAtOffset { offset: root.start(), what })]);
    };
    let mut checker = Checker { completeness, faults: Vec::new() };
    checker.check_duplicates("", &root);
    checker.check_root(object);
    let value: Value = serde_json::from_str(text).map_err(|error| {
        let what = format!("file: {error}");
        vec![Fault { line: error.line(), column: error.column().max(1), what }]
    })?;
    let mut faults = checker.faults;
    if faults.is_empty()
        && completeness == Completeness::Complete
        && let Err(error) = config::read(text.as_bytes())
    {
        // Reading the complete file finds faults that the checks of single fields miss, such as a feed event without
        // its number.
        faults.push(FaultAtOffset { offset: 0, what: error.to_string() });
    }
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort();
    Err(faults.into_iter().map(|fault| locate(text, fault)).collect())
}

/// The line and column of a fault.
fn locate(text: &str, fault: FaultAtOffset) -> Fault {
    let before = &text[..text.floor_char_boundary(fault.offset.min(text.len()))];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Fault {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        what: fault.what,
    }
}

/// The path of a field that is nested in another.
pub(super) fn join(path: &str, field: &str) -> String {
    if path.is_empty() { field.to_string() } else { format!("{path}.{field}") }
}

/// A scalar in the text form of the settings; `None` for any other value.
fn scalar(node: &Node) -> Option<String> {
    match node {
        Node::StringLit(text) => Some(text.value.replace([' ', ','], "_")),
        Node::NumberLit(number) => Some(config::number(number.value)),
        Node::BooleanLit(flag) => Some(flag.value.to_string()),
        _ => None,
    }
}

/// Collects the faults of one file.
struct Checker {
    completeness: Completeness,
    faults: Vec<FaultAtOffset>,
}

impl Checker {
    fn add_fault(&mut self, node: &impl Ranged, field: &str, what: impl fmt::Display) {
        self.faults.push(FaultAtOffset { offset: node.start(), what: format!("{field}: {what}") });
    }

    /// Whether a value is a `null` that removes its field.
    fn is_removal(&self, node: &Node) -> bool {
        self.completeness == Completeness::Partial && matches!(node, Node::NullKeyword(_))
    }

    /// Reports duplicate fields.
    fn check_duplicates(&mut self, path: &str, node: &Node) {
        match node {
            Node::Object(object) => {
                let mut seen = BTreeSet::new();
                for property in &object.properties {
                    let path = join(path, property.name.as_str());
                    if !seen.insert(property.name.as_str()) {
                        self.add_fault(property, &path, "given twice");
                    }
                    self.check_duplicates(&path, &property.value);
                }
            }
            Node::Array(array) => {
                for (position, item) in array.elements.iter().enumerate() {
                    self.check_duplicates(&join(path, &position.to_string()), item);
                }
            }
            _ => {}
        }
    }

    /// Checks each field that is read, and that required fields are present.
    fn check_root(&mut self, root: &Object) {
        if self.completeness == Completeness::Complete {
            for field in REQUIRED.iter().filter(|field| root.get(field).is_none()) {
                self.add_fault(root, field, "missing");
            }
        }
        for property in &root.properties {
            if !self.is_removal(&property.value) {
                self.check_field(property);
            }
        }
    }

    #[allow(
        clippy::match_same_arms,
        reason = "each field has its valid forms first and its fault after them"
    )]
    fn check_field(&mut self, property: &ObjectProp) {
        let (field, node) = (property.name.as_str(), &property.value);
        match (field, node) {
            ("name", Node::StringLit(_)) => {}
            ("name", _) => self.add_fault(node, field, "no text"),
            ("listen" | "feed", Node::StringLit(text)) => self.check_address(node, field, &text.value),
            ("feed", Node::NullKeyword(_)) => {}
            ("listen" | "feed", _) => self.add_fault(node, field, "no text"),
            ("seed", _) => self.check_seed(node),
            ("flow_bytes_per_s" | "link_bytes_per_s", Node::NumberLit(_)) => {}
            ("flow_bytes_per_s" | "link_bytes_per_s", _) => self.add_fault(node, field, "no number"),
            ("limits", Node::Object(limits)) => self.check_limits(limits),
            ("known", Node::Object(_)) => {}
            ("settings", Node::Object(settings)) => {
                for property in &settings.properties {
                    self.check_setting(property.name.as_str(), &property.value);
                }
            }
            ("limits" | "known" | "settings", _) => self.add_fault(node, field, "no object"),
            _ => {}
        }
    }

    fn check_address(&mut self, node: &Node, field: &str, text: &str) {
        if text.parse::<SocketAddr>().is_err() {
            let what = format!("{text:?} is not allowed; allowed: an address as 10.0.0.4:7001");
            self.add_fault(node, field, what);
        }
    }

    fn check_seed(&mut self, node: &Node) {
        let is_allowed = match node {
            Node::StringLit(text) => u64::from_str_radix(&text.value, 16).is_ok(),
            Node::NumberLit(number) => number.value.parse::<u64>().is_ok(),
            _ => false,
        };
        if !is_allowed {
            let what = "is not allowed; allowed: up to 16 hex digits in quotes, or a whole number";
            self.add_fault(node, "seed", what);
        }
    }

    fn check_limits(&mut self, limits: &Object) {
        let is_positive =
            |text: &str| text.parse::<f64>().is_ok_and(|number| number > 0.0 && number.is_finite());
        for limit in &limits.properties {
            let name = limit.name.as_str();
            let is_allowed = matches!(&limit.value, Node::NumberLit(number) if is_positive(number.value));
            if LIMITS.contains(&name) && !is_allowed && !self.is_removal(&limit.value) {
                let what = "is not allowed; allowed: a number above 0";
                self.add_fault(&limit.value, &format!("limits.{name}"), what);
            }
        }
    }

    /// Checks a setting, or the settings nested in it, against the format of its key.
    fn check_setting(&mut self, path: &str, node: &Node) {
        if self.is_removal(node) {
            return;
        }
        match (keys::format_of(path), node) {
            (None, Node::Object(object)) => {
                for property in &object.properties {
                    self.check_setting(&join(path, property.name.as_str()), &property.value);
                }
            }
            (None, Node::Array(array)) => {
                for (position, item) in array.elements.iter().enumerate() {
                    self.check_setting(&join(path, &position.to_string()), item);
                }
            }
            (Some(ValueFormat::List(_)), Node::Array(array)) => {
                for item in &array.elements {
                    match scalar(item) {
                        Some(value) => self.check_value(path, item, &value),
                        None => self.add_fault(item, &format!("settings.{path}"), "no plain value"),
                    }
                }
            }
            (_, Node::Object(_) | Node::Array(_)) => {
                self.add_fault(node, &format!("settings.{path}"), "no plain value");
            }
            _ => {
                if let Some(value) = scalar(node) {
                    self.check_value(path, node, &value);
                }
            }
        }
    }

    fn check_value(&mut self, path: &str, node: &Node, value: &str) {
        if let Err(invalid) = keys::check(path, value) {
            self.add_fault(node, &format!("settings.{path}"), invalid);
        }
    }
}
