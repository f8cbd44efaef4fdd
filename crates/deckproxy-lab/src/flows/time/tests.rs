use super::*;

#[test]
fn times_are_absolute_or_a_duration_before_now() {
    let now = UNIX_EPOCH + Duration::from_secs(1_764_576_000);
    assert_eq!(parse("2025-12-01T08:00:00Z", now), Ok(1_764_576_000_000));
    assert_eq!(parse("15m", now), Ok(1_764_575_100_000));
    assert_eq!(parse("-1h", now), Ok(1_764_572_400_000));
    assert!(parse("soon", now).unwrap_err().to_string().contains("expected a time"));
}
