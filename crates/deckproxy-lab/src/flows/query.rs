//! The language of filters over records: `class = page and client in 10.0.0.0/8 and out > 1MB`.
//!
//! `or` binds least, then `and`, then `not`; parentheses group. A fault is reported with its column.

use super::filter::{Filter, NumberField, NumberOperator, TextField, TextOperator};
use ipnet::IpNet;
use thiserror::Error;
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, not, opt, peek, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode, ParseError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{none_of, one_of, take_while};

type Input<'a> = LocatingSlice<&'a str>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// A keyword of the language: no letter, digit or `_` may follow it.
fn keyword<'a>(text: &'static str) -> impl Parser<Input<'a>, (), ErrMode<ContextError>> {
    let end = peek(not(one_of(|c: char| c.is_ascii_alphanumeric() || c == '_')));
    terminated(text, end).void()
}

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let inner = repeat(0.., none_of(['"', '\n'])).fold(String::new, |mut s, c| {
        s.push(c);
        s
    });
    delimited('"', inner, cut_err('"'.context(expected("\" at the end of the text")))).parse_next(input)
}

fn text(input: &mut Input<'_>) -> ModalResult<String> {
    let plain =
        take_while(1.., |c: char| c.is_ascii_alphanumeric() || "._-:/()".contains(c) && c != ')' && c != '(');
    alt((quoted, plain.map(str::to_string))).context(expected("a text")).parse_next(input)
}

fn number(input: &mut Input<'_>) -> ModalResult<f64> {
    let digits = take_while(1.., |c: char| c.is_ascii_digit() || c == '.').try_map(str::parse::<f64>);
    let unit = alt((
        alt(("kB", "KB")).value(1e3),
        "MB".value(1e6),
        "GB".value(1e9),
        "ms".value(1.0),
        "s".value(1e3),
        "".value(1.0),
    ));
    let end = peek(not(one_of(|c: char| c.is_ascii_alphanumeric())));
    let value = terminated((digits, unit), end).map(|(n, times): (f64, f64)| n * times);
    value.context(expected("a number, optionally with kB, MB, GB, ms or s")).parse_next(input)
}

fn net(input: &mut Input<'_>) -> ModalResult<IpNet> {
    take_while(1.., |c: char| c.is_ascii_hexdigit() || ".:/".contains(c))
        .verify_map(|s: &str| s.parse().ok().or_else(|| s.parse::<std::net::IpAddr>().map(IpNet::from).ok()))
        .context(expected("an address or prefix such as 10.0.0.0/8"))
        .parse_next(input)
}

fn text_field(input: &mut Input<'_>) -> ModalResult<TextField> {
    alt((
        keyword("class").value(TextField::Class),
        keyword("box").value(TextField::Box),
        keyword("link").value(TextField::Link),
        keyword("result").value(TextField::Result),
        keyword("leg").value(TextField::Leg),
        keyword("exporter").value(TextField::Exporter),
    ))
    .parse_next(input)
}

fn text_operator(input: &mut Input<'_>) -> ModalResult<TextOperator> {
    alt((
        "!=".value(TextOperator::NotEqual),
        "=".value(TextOperator::Equal),
        "~".value(TextOperator::Contains),
    ))
    .context(expected("=, != or ~"))
    .parse_next(input)
}

fn number_field(input: &mut Input<'_>) -> ModalResult<NumberField> {
    alt((
        keyword("out").value(NumberField::Out),
        keyword("back").value(NumberField::Back),
        keyword("requests").value(NumberField::Requests),
        keyword("p99").value(NumberField::P99),
        keyword("folded").value(NumberField::Folded),
        keyword("domain").value(NumberField::Domain),
    ))
    .parse_next(input)
}

fn number_operator(input: &mut Input<'_>) -> ModalResult<NumberOperator> {
    alt((
        "!=".value(NumberOperator::NotEqual),
        "<=".value(NumberOperator::LessOrEqual),
        ">=".value(NumberOperator::GreaterOrEqual),
        "<".value(NumberOperator::Less),
        ">".value(NumberOperator::Greater),
        "=".value(NumberOperator::Equal),
    ))
    .context(expected("=, !=, <, <=, > or >="))
    .parse_next(input)
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Filter> {
    let texts = (text_field, cut_err((preceded(multispace0, text_operator), preceded(multispace0, text))))
        .map(|(field, (operator, value))| Filter::Text(field, operator, value));
    let numbers =
        (number_field, cut_err((preceded(multispace0, number_operator), preceded(multispace0, number))))
            .map(|(field, (operator, value))| Filter::Number(field, operator, value));
    let within = alt((keyword("in"), "=".void())).context(expected("in or ="));
    let client = preceded(
        keyword("client"),
        cut_err(preceded((multispace0, within, multispace0), net)).map(Filter::Within),
    );
    alt((texts, numbers, client))
        .context(expected(
            "a field: client, class, box, link, result, leg, exporter, out, back, requests, p99, folded, domain",
        ))
        .parse_next(input)
}

fn term(input: &mut Input<'_>) -> ModalResult<Filter> {
    let group = delimited(
        ('(', multispace0),
        cut_err(or),
        cut_err((multispace0, ')').context(expected(") at the end of the group"))),
    );
    let negated =
        preceded((keyword("not"), multispace0), cut_err(term)).map(|inner| Filter::Not(Box::new(inner)));
    alt((group, negated, comparison)).parse_next(input)
}

/// Filters with a keyword between them.
fn joined<'a>(
    inner: fn(&mut Input<'a>) -> ModalResult<Filter>,
    between: &'static str,
    make: fn(Vec<Filter>) -> Filter,
) -> impl FnMut(&mut Input<'a>) -> ModalResult<Filter> {
    move |input| {
        let first = inner(input)?;
        let more = preceded((multispace1, keyword(between), multispace0), cut_err(inner));
        let mut all: Vec<Filter> = repeat(0.., more).parse_next(input)?;
        if all.is_empty() {
            return Ok(first);
        }
        all.insert(0, first);
        Ok(make(all))
    }
}

fn and(input: &mut Input<'_>) -> ModalResult<Filter> {
    joined(term, "and", Filter::And)(input)
}

fn or(input: &mut Input<'_>) -> ModalResult<Filter> {
    joined(and, "or", Filter::Or)(input)
}

/// Most parentheses and `not`s of a filter: each takes a level of the parser's stack.
const MAX_NESTING: usize = 64;

/// Why a text is not a filter.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FilterError {
    /// It is nested too deep for the parser.
    #[error("{0} parentheses and nots; {MAX_NESTING} are the most")]
    TooDeep(usize),
    /// It breaks the grammar.
    #[error("column {column}: expected {expected}\n  {text}\n  {}^", " ".repeat(column - 1))]
    Syntax {
        /// Where, counted from 1 in characters.
        column: usize,
        /// What may stand there.
        expected: String,
        /// The whole text.
        text: String,
    },
}

impl FilterError {
    fn syntax(text: &str, error: &ParseError<Input<'_>, ContextError>) -> Self {
        let column = text[..error.offset()].chars().count() + 1;
        let expected = error.inner().context().find_map(|context| match context {
            StrContext::Expected(what) => Some(what.to_string()),
            _ => None,
        });
        let expected = expected.unwrap_or_else(|| "and, or, or the end".to_string());
        FilterError::Syntax { column, expected, text: text.to_string() }
    }
}

/// Reads a filter.
pub fn parse(text: &str) -> Result<Filter, FilterError> {
    let nesting = text.matches('(').count() + text.matches("not").count();
    if nesting > MAX_NESTING {
        return Err(FilterError::TooDeep(nesting));
    }
    let mut filter = delimited(multispace0, or, (multispace0, opt(';'), multispace0));
    filter.parse(LocatingSlice::new(text)).map_err(|error| FilterError::syntax(text, &error))
}

#[cfg(test)]
mod tests;
