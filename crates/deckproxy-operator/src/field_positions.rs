//! The position of each field in a text. The library that parses the text format stops at the first error and records
//! no positions; this parser records them, so that all errors can be reported at once, each with its line and column.

use std::ops::Range;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated};
use winnow::error::{ContextError, ErrMode, ParseError};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, none_of, one_of, take_till, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// A field of the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// Byte range from the start of its name to the end of its value.
    pub span: Range<usize>,
    /// Its value.
    pub value: Value,
}

/// A field's value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number, string or identifier.
    Scalar,
    /// A list of scalars, with their number.
    List(usize),
    /// A message.
    Message(Vec<Field>),
}

fn whitespace(input: &mut Input<'_>) -> ModalResult<()> {
    let comment = ('#', take_till(0.., '\n')).void();
    repeat(0.., alt((one_of([' ', '\t', '\r', '\n']).void(), comment))).parse_next(input)
}

fn lexeme<'a, O>(
    inner: impl Parser<Input<'a>, O, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, O, ErrMode<ContextError>> {
    delimited(whitespace, inner, whitespace)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<()> {
    let within = |end: char| repeat(0.., alt((('\\', any).void(), none_of([end, '\\', '\n']).void())));
    let double = delimited('"', within('"'), cut_err('"'));
    let single = delimited('\'', within('\''), cut_err('\''));
    alt((double, single)).parse_next(input)
}

fn scalar(input: &mut Input<'_>) -> ModalResult<()> {
    let strings = (quoted, repeat::<_, _, (), _, _>(0.., preceded(whitespace, quoted))).void();
    let number_or_identifier =
        take_while(1.., |c: char| c.is_ascii_alphanumeric() || "_.+-".contains(c)).void();
    alt((strings, number_or_identifier)).parse_next(input)
}

fn message(input: &mut Input<'_>) -> ModalResult<Value> {
    let braces = delimited('{', fields, cut_err('}'));
    let angles = delimited('<', fields, cut_err('>'));
    alt((braces, angles)).map(Value::Message).parse_next(input)
}

fn value(input: &mut Input<'_>) -> ModalResult<Value> {
    let items = separated::<_, _, Vec<()>, _, _, _, _>(0.., lexeme(scalar), ',');
    let list = delimited('[', items, cut_err((whitespace, ']'))).map(|all| Value::List(all.len()));
    alt((message, list, scalar.value(Value::Scalar))).parse_next(input)
}

fn field(input: &mut Input<'_>) -> ModalResult<Field> {
    let name = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    let after = alt((preceded((whitespace, ':', whitespace), cut_err(value)), preceded(whitespace, message)));
    let mut with_span = (name, cut_err(after)).with_span();
    let ((name, value), span) = with_span.parse_next(input)?;
    Ok(Field { name: name.to_string(), span, value })
}

fn fields(input: &mut Input<'_>) -> ModalResult<Vec<Field>> {
    let one = delimited(whitespace, field, (whitespace, opt(one_of([',', ';']))));
    let all = repeat(0.., one).parse_next(input)?;
    whitespace(input)?;
    Ok(all)
}

/// Parses a whole text into its fields.
///
/// # Errors
/// The byte offset at which the text is not valid text format or is nested too deeply.
pub fn parse(text: &str) -> Result<Vec<Field>, usize> {
    if let Some(at) = first_excessive_nesting(text) {
        return Err(at);
    }
    fields.parse(LocatingSlice::new(text)).map_err(|e: ParseError<_, ContextError>| e.offset())
}

/// Maximum nesting depth of messages; that of the schemas is lower.
const MAX_DEPTH: usize = 16;

/// The byte offset of the first message that exceeds the maximum nesting depth.
#[allow(clippy::match_same_arms, reason = "the arms are in order of precedence")]
fn first_excessive_nesting(text: &str) -> Option<usize> {
    let (mut depth, mut quote, mut comment, mut escaped) = (0usize, None, false, false);
    for (at, c) in text.char_indices() {
        match (comment, quote, c) {
            (true, ..) => comment = c != '\n',
            (_, Some(_), _) if escaped => escaped = false,
            (_, Some(_), '\\') => escaped = true,
            (_, Some(q), _) if c == q || c == '\n' => quote = None,
            (_, Some(_), _) => {}
            (_, None, '#') => comment = true,
            (_, None, '"' | '\'') => quote = Some(c),
            (_, None, '{' | '<') => depth += 1,
            (_, None, '}' | '>') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(at);
        }
    }
    None
}

/// The field at a path like `sites.peers[1].site`, or its innermost enclosing field that is present.
pub fn find<'a>(fields: &'a [Field], path: &str) -> Option<&'a Field> {
    let mut found = None;
    let mut fields = fields;
    for segment in path.split('.') {
        let (name, index) = segment.split_once('[').unwrap_or((segment, "0]"));
        let index: usize = index.trim_end_matches(']').parse().unwrap_or(0);
        let mut occurrences = fields.iter().filter(|f| f.name == name);
        // A list has several values in one field.
        let next = match occurrences.clone().next() {
            Some(first) if matches!(first.value, Value::List(_)) => Some(first),
            _ => occurrences.nth(index),
        };
        let Some(next) = next else { break };
        found = Some(next);
        fields = match &next.value {
            Value::Message(fields) => fields,
            _ => &[],
        };
    }
    found
}

/// Line and column, from 1, of a byte offset in the text.
pub fn position(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..at.min(text.len())];
    let line = before.bytes().filter(|b| *b == b'\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |i| i + 1);
    (line, text[start..at.min(text.len())].chars().count() + 1)
}
