//! The grammar of expressions.

use super::{Expression, Function, Operator};
use std::fmt;
use winnow::ascii::{float, multispace0};
use winnow::combinator::{alt, cut_err, delimited, fail, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

/// Longest text of an expression, in bytes: a schedule of a few lines.
const MAX_BYTES: usize = 1000;
/// Most opening parentheses and minus signs, which bounds the recursion of the parser.
const MAX_NESTING: usize = 64;

/// Why a text is no expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// It is longer than 1,000 bytes, or has more than 64 opening parentheses and minus signs.
    TooLarge,
    /// Something else was expected at a place.
    Unexpected {
        /// Column of the place in characters, from 1.
        column: usize,
        /// What would have been accepted.
        expected: String,
    },
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ParseError::TooLarge => write!(f, "too long, or too deep"),
            ParseError::Unexpected { column, expected } => {
                write!(f, "column {column}: wanted here: {expected}")
            }
        }
    }
}

impl std::error::Error for ParseError {}

/// Parses an expression.
///
/// # Errors
///
/// Fails where the text does not follow the grammar, is too long or too deeply nested.
pub fn parse(text: &str) -> Result<Expression, ParseError> {
    if text.len() > MAX_BYTES || text.matches(['(', '-']).count() > MAX_NESTING {
        return Err(ParseError::TooLarge);
    }
    delimited(multispace0, disjunction, multispace0).parse(LocatingSlice::new(text)).map_err(|error| {
        let expected = error.inner().context().find_map(|context| match context {
            StrContext::Expected(expected) => Some(expected.to_string()),
            _ => None,
        });
        ParseError::Unexpected {
            column: text[..error.offset()].chars().count() + 1,
            expected: expected.unwrap_or_else(|| "an operator, or the end".to_string()),
        }
    })
}

type Input<'a> = LocatingSlice<&'a str>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn spaced<'a, O>(
    inner: impl Parser<Input<'a>, O, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, O, ErrMode<ContextError>> {
    delimited(multispace0, inner, multispace0)
}

fn time_or_call(input: &mut Input<'_>) -> ModalResult<Expression> {
    let name = take_while(1.., |c: char| c.is_ascii_alphabetic()).parse_next(input)?;
    let function = match name {
        "t" => return Ok(Expression::Time),
        "sin" => Function::Sin,
        "exp" => Function::Exp,
        "abs" => Function::Abs,
        "min" => Function::Min,
        "max" => Function::Max,
        "if" => Function::If,
        _ => {
            return cut_err(fail.context(expected("t, or sin, exp, abs, min, max or if before this")))
                .parse_next(input);
        }
    };
    let list = separated(1.., disjunction, spaced(','));
    let closing = preceded(multispace0, ')').context(expected(")"));
    let arguments: Vec<Expression> = cut_err(delimited(spaced('('), list, closing)).parse_next(input)?;
    if arguments.len() != function.arity() {
        return cut_err(fail.context(expected("as many values as the function takes, before this")))
            .parse_next(input);
    }
    Ok(Expression::Call(function, arguments))
}

fn operand(input: &mut Input<'_>) -> ModalResult<Expression> {
    let closing = cut_err(preceded(multispace0, ')').context(expected(")")));
    let group = delimited(spaced('('), cut_err(disjunction), closing);
    let negated = preceded(('-', multispace0), operand).map(|inner| {
        Expression::Binary(Operator::Subtract, Box::new(Expression::Number(0.0)), Box::new(inner))
    });
    let number =
        terminated(float, multispace0).verify(|value: &f64| value.is_finite()).map(Expression::Number);
    preceded(multispace0, alt((group, time_or_call, number, negated)))
        .context(expected("a number, t, a function or ("))
        .parse_next(input)
}

/// Operands with operators of one precedence between them, left-associative.
fn chain<'a>(
    operand: fn(&mut Input<'a>) -> ModalResult<Expression>,
    operator: impl Parser<Input<'a>, Operator, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, Expression, ErrMode<ContextError>> {
    let mut following = (spaced(operator), cut_err(operand));
    move |input: &mut Input<'a>| {
        let first = operand(input)?;
        let rest: Vec<(Operator, Expression)> = repeat(0.., following.by_ref()).parse_next(input)?;
        Ok(rest.into_iter().fold(first, |left, (operator, right)| {
            Expression::Binary(operator, Box::new(left), Box::new(right))
        }))
    }
}

fn product(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(operand, alt(('*'.value(Operator::Multiply), '/'.value(Operator::Divide)))).parse_next(input)
}

fn sum(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(product, alt(('+'.value(Operator::Add), '-'.value(Operator::Subtract)))).parse_next(input)
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(sum, alt(('<'.value(Operator::Less), '>'.value(Operator::Greater)))).parse_next(input)
}

fn conjunction(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(comparison, "and".value(Operator::And)).parse_next(input)
}

fn disjunction(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(conjunction, "or".value(Operator::Or)).parse_next(input)
}
