//! Named values in a part of the log's summary line, such as `cap:none,arrived[first:9,retry:1]`.

use crate::program::log_aliases::{ALIAS_KEY, Scope, old_key};
use std::fmt::Display;

/// A named value, or a named group of fields or items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    name: String,
    content: Content,
}

/// The content of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Content {
    /// A value.
    Value(String),
    /// Unnamed items in brackets.
    Items(Vec<String>),
    /// Fields in brackets, and their separator.
    Group(Vec<Field>, &'static str),
}

/// Which spelling of renamed keys to write.
#[derive(Clone, Copy)]
enum Spelling {
    /// The current names.
    Current,
    /// The names before they were renamed.
    Old(Scope),
}

impl Field {
    /// A field with a single value.
    pub fn value(name: impl Into<String>, value: impl Display) -> Self {
        Field { name: name.into(), content: Content::Value(value.to_string()) }
    }

    /// A field with unnamed items.
    pub fn items(name: impl Into<String>, items: Vec<String>) -> Self {
        Field { name: name.into(), content: Content::Items(items) }
    }

    /// A group of fields separated by commas.
    pub fn group(name: impl Into<String>, fields: impl IntoIterator<Item = Field>) -> Self {
        Field { name: name.into(), content: Content::Group(fields.into_iter().collect(), ",") }
    }

    /// A group of counts separated by spaces.
    pub fn counts(name: impl Into<String>, fields: impl IntoIterator<Item = Field>) -> Self {
        Field { name: name.into(), content: Content::Group(fields.into_iter().collect(), " ") }
    }

    /// Whether the field's name, or that of a nested field, was renamed.
    fn is_renamed(&self, scope: Scope) -> bool {
        let inner = match &self.content {
            Content::Group(fields, _) => fields.iter().any(|field| field.is_renamed(scope)),
            Content::Value(_) | Content::Items(_) => false,
        };
        inner || old_key(scope, &self.name).is_some()
    }

    fn write(&self, spelling: Spelling) -> String {
        let name = match spelling {
            Spelling::Current => &self.name,
            Spelling::Old(scope) => old_key(scope, &self.name).unwrap_or(&self.name),
        };
        match &self.content {
            Content::Value(value) => format!("{name}:{value}"),
            Content::Items(items) => format!("{name}[{}]", items.join(" ")),
            Content::Group(fields, separator) => {
                let fields: Vec<String> = fields.iter().map(|field| field.write(spelling)).collect();
                format!("{name}[{}]", fields.join(separator))
            }
        }
    }
}

/// Formats a part of the summary. Renamed fields are repeated in their old spelling, in `alias[...]`.
pub fn summary_text(scope: Scope, fields: &[Field]) -> String {
    let mut parts: Vec<String> = fields.iter().map(|field| field.write(Spelling::Current)).collect();
    let renamed = fields.iter().filter(|field| field.is_renamed(scope));
    let old: Vec<String> = renamed.map(|field| field.write(Spelling::Old(scope))).collect();
    if !old.is_empty() {
        parts.push(format!("{ALIAS_KEY}[{}]", old.join(",")));
    }
    parts.join(",")
}
