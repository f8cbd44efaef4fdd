//! The keys that are read, and the values that each allows.

use std::fmt;

/// The values that a key allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueFormat {
    /// A finite number within inclusive bounds.
    Number(f64, f64),
    /// A whole number within inclusive bounds.
    Integer(i64, i64),
    /// `true` or `false`.
    Flag,
    /// Any text.
    Text,
    /// One of these words.
    Word(&'static [&'static str]),
    /// A comma-separated list of values of one format.
    List(&'static ValueFormat),
}

/// Longest duration in ms and largest plain number that is accepted; anything above is treated as a mistake.
const NUMBER_MAX: f64 = 1e9;
/// Largest number of classes: a request identifies its class by one byte.
const CLASSES_MAX: i64 = 256;

/// A duration in ms, a rate or a weight: not negative.
const AMOUNT: ValueFormat = ValueFormat::Number(0.0, NUMBER_MAX);
/// A share of a whole.
const SHARE: ValueFormat = ValueFormat::Number(0.0, 1.0);
/// A position in a list; -1 for none.
const POSITION: ValueFormat = ValueFormat::Integer(-1, u32::MAX as i64);
/// A count.
const COUNT: ValueFormat = ValueFormat::Integer(0, u32::MAX as i64);

/// Every key that is read, with its format; `*` stands for the position of a class.
pub const KEYS: &[(&str, ValueFormat)] = &[
    ("discovery", ValueFormat::Word(&["pushed", "on_request"])),
    ("familyInfo.agedWorth", ValueFormat::List(&SHARE)),
    ("familyInfo.bypassAllowed", ValueFormat::Flag),
    ("familyInfo.canJoin", ValueFormat::Flag),
    ("familyInfo.clearedWithinMs", AMOUNT),
    ("familyInfo.flowKbPerS", AMOUNT),
    ("familyInfo.goesThrough", ValueFormat::List(&ValueFormat::Flag)),
    ("familyInfo.inletKbPerS", ValueFormat::List(&AMOUNT)),
    ("familyInfo.maxAgeMs", ValueFormat::List(&AMOUNT)),
    ("familyInfo.obeyAfterMs", AMOUNT),
    ("familyInfo.parentFallMultiple", AMOUNT),
    ("familyInfo.shieldKind", POSITION),
    ("familyInfo.sideways", ValueFormat::Word(&["none", "location", "any"])),
    ("familyInfo.sourceKind", POSITION),
    ("familyInfo.upperColdFrom", SHARE),
    ("familyInfo.upperColdMs", AMOUNT),
    ("familyInfo.usableAfterMs", ValueFormat::List(&AMOUNT)),
    ("familyInfo.zoneBalancers", ValueFormat::List(&COUNT)),
    ("groupSize", COUNT),
    ("limits.cancel", ValueFormat::Flag),
    ("limits.connIdleMs", AMOUNT),
    ("limits.connectTimeoutMs", AMOUNT),
    ("limits.maxOpen", COUNT),
    ("limits.maxRetryAfterMs", AMOUNT),
    ("limits.maxStreams", ValueFormat::Integer(1, u32::MAX as i64)),
    ("limits.probes", ValueFormat::Flag),
    ("limits.retryAfter", ValueFormat::Flag),
    ("limits.secondCopies", ValueFormat::Flag),
    ("limits.sendCap", COUNT),
    ("locality", POSITION),
    ("machineTypes", ValueFormat::List(&ValueFormat::Text)),
    ("position", POSITION),
    ("report.fields", ValueFormat::List(&ValueFormat::Text)),
    ("rules.answerSlackMs", AMOUNT),
    ("rules.coldFrom", SHARE),
    ("rules.drainGraceMs", AMOUNT),
    ("rules.fallMs", AMOUNT),
    ("rules.fallMultiple", AMOUNT),
    ("rules.rampTimeMs", AMOUNT),
    ("services.count", ValueFormat::Integer(0, CLASSES_MAX)),
    ("services.*.aimMs", AMOUNT),
    ("services.*.aimStretch", AMOUNT),
    ("services.*.deadlineMs", AMOUNT),
    ("services.*.dedupWindowMs", AMOUNT),
    ("services.*.effect", ValueFormat::Word(&["retryable", "dedup", "fragile"])),
    ("services.*.group", ValueFormat::Word(&["all", "zone", "cell"])),
    ("services.*.importance", AMOUNT),
    ("services.*.lateShare", SHARE),
    ("services.*.name", ValueFormat::Text),
    ("services.*.stream", ValueFormat::Flag),
    ("weightKind", ValueFormat::Word(&["none", "nominal", "rough", "live"])),
    ("zones", ValueFormat::List(&ValueFormat::Text)),
];

/// A value that its key does not allow; the message names the value and what is allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidValue {
    value: String,
    format: ValueFormat,
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not allowed; allowed: {}", self.value, self.format)
    }
}

impl std::error::Error for InvalidValue {}

/// The format of a key's value; `None` for a key that is not read.
pub fn format_of(key: &str) -> Option<ValueFormat> {
    KEYS.iter().find(|(pattern, _)| matches_pattern(key, pattern)).map(|(_, format)| *format)
}

/// Checks a key's value. A key that is not read and an empty value are always valid.
///
/// # Errors
/// [`InvalidValue`] if the value does not have the key's format.
pub fn check(key: &str, value: &str) -> Result<(), InvalidValue> {
    match format_of(key) {
        Some(format) if !value.is_empty() => format.check(value),
        _ => Ok(()),
    }
}

/// Whether a key equals the pattern, with the position of a class in place of `*`.
fn matches_pattern(key: &str, pattern: &str) -> bool {
    let Some((before, after)) = pattern.split_once('*') else { return key == pattern };
    let position = key.strip_prefix(before).and_then(|rest| rest.strip_suffix(after));
    position.is_some_and(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
}

impl ValueFormat {
    fn check(self, value: &str) -> Result<(), InvalidValue> {
        let is_valid = match self {
            ValueFormat::Number(min, max) => value.parse::<f64>().is_ok_and(|x| x >= min && x <= max),
            ValueFormat::Integer(min, max) => value.parse::<i64>().is_ok_and(|n| n >= min && n <= max),
            ValueFormat::Flag => value.parse::<bool>().is_ok(),
            ValueFormat::Text => true,
            ValueFormat::Word(words) => words.contains(&value),
            ValueFormat::List(format) => return value.split(',').try_for_each(|item| format.check(item)),
        };
        if is_valid { Ok(()) } else { Err(InvalidValue { value: value.to_string(), format: self }) }
    }
}

impl fmt::Display for ValueFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueFormat::Number(min, max) => write!(f, "a number from {min} to {max}"),
            ValueFormat::Integer(min, max) => write!(f, "a whole number from {min} to {max}"),
            ValueFormat::Flag => f.write_str("true or false"),
            ValueFormat::Text => f.write_str("a text"),
            ValueFormat::Word(words) => f.write_str(&words.join(", ")),
            ValueFormat::List(format) => write!(f, "a list of {format}"),
        }
    }
}
