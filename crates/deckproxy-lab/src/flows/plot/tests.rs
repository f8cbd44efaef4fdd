use super::{Rates, Span};

#[test]
fn stacked_rates_add_up_to_the_bytes_of_the_spans() {
    let keys = vec!["a".to_string()];
    let span = |key: &str, start, end, bytes| Span { key: key.to_string(), start, end, bytes };
    let spans = [
        span("a", 1_000, 61_000, 6000),
        span("a", 5_000, 5_000, 77),
        span("b", 60_999, 61_000, 5),
        span("b", 1_000, 1_001, 11),
    ];
    let rates = Rates::of(&keys, &spans);
    assert_eq!(rates.start, 1000);
    let sum = |row: &[f64]| row.iter().sum::<f64>() * rates.bucket_ms / 1000.0;
    assert!((sum(&rates.rows[0]) - 6077.0).abs() < 1e-6, "{}", sum(&rates.rows[0]));
    assert!((sum(&rates.rows[1]) - 16.0).abs() < 1e-6, "{}", sum(&rates.rows[1]));
}
