//! Parses files in protobuf text format of any schema, and reports every error with its position.

use crate::field_positions::{self, Field, Value};
use prost::Message as _;
use prost_reflect::{DynamicMessage, Kind, MessageDescriptor};
use std::fmt;

/// Largest file that is read, bytes.
pub const MAX_FILE_SIZE: usize = 1_000_000;

/// An error at one position of a file; displayed as `LINE:COLUMN: FIELD: MESSAGE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileError {
    /// Its line, from 1.
    pub line: usize,
    /// Its column, from 1.
    pub column: usize,
    /// The field's path, as `sites.routes[2].prefix`; empty if the error belongs to no field.
    pub field: String,
    /// The error message.
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

/// A parsed file.
#[derive(Debug)]
pub struct File<'a> {
    /// The message in protobuf's binary form.
    pub encoded: Vec<u8>,
    text: &'a str,
    fields: Vec<Field>,
}

impl File<'_> {
    /// An error of the field at a path. Its position is that of the field or, if the field is omitted, of the innermost
    /// enclosing message.
    pub fn error(&self, path: &str, message: &str) -> FileError {
        let at = field_positions::find(&self.fields, path).map_or(0, |f| f.span.start);
        let (line, column) = field_positions::position(self.text, at);
        FileError { line, column, field: path.to_string(), message: message.to_string() }
    }
}

/// Parses the bytes of a file as a message.
///
/// # Errors
///
/// The file is too large, is not UTF-8 or has a syntax error; or else every unknown field, repeated field and value of
/// the wrong type, in the order of the text.
pub fn read<'a>(descriptor: &MessageDescriptor, bytes: &'a [u8]) -> Result<File<'a>, Vec<FileError>> {
    if bytes.len() > MAX_FILE_SIZE {
        let message = format!("{} bytes; the maximum is {MAX_FILE_SIZE}", bytes.len());
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

/// The error of a text whose first invalid byte is at an offset.
fn syntax_error(text: &str, at: usize) -> FileError {
    let rest: String = text[at..].chars().take_while(|c| *c != '\n').take(20).collect();
    let message = if rest.is_empty() {
        "the text ends, or a value is missing".to_string()
    } else {
        format!("no field or value can start with {rest:?} here")
    };
    error_at(text, at, message)
}

/// Reports unknown fields, repeated fields and values of the wrong type.
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
        let mut report = |error_path: String, message: String| {
            let (line, column) = field_positions::position(text, field.span.start);
            errors.push(FileError { line, column, field: error_path, message });
        };
        let field_path = if path.is_empty() { field.name.clone() } else { format!("{path}.{}", field.name) };
        let Some(field_descriptor) = descriptor.get_field_by_name(&field.name) else {
            let names: Vec<_> = descriptor.fields().map(|f| f.name().to_string()).collect();
            report(field_path, format!("no such field; the fields are {}", names.join(", ")));
            continue;
        };
        if *count > 1 && !field_descriptor.is_list() {
            report(field_path, "given twice".to_string());
            continue;
        }
        let field_path =
            if field_descriptor.is_list() { format!("{field_path}[{}]", *count - 1) } else { field_path };
        match (&field.value, field_descriptor.kind()) {
            (Value::Message(inner), Kind::Message(inner_descriptor)) => {
                check_fields(text, &inner_descriptor, inner, &field_path, errors);
            }
            (Value::Message(_), _) => report(field_path, "a message is not allowed here".to_string()),
            _ => {
                let field_text = &text[field.span.clone()];
                if let Err(e) = DynamicMessage::parse_text_format(descriptor.clone(), field_text) {
                    report(field_path, e.to_string());
                }
            }
        }
    }
}
