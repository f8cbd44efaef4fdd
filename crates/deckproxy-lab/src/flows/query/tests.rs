use super::parse;
use crate::flows::record::Record;
use proptest::prelude::*;

fn record() -> Record {
    Record {
        leg: "client".into(),
        class: "page".into(),
        client: Some("10.1.2.0/24".parse().unwrap()),
        link: "south".into(),
        out: 2_000_000,
        requests: 7,
        p99: 12_500,
        ..Record::default()
    }
}

fn matches(text: &str) -> bool {
    parse(text).unwrap_or_else(|e| panic!("{e}")).matches(&record())
}

#[test]
fn filters_compare_fields_and_bind_by_precedence() {
    let good = [
        "class = page",
        "class=page and out > 1.9MB",
        "client in 10.0.0.0/8 and not class = once",
        "class = once or class = page and requests >= 7",
        "(class = once or class = page) and p99 < 13ms",
        "p99 > 0.012s",
        "link ~ out and link != \"north side\"",
        "not not class=page",
        "client = 10.1.2.0/24;",
        "box = \"\"",
    ];
    for text in &good {
        assert!(matches(text), "{text}");
    }
    let bad =
        ["class != page", "client in 10.1.2.3", "out <= 1999kB", "class = once and class = page or back > 0"];
    for text in &bad {
        assert!(!matches(text), "{text}");
    }
}

#[test]
fn syntax_error_names_the_column_and_what_was_expected() {
    let cases = [
        ("clas = page", 1, "a field: client"),
        ("class page", 7, "=, != or ~"),
        ("class = page and", 17, "a field"),
        ("out > much", 7, "a number"),
        ("out > 5MBx", 10, "a number"),
        ("client in 10.0.0.0/40", 11, "an address or prefix"),
        ("(class = page", 14, ") at the end"),
        ("class = \"page", 14, "\" at the end"),
        ("class = page classy", 14, "and, or, or the end"),
        ("not", 4, "a field"),
        ("", 1, "a field"),
    ];
    for (text, column, expected) in cases {
        let fault = parse(text).unwrap_err().to_string();
        let first = fault.lines().next().unwrap();
        assert!(
            first.starts_with(&format!("column {column}: ")) && first.contains(expected),
            "{text}: {fault}"
        );
    }
    assert!(parse(&"(".repeat(100_000)).unwrap_err().to_string().contains("are the most"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in "[a-z0-9 ()=<>!~\"./]{0,60}", more in ".{0,20}") {
        let _ = parse(&text);
        let _ = parse(&format!("class = page and {more}"));
    }
}
