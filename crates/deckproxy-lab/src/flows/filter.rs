//! A filter over stored records, and whether a record passes it.

use super::record::Record;
use ipnet::IpNet;

/// A filter: a comparison, or filters joined by `and`, `or` and `not`.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    /// Any of them.
    Or(Vec<Filter>),
    /// All of them.
    And(Vec<Filter>),
    /// Not it.
    Not(Box<Filter>),
    /// A comparison of a field with a text.
    Text(TextField, TextOperator, String),
    /// A comparison of a field with a number.
    Number(NumberField, NumberOperator, f64),
    /// The client is within a prefix.
    Within(IpNet),
}

/// A field with a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextField {
    /// The class of the request.
    Class,
    /// The cache, parent or origin.
    Box,
    /// The site at the other end of a link.
    Link,
    /// How requests ended.
    Result,
    /// The leg: "client", "member" or "link".
    Leg,
    /// The gateway that exported the record.
    Exporter,
}

/// How a text is compared with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextOperator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `~`
    Contains,
}

/// A field with a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberField {
    /// Bytes towards the client.
    Out,
    /// Bytes from the client.
    Back,
    /// Requests.
    Requests,
    /// 99th percentile of the latency, ms.
    P99,
    /// How coarse the record is: 0 as it was metered, 1 to 3 coarser.
    Folded,
    /// The exporter's observation domain.
    Domain,
}

/// How a number is compared with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberOperator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
}

impl Filter {
    /// Whether a record passes.
    pub fn matches(&self, record: &Record) -> bool {
        match self {
            Filter::Or(any) => any.iter().any(|filter| filter.matches(record)),
            Filter::And(all) => all.iter().all(|filter| filter.matches(record)),
            Filter::Not(inner) => !inner.matches(record),
            Filter::Within(net) => record.client.is_some_and(|client| net.contains(&client)),
            Filter::Text(field, operator, operand) => operator.compare(field.value(record), operand),
            Filter::Number(field, operator, operand) => operator.compare(field.value(record), *operand),
        }
    }
}

impl TextField {
    fn value(self, record: &Record) -> &str {
        match self {
            TextField::Class => &record.class,
            TextField::Box => &record.member,
            TextField::Link => &record.link,
            TextField::Result => &record.result,
            TextField::Leg => &record.leg,
            TextField::Exporter => &record.exporter,
        }
    }
}

impl TextOperator {
    fn compare(self, value: &str, operand: &str) -> bool {
        match self {
            TextOperator::Equal => value == operand,
            TextOperator::NotEqual => value != operand,
            TextOperator::Contains => value.contains(operand),
        }
    }
}

impl NumberField {
    fn value(self, record: &Record) -> f64 {
        match self {
            NumberField::Out => record.out as f64,
            NumberField::Back => record.back as f64,
            NumberField::Requests => record.requests as f64,
            NumberField::P99 => record.p99 as f64 / 1000.0,
            NumberField::Folded => f64::from(record.folded),
            NumberField::Domain => f64::from(record.domain),
        }
    }
}

impl NumberOperator {
    fn compare(self, value: f64, operand: f64) -> bool {
        match self {
            NumberOperator::Equal => value == operand,
            NumberOperator::NotEqual => value != operand,
            NumberOperator::Less => value < operand,
            NumberOperator::LessOrEqual => value <= operand,
            NumberOperator::Greater => value > operand,
            NumberOperator::GreaterOrEqual => value >= operand,
        }
    }
}
