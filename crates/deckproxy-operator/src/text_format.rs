//! Files in protobuf text format, of any schema: every fault is reported with its place.

use crate::field_positions::{self, Field, Value};
use prost::Message as _;
use prost_reflect::{DynamicMessage, Kind, MessageDescriptor};
use std::fmt;

/// Largest file that is read, bytes.
pub const MAX_FILE_SIZE: usize = 1_000_000;

/// What is wrong in one place of a file; shown as `LINE:COLUMN: FIELD: MESSAGE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileError {
    /// Its line, from 1.
    pub line: usize,
    /// Its column, from 1.
    pub column: usize,
    /// The field's path, as `sites.routes[2].prefix`; empty where it is no field's.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FileError { line, column, field, message } = self;
        if field.is_empty() {
            write!(f, "{line}:{column}: {message}")
        } else {
            write!(f, "{line}:{column}: {field}: {message}")
        }
    }
}

impl std::error::Error for FileError {}

/// A file that was read.
#[derive(Debug)]
pub struct File<'a> {
    /// The message in protobuf's binary form.
    pub encoded: Vec<u8>,
    text: &'a str,
    fields: Vec<Field>,
}

impl File<'_> {
    /// An error of a field, by its path: at the field, or where it is left out at the innermost message around it.
    pub fn error(&self, path: &str, message: &str) -> FileError {
        let at = field_positions::find(&self.fields, path).map_or(0, |f| f.span.start);
        let (line, column) = field_positions::position(self.text, at);
        FileError { line, column, field: path.to_string(), message: message.to_string() }
    }
}

/// Reads a file's bytes as a message.
///
/// # Errors
///
/// Every fault of form, in the order of the text: too large, not UTF-8, not the text format, unknown and doubled fields,
/// values of the wrong form.
pub fn read<'a>(descriptor: &MessageDescriptor, bytes: &'a [u8]) -> Result<File<'a>, Vec<FileError>> {
    if bytes.len() > MAX_FILE_SIZE {
        let message = format!("{} bytes; {MAX_FILE_SIZE} are the most", bytes.len());
        return Err(vec![error_at("", 0, message)]);
    }
    let text = decode(bytes).map_err(|error| vec![error])?;
    let fields = field_positions::parse(text).map_err(|at| vec![syntax_error(text, at)])?;
    let mut errors = Vec::new();
    check_fields(text, descriptor, &fields, "", &mut errors);
    if !errors.is_empty() {
        errors.sort();
        errors.dedup();
        return Err(errors);
    }
    let message = DynamicMessage::parse_text_format(descriptor.clone(), text)
        .map_err(|e| vec![error_at("", 0, e.to_string())])?;
    Ok(File { encoded: message.encode_to_vec(), text, fields })
}

/// An error at a byte of the text that belongs to no field.
fn error_at(text: &str, at: usize, message: String) -> FileError {
    let (line, column) = field_positions::position(text, at);
    FileError { line, column, field: String::new(), message }
}

fn decode(bytes: &[u8]) -> Result<&str, FileError> {
    std::str::from_utf8(bytes).map_err(|e| {
        let valid = String::from_utf8_lossy(&bytes[..e.valid_up_to()]);
        error_at(&valid, valid.len(), "not UTF-8".to_string())
    })
}

/// The error of a text that is no text format from a byte on.
fn syntax_error(text: &str, at: usize) -> FileError {
    let rest: String = text[at..].chars().take_while(|c| *c != '\n').take(20).collect();
    let message = if rest.is_empty() {
        "the text ends, or a value is missing".to_string()
    } else {
        format!("no field or value can start with {rest:?} here")
    };
    error_at(text, at, message)
}

/// Finds unknown fields, doubled ones and values of the wrong form.
fn check_fields(
    text: &str,
    descriptor: &MessageDescriptor,
    fields: &[Field],
    path: &str,
    errors: &mut Vec<FileError>,
) {
    let mut seen = std::collections::HashMap::<&str, usize>::new();
    for field in fields {
        let count = seen.entry(&field.name).or_default();
        *count += 1;
        let mut report = |field_path: String, message: String| {
            let (line, column) = field_positions::position(text, field.span.start);
            errors.push(FileError { line, column, field: field_path, message });
        };
        let dotted = if path.is_empty() { field.name.clone() } else { format!("{path}.{}", field.name) };
        let Some(known) = descriptor.get_field_by_name(&field.name) else {
            let names: Vec<_> = descriptor.fields().map(|f| f.name().to_string()).collect();
            report(dotted, format!("no such field; there are {}", names.join(", ")));
            continue;
        };
        if *count > 1 && !known.is_list() {
            report(dotted, "given twice".to_string());
            continue;
        }
        let dotted = if known.is_list() { format!("{dotted}[{}]", *count - 1) } else { dotted };
        match (&field.value, known.kind()) {
            (Value::Message(inner), Kind::Message(below)) => {
                check_fields(text, &below, inner, &dotted, errors);
            }
            (Value::Message(_), _) => report(dotted, "no message is wanted here".to_string()),
            _ => {
                let alone = &text[field.span.clone()];
                if let Err(e) = DynamicMessage::parse_text_format(descriptor.clone(), alone) {
                    report(dotted, e.to_string());
                }
            }
        }
    }
}
