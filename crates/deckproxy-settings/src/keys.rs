//! The keys that are read, and what each may hold.

/// What a key may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// A finite number within these bounds, both allowed.
    Number(f64, f64),
    /// A whole number within these bounds, both allowed.
    Whole(i64, i64),
    /// `true` or `false`.
    Flag,
    /// Any text.
    Text,
    /// One of these words.
    Word(&'static [&'static str]),
    /// A list with commas between, of one of the other forms.
    List(&'static Form),
}

/// The longest span, ms, and the largest plain number that is taken: beyond is a slip of the pen.
const MOST: f64 = 1e9;
const SPAN: Form = Form::Number(0.0, MOST);
const SHARE: Form = Form::Number(0.0, 1.0);
const PLACE: Form = Form::Whole(-1, u32::MAX as i64);
const COUNT: Form = Form::Whole(0, u32::MAX as i64);

/// Every key that is read; `*` stands for the place of a class.
pub const KEYS: &[(&str, Form)] = &[
    ("discovery", Form::Word(&["pushed", "on_request"])),
    ("familyInfo.agedWorth", Form::List(&SHARE)),
    ("familyInfo.bypassAllowed", Form::Flag),
    ("familyInfo.canJoin", Form::Flag),
    ("familyInfo.clearedWithinMs", SPAN),
    ("familyInfo.flowKbPerS", SPAN),
    ("familyInfo.goesThrough", Form::List(&Form::Flag)),
    ("familyInfo.inletKbPerS", Form::List(&SPAN)),
    ("familyInfo.maxAgeMs", Form::List(&SPAN)),
    ("familyInfo.obeyAfterMs", SPAN),
    ("familyInfo.parentFallMultiple", SPAN),
    ("familyInfo.shieldKind", PLACE),
    ("familyInfo.sideways", Form::Word(&["none", "location", "any"])),
    ("familyInfo.sourceKind", PLACE),
    ("familyInfo.upperColdFrom", SHARE),
    ("familyInfo.upperColdMs", SPAN),
    ("familyInfo.usableAfterMs", Form::List(&SPAN)),
    ("familyInfo.zoneBalancers", Form::List(&COUNT)),
    ("groupSize", COUNT),
    ("limits.cancel", Form::Flag),
    ("limits.connIdleMs", SPAN),
    ("limits.connectTimeoutMs", SPAN),
    ("limits.maxOpen", COUNT),
    ("limits.maxRetryAfterMs", SPAN),
    ("limits.maxStreams", Form::Whole(1, u32::MAX as i64)),
    ("limits.probes", Form::Flag),
    ("limits.retryAfter", Form::Flag),
    ("limits.secondCopies", Form::Flag),
    ("limits.sendCap", COUNT),
    ("locality", PLACE),
    ("machineTypes", Form::List(&Form::Text)),
    ("position", PLACE),
    ("report.fields", Form::List(&Form::Text)),
    ("rules.answerSlackMs", SPAN),
    ("rules.coldFrom", SHARE),
    ("rules.drainGraceMs", SPAN),
    ("rules.fallMs", SPAN),
    ("rules.fallMultiple", SPAN),
    ("rules.rampTimeMs", SPAN),
    // More classes than a request can name.
    ("services.count", Form::Whole(0, 256)),
    ("services.*.aimMs", SPAN),
    ("services.*.aimStretch", SPAN),
    ("services.*.deadlineMs", SPAN),
    ("services.*.dedupWindowMs", SPAN),
    ("services.*.effect", Form::Word(&["retryable", "dedup", "fragile"])),
    ("services.*.group", Form::Word(&["all", "zone", "cell"])),
    ("services.*.importance", SPAN),
    ("services.*.lateShare", SHARE),
    ("services.*.name", Form::Text),
    ("services.*.stream", Form::Flag),
    ("weightKind", Form::Word(&["none", "nominal", "rough", "live"])),
    ("zones", Form::List(&Form::Text)),
];

/// The form of a key, where it is read.
pub fn form(key: &str) -> Option<Form> {
    let class = |known: &str| {
        let (before, after) = known.split_once('*')?;
        let place = key.strip_prefix(before)?.strip_suffix(after)?;
        (!place.is_empty() && place.bytes().all(|b| b.is_ascii_digit())).then_some(())
    };
    KEYS.iter().find(|(known, _)| *known == key || class(known).is_some()).map(|(_, form)| *form)
}

/// What is wrong with a key's value, and what is allowed; nothing for a key that is not read, or an empty value.
pub fn fault(key: &str, value: &str) -> Option<String> {
    form(key).filter(|_| !value.is_empty()).and_then(|form| form.fault(value))
}

impl Form {
    fn fault(self, value: &str) -> Option<String> {
        let good = match self {
            Form::Number(least, most) => value.parse::<f64>().is_ok_and(|x| x >= least && x <= most),
            Form::Whole(least, most) => value.parse::<i64>().is_ok_and(|n| n >= least && n <= most),
            Form::Flag => value.parse::<bool>().is_ok(),
            Form::Text => true,
            Form::Word(words) => words.contains(&value),
            Form::List(form) => return value.split(',').find_map(|item| form.fault(item)),
        };
        (!good).then(|| format!("{value:?} is not allowed; allowed: {}", self.allowed()))
    }

    fn allowed(self) -> String {
        match self {
            Form::Number(least, most) => format!("a number from {least} to {most}"),
            Form::Whole(least, most) => format!("a whole number from {least} to {most}"),
            Form::Flag => "true or false".to_string(),
            Form::Text => "a text".to_string(),
            Form::Word(words) => words.join(", "),
            Form::List(form) => format!("a list of {}", form.allowed()),
        }
    }
}
