use super::*;
use proptest::prelude::*;

#[test]
fn expressions_evaluate_with_the_usual_precedence() {
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
        assert!((parse(text).unwrap().evaluate(t) - want).abs() < 1e-12, "{text}");
    }
}

#[test]
fn errors_name_their_column() {
    for (text, column, what) in [
        ("1 +", 4, "a number"),
        ("cos(t)", 4, "sin, exp"),
        ("sin(t, 1)", 10, "as many"),
        ("(1", 3, ")"),
        ("1 2", 3, "an operator"),
    ] {
        let error = parse(text).unwrap_err().to_string();
        assert!(error.starts_with(&format!("column {column}: ")) && error.contains(what), "{text}: {error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in "[t0-9 ().,+*/<>a-z-]{0,60}") {
        let _ = parse(&text).map(|e| e.evaluate(1.0));
    }
}
