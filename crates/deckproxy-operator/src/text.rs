//! A file in protobuf text format: read whole, with every fault at its place, whatever its schema.

use crate::source::{self, Field, Value};
use prost::Message as _;
use prost_reflect::{DynamicMessage, Kind, MessageDescriptor};
use std::fmt;

/// Largest file that is read, bytes.
pub const LARGEST: usize = 1_000_000;

/// What is wrong in one place of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Its line, from 1.
    pub line: usize,
    /// Its column, from 1.
    pub column: usize,
    /// The field's path, as `sites.routes[2].prefix`; empty where it is no field's.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, column, field, what } = self;
        match field.is_empty() {
            true => write!(f, "{line}:{column}: {what}"),
            false => write!(f, "{line}:{column}: {field}: {what}"),
        }
    }
}

/// A file that was read.
#[derive(Debug)]
pub struct File<'a> {
    /// The message in protobuf's binary form.
    pub encoded: Vec<u8>,
    text: &'a str,
    fields: Vec<Field>,
}

impl File<'_> {
    /// A fault of a field, by its path, at the place where that stands or should.
    pub fn fault(&self, path: &str, what: &str) -> Fault {
        let at = source::find(&self.fields, path).map_or(0, |f| f.span.start);
        let (line, column) = source::position(self.text, at);
        Fault { line, column, field: path.to_string(), what: what.to_string() }
    }
}

/// Reads a file's bytes as a message. The error holds every fault of form, in the order of the text.
pub fn read<'a>(descriptor: &MessageDescriptor, bytes: &'a [u8]) -> Result<File<'a>, Vec<Fault>> {
    let whole = |what: String| vec![Fault { line: 1, column: 1, field: String::new(), what }];
    if bytes.len() > LARGEST {
        return Err(whole(format!("{} bytes; {LARGEST} are the most", bytes.len())));
    }
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let good = String::from_utf8_lossy(&bytes[..e.valid_up_to()]).into_owned();
        let (line, column) = source::position(&good, good.len());
        vec![Fault { line, column, field: String::new(), what: "not UTF-8".to_string() }]
    })?;
    let fields = source::parse(text).map_err(|at| {
        let (line, column) = source::position(text, at);
        let rest: String = text[at..].chars().take_while(|c| *c != '\n').take(20).collect();
        let what = match rest.is_empty() {
            true => "the text ends, or a value is missing".to_string(),
            false => format!("no field or value can start with {rest:?} here"),
        };
        vec![Fault { line, column, field: String::new(), what }]
    })?;
    let mut faults = Vec::new();
    check_fields(text, descriptor, &fields, "", &mut faults);
    if !faults.is_empty() {
        faults.sort();
        faults.dedup();
        return Err(faults);
    }
    let message =
        DynamicMessage::parse_text_format(descriptor.clone(), text).map_err(|e| whole(e.to_string()))?;
    Ok(File { encoded: message.encode_to_vec(), text, fields })
}

/// Finds unknown fields, doubled ones and values of the wrong form.
fn check_fields(
    text: &str,
    descriptor: &MessageDescriptor,
    fields: &[Field],
    path: &str,
    out: &mut Vec<Fault>,
) {
    let mut seen = std::collections::HashMap::<&str, usize>::new();
    for field in fields {
        let count = seen.entry(&field.name).or_default();
        *count += 1;
        let mut fault = |field_path: String, what: String| {
            let (line, column) = source::position(text, field.span.start);
            out.push(Fault { line, column, field: field_path, what });
        };
        let dotted = if path.is_empty() { field.name.clone() } else { format!("{path}.{}", field.name) };
        let Some(known) = descriptor.get_field_by_name(&field.name) else {
            let names: Vec<_> = descriptor.fields().map(|f| f.name().to_string()).collect();
            fault(dotted, format!("no such field; there are {}", names.join(", ")));
            continue;
        };
        if *count > 1 && !known.is_list() {
            fault(dotted, "given twice".to_string());
            continue;
        }
        let dotted = if known.is_list() { format!("{dotted}[{}]", *count - 1) } else { dotted };
        match (&field.value, known.kind()) {
            (Value::Message(inner), Kind::Message(below)) => check_fields(text, &below, inner, &dotted, out),
            (Value::Message(_), _) => fault(dotted, "no message is wanted here".to_string()),
            _ => {
                let alone = &text[field.span.clone()];
                if let Err(e) = DynamicMessage::parse_text_format(descriptor.clone(), alone) {
                    fault(dotted, e.to_string());
                }
            }
        }
    }
}
