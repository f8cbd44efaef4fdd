//! Expressions over time: `1 + 0.5 * sin(t / 10)`, `if(t > 20 and t < 30, 3, 1)`.
//!
//! Numbers, `t`, `+ - * /`, comparisons (1 or 0), `and`, `or`, and the functions `sin`, `exp`, `abs`, `min`,
//! `max`, `if`.

mod parser;

#[cfg(test)]
mod tests;

pub use parser::{ParseError, parse};

/// A parsed expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Expression {
    /// A constant.
    Number(f64),
    /// The time `t`, in seconds.
    Time,
    /// An operator between two operands.
    Binary(Operator, Box<Expression>, Box<Expression>),
    /// A function of [`Function::arity`] arguments.
    Call(Function, Vec<Expression>),
}

/// A binary operator. Logical ones take any value but 0 for true, and yield 1 or 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// `+`
    Add,
    /// `-`
    Subtract,
    /// `*`
    Multiply,
    /// `/`
    Divide,
    /// `<`
    Less,
    /// `>`
    Greater,
    /// `and`
    And,
    /// `or`
    Or,
}

impl Operator {
    fn apply(self, left: f64, right: f64) -> f64 {
        let truth = |value: bool| f64::from(u8::from(value));
        match self {
            Operator::Add => left + right,
            Operator::Subtract => left - right,
            Operator::Multiply => left * right,
            Operator::Divide => left / right,
            Operator::Less => truth(left < right),
            Operator::Greater => truth(left > right),
            Operator::And => truth(left != 0.0 && right != 0.0),
            Operator::Or => truth(left != 0.0 || right != 0.0),
        }
    }
}

/// A function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// `sin(x)`, x in radians.
    Sin,
    /// `exp(x)`
    Exp,
    /// `abs(x)`
    Abs,
    /// `min(a, b)`
    Min,
    /// `max(a, b)`
    Max,
    /// `if(condition, then, else)`
    If,
}

impl Function {
    /// Number of its arguments, 1 to 3.
    pub fn arity(self) -> usize {
        match self {
            Function::Sin | Function::Exp | Function::Abs => 1,
            Function::Min | Function::Max => 2,
            Function::If => 3,
        }
    }

    fn apply(self, arguments: &[Expression], seconds: f64) -> f64 {
        let argument = |index: usize| arguments[index].evaluate(seconds);
        match self {
            Function::Sin => argument(0).sin(),
            Function::Exp => argument(0).exp(),
            Function::Abs => argument(0).abs(),
            Function::Min => argument(0).min(argument(1)),
            Function::Max => argument(0).max(argument(1)),
            Function::If if argument(0) != 0.0 => argument(1),
            Function::If => argument(2),
        }
    }
}

impl Expression {
    /// Its value at a time in seconds. It may be infinite or not a number, as after a division by 0.
    ///
    /// # Panics
    ///
    /// When a [`Expression::Call`] has fewer arguments than its function takes; [`parse`] yields none.
    pub fn evaluate(&self, seconds: f64) -> f64 {
        match self {
            Expression::Number(value) => *value,
            Expression::Time => seconds,
            Expression::Binary(operator, left, right) => {
                operator.apply(left.evaluate(seconds), right.evaluate(seconds))
            }
            Expression::Call(function, arguments) => function.apply(arguments, seconds),
        }
    }
}
