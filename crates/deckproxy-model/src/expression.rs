//! Expressions over time: `1 + 0.5 * sin(t / 10)`, `if(t > 20 and t < 30, 3, 1)`.
//!
//! Numbers, `t`, `+ - * /`, comparisons (1 or 0), `and`, `or`, and the functions `sin`, `exp`, `abs`, `min`, `max`, `if`.

use winnow::ascii::{float, multispace0};
use winnow::combinator::{alt, cut_err, delimited, fail, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

type Input<'a> = LocatingSlice<&'a str>;

/// An expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Expression {
    Number(f64),
    Time,
    Two(Operator, Box<Expression>, Box<Expression>),
    Call(Function, Vec<Expression>),
}

/// What joins two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    Add,
    Subtract,
    Multiply,
    Divide,
    Less,
    More,
    And,
    Or,
}

/// A function, with the number of what it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    Sin,
    Exp,
    Abs,
    Min,
    Max,
    If,
}

impl Function {
    fn takes(self) -> usize {
        match self {
            Function::Sin | Function::Exp | Function::Abs => 1,
            Function::Min | Function::Max => 2,
            Function::If => 3,
        }
    }
}

impl Expression {
    /// Its value at a time, seconds.
    pub fn at(&self, t: f64) -> f64 {
        let truth = |b: bool| f64::from(u8::from(b));
        match self {
            Expression::Number(n) => *n,
            Expression::Time => t,
            Expression::Two(operator, a, b) => {
                let (a, b) = (a.at(t), b.at(t));
                match operator {
                    Operator::Add => a + b,
                    Operator::Subtract => a - b,
                    Operator::Multiply => a * b,
                    Operator::Divide => a / b,
                    Operator::Less => truth(a < b),
                    Operator::More => truth(a > b),
                    Operator::And => truth(a != 0.0 && b != 0.0),
                    Operator::Or => truth(a != 0.0 || b != 0.0),
                }
            }
            Expression::Call(function, of) => {
                let arg = |i: usize| of[i].at(t);
                match function {
                    Function::Sin => arg(0).sin(),
                    Function::Exp => arg(0).exp(),
                    Function::Abs => arg(0).abs(),
                    Function::Min => arg(0).min(arg(1)),
                    Function::Max => arg(0).max(arg(1)),
                    Function::If => {
                        if arg(0) != 0.0 {
                            arg(1)
                        } else {
                            arg(2)
                        }
                    }
                }
            }
        }
    }
}

fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn spaced<'a, O>(
    inner: impl Parser<Input<'a>, O, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, O, ErrMode<ContextError>> {
    delimited(multispace0, inner, multispace0)
}

fn call(input: &mut Input<'_>) -> ModalResult<Expression> {
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
            return cut_err(fail.context(wanted("t, or sin, exp, abs, min, max or if before this")))
                .parse_next(input);
        }
    };
    let list = separated(1.., or, spaced(','));
    let of: Vec<Expression> =
        cut_err(delimited(spaced('('), list, preceded(multispace0, ')').context(wanted(")"))))
            .parse_next(input)?;
    if of.len() != function.takes() {
        return cut_err(fail.context(wanted("as many values as the function takes, before this")))
            .parse_next(input);
    }
    Ok(Expression::Call(function, of))
}

fn atom(input: &mut Input<'_>) -> ModalResult<Expression> {
    let group = delimited(spaced('('), cut_err(or), cut_err(preceded(multispace0, ')').context(wanted(")"))));
    let negated = preceded(('-', multispace0), atom)
        .map(|e| Expression::Two(Operator::Subtract, Box::new(Expression::Number(0.0)), Box::new(e)));
    let number = terminated(float, multispace0).verify(|n: &f64| n.is_finite()).map(Expression::Number);
    preceded(multispace0, alt((group, call, number, negated)))
        .context(wanted("a number, t, a function or ("))
        .parse_next(input)
}

/// Operands with operators of one rank between them, from the left.
fn chain<'a>(
    inner: fn(&mut Input<'a>) -> ModalResult<Expression>,
    operator: impl Parser<Input<'a>, Operator, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, Expression, ErrMode<ContextError>> {
    let mut more = (spaced(operator), cut_err(inner));
    move |input: &mut Input<'a>| {
        let first = inner(input)?;
        let rest: Vec<(Operator, Expression)> = repeat(0.., more.by_ref()).parse_next(input)?;
        Ok(rest.into_iter().fold(first, |a, (op, b)| Expression::Two(op, Box::new(a), Box::new(b))))
    }
}

fn product(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(atom, alt(('*'.value(Operator::Multiply), '/'.value(Operator::Divide)))).parse_next(input)
}

fn sum(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(product, alt(('+'.value(Operator::Add), '-'.value(Operator::Subtract)))).parse_next(input)
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(sum, alt(('<'.value(Operator::Less), '>'.value(Operator::More)))).parse_next(input)
}

fn and(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(comparison, "and".value(Operator::And)).parse_next(input)
}

fn or(input: &mut Input<'_>) -> ModalResult<Expression> {
    chain(and, "or".value(Operator::Or)).parse_next(input)
}

/// Reads an expression; the error names the column.
pub fn parse(text: &str) -> Result<Expression, String> {
    if text.len() > 1000 || text.matches(['(', '-']).count() > 64 {
        return Err("too long, or too deep".to_string());
    }
    delimited(multispace0, or, multispace0).parse(LocatingSlice::new(text)).map_err(|e| {
        let what = e.inner().context().find_map(|c| match c {
            StrContext::Expected(what) => Some(what.to_string()),
            _ => None,
        });
        let what = what.unwrap_or("an operator, or the end".to_string());
        format!("column {}: wanted here: {what}", text[..e.offset()].chars().count() + 1)
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn they_are_worth_what_they_should() {
        for (text, t, want) in [
            ("1 + 2 * 3 - 4 / 2", 0.0, 5.0),
            ("(1 + 2) * -t", 4.0, -12.0),
            ("if(t > 20 and t < 30, 3, 1)", 25.0, 3.0),
            ("if(t > 20 and t < 30, 3, 1)", 35.0, 1.0),
            ("max(1, min(t, 5)) + abs(0 - 2)", 9.0, 7.0),
            ("1 + 0.5 * sin(t / 10)", 0.0, 1.0),
            ("2 - 1 - 1", 0.0, 0.0),
            ("t < 1 or t > 9", 10.0, 1.0),
        ] {
            assert!((parse(text).unwrap().at(t) - want).abs() < 1e-12, "{text}");
        }
    }

    #[test]
    fn faults_name_their_column() {
        for (text, column, what) in [
            ("1 +", 4, "a number"),
            ("cos(t)", 4, "sin, exp"),
            ("sin(t, 1)", 10, "as many"),
            ("(1", 3, ")"),
            ("1 2", 3, "an operator"),
        ] {
            let fault = parse(text).unwrap_err();
            assert!(
                fault.starts_with(&format!("column {column}: ")) && fault.contains(what),
                "{text}: {fault}"
            );
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() })]

        #[test]
        fn any_text_is_read_or_refused(text in "[t0-9 ().,+*/<>a-z-]{0,60}") {
            let _ = parse(&text).map(|e| e.at(1.0));
        }
    }
}
