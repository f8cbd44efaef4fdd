//! Filters over records: `class = page and client in 10.0.0.0/8 and out > 1MB`.
//!
//! `or` binds least, then `and`, then `not`; parentheses group. A fault is told with its column.

use super::record::Record;
use crate::error::LabError;
use ipnet::IpNet;
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, not, opt, peek, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{none_of, one_of, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// A filter.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    /// Any of them.
    Or(Vec<Filter>),
    /// All of them.
    And(Vec<Filter>),
    /// Not it.
    Not(Box<Filter>),
    /// A text field is, or contains, a text.
    Text(Text, Match, String),
    /// A number beside another.
    Number(Number, Compare, f64),
    /// The client is within a prefix.
    Within(IpNet),
}

/// A field with a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Text {
    Class,
    Box,
    Link,
    Result,
    Leg,
    Exporter,
}

/// How a text is held against another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    Is,
    IsNot,
    Contains,
}

/// A field with a number: bytes, requests, or ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Number {
    Out,
    Back,
    Requests,
    P99,
    Folded,
    Domain,
}

/// How a number is held against another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Compare {
    Is,
    IsNot,
    Less,
    LessOr,
    More,
    MoreOr,
}

impl Filter {
    /// Whether it lets a record through.
    pub fn takes(&self, record: &Record) -> bool {
        match self {
            Filter::Or(any) => any.iter().any(|f| f.takes(record)),
            Filter::And(all) => all.iter().all(|f| f.takes(record)),
            Filter::Not(inner) => !inner.takes(record),
            Filter::Within(net) => record.client.is_some_and(|client| net.contains(&client)),
            Filter::Text(field, how, want) => {
                let has = match field {
                    Text::Class => &record.class,
                    Text::Box => &record.member,
                    Text::Link => &record.link,
                    Text::Result => &record.result,
                    Text::Leg => &record.leg,
                    Text::Exporter => &record.exporter,
                };
                match how {
                    Match::Is => has == want,
                    Match::IsNot => has != want,
                    Match::Contains => has.contains(want),
                }
            }
            Filter::Number(field, how, want) => {
                let has = match field {
                    Number::Out => record.out as f64,
                    Number::Back => record.back as f64,
                    Number::Requests => record.requests as f64,
                    Number::P99 => record.p99 as f64 / 1000.0,
                    Number::Folded => f64::from(record.folded),
                    Number::Domain => f64::from(record.domain),
                };
                match how {
                    Compare::Is => has == *want,
                    Compare::IsNot => has != *want,
                    Compare::Less => has < *want,
                    Compare::LessOr => has <= *want,
                    Compare::More => has > *want,
                    Compare::MoreOr => has >= *want,
                }
            }
        }
    }
}

fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// A word of the language itself, which no field or text is.
fn word<'a>(text: &'static str) -> impl Parser<Input<'a>, (), ErrMode<ContextError>> {
    let end = peek(not(one_of(|c: char| c.is_ascii_alphanumeric() || c == '_')));
    terminated(text, end).void()
}

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let inner = repeat(0.., none_of(['"', '\n'])).fold(String::new, |mut s, c| {
        s.push(c);
        s
    });
    delimited('"', inner, cut_err('"'.context(wanted("\" at the end of the text")))).parse_next(input)
}

fn text(input: &mut Input<'_>) -> ModalResult<String> {
    let plain =
        take_while(1.., |c: char| c.is_ascii_alphanumeric() || "._-:/()".contains(c) && c != ')' && c != '(');
    alt((quoted, plain.map(str::to_string))).context(wanted("a text")).parse_next(input)
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
    let whole = terminated((digits, unit), end).map(|(n, times): (f64, f64)| n * times);
    whole.context(wanted("a number, with kB, MB, GB, ms or s if wanted")).parse_next(input)
}

fn net(input: &mut Input<'_>) -> ModalResult<IpNet> {
    take_while(1.., |c: char| c.is_ascii_hexdigit() || ".:/".contains(c))
        .verify_map(|s: &str| s.parse().ok().or_else(|| s.parse::<std::net::IpAddr>().map(IpNet::from).ok()))
        .context(wanted("an address or prefix, as 10.0.0.0/8"))
        .parse_next(input)
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Filter> {
    let of_text = alt((
        word("class").value(Text::Class),
        word("box").value(Text::Box),
        word("link").value(Text::Link),
        word("result").value(Text::Result),
        word("leg").value(Text::Leg),
        word("exporter").value(Text::Exporter),
    ));
    let of_number = alt((
        word("out").value(Number::Out),
        word("back").value(Number::Back),
        word("requests").value(Number::Requests),
        word("p99").value(Number::P99),
        word("folded").value(Number::Folded),
        word("domain").value(Number::Domain),
    ));
    let how_text = alt(("!=".value(Match::IsNot), "=".value(Match::Is), "~".value(Match::Contains)))
        .context(wanted("=, != or ~"));
    let how_number = alt((
        "!=".value(Compare::IsNot),
        "<=".value(Compare::LessOr),
        ">=".value(Compare::MoreOr),
        "<".value(Compare::Less),
        ">".value(Compare::More),
        "=".value(Compare::Is),
    ))
    .context(wanted("=, !=, <, <=, > or >="));
    let texts = (of_text, cut_err((preceded(multispace0, how_text), preceded(multispace0, text))))
        .map(|(field, (how, want))| Filter::Text(field, how, want));
    let numbers = (of_number, cut_err((preceded(multispace0, how_number), preceded(multispace0, number))))
        .map(|(field, (how, want))| Filter::Number(field, how, want));
    let within = alt((word("in"), "=".void())).context(wanted("in or ="));
    let client = preceded(
        word("client"),
        cut_err(preceded((multispace0, within, multispace0), net)).map(Filter::Within),
    );
    alt((texts, numbers, client))
        .context(wanted("a field: client, class, box, link, result, leg, exporter, out, back, requests, p99, folded, domain"))
        .parse_next(input)
}

fn term(input: &mut Input<'_>) -> ModalResult<Filter> {
    let group = delimited(
        ('(', multispace0),
        cut_err(or),
        cut_err((multispace0, ')').context(wanted(") at the end of the group"))),
    );
    let negated =
        preceded((word("not"), multispace0), cut_err(term)).map(|inner| Filter::Not(Box::new(inner)));
    alt((group, negated, comparison)).parse_next(input)
}

/// Terms with a word between them.
fn joined<'a>(
    inner: fn(&mut Input<'a>) -> ModalResult<Filter>,
    between: &'static str,
    make: fn(Vec<Filter>) -> Filter,
) -> impl FnMut(&mut Input<'a>) -> ModalResult<Filter> {
    move |input| {
        let first = inner(input)?;
        let more = preceded((multispace1, word(between), multispace0), cut_err(inner));
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

/// Deepest nesting that is read: what is deeper would only try the stack.
const DEEPEST: usize = 64;

/// Reads the filter of the option `--where`.
pub fn from_option(text: &str) -> Result<Filter, LabError> {
    parse(text).map_err(|fault| LabError::argument("--where", fault))
}

/// Reads a filter; the error shows the column at which it is none, and what was wanted there.
pub fn parse(text: &str) -> Result<Filter, String> {
    let deep = text.matches('(').count() + text.matches("not").count();
    if deep > DEEPEST {
        return Err(format!("{deep} parentheses and nots; {DEEPEST} are the most"));
    }
    let mut whole = delimited(multispace0, or, (multispace0, opt(';'), multispace0));
    whole.parse(LocatingSlice::new(text)).map_err(|e| {
        let at = e.offset();
        let column = text[..at].chars().count() + 1;
        let wanted: Vec<String> = e
            .inner()
            .context()
            .filter_map(|c| match c {
                StrContext::Expected(what) => Some(what.to_string()),
                _ => None,
            })
            .take(1)
            .collect();
        let wanted = if wanted.is_empty() { "and, or, or the end".to_string() } else { wanted.join(", ") };
        format!("column {column}: wanted here: {wanted}\n  {text}\n  {}^", " ".repeat(column - 1))
    })
}

#[cfg(test)]
mod tests;
