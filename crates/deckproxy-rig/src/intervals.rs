//! Counts of events over spans of time.

/// The most of these times that lie within any span of a length. The times ascend.
pub fn most_within(times: &[f64], span: f64) -> usize {
    let within = |(i, at): (usize, &f64)| times[i..].iter().take_while(|time| **time < at + span).count();
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// The longest time between `from` and `to` without any of these times, which ascend.
pub fn longest_gap(times: &[f64], from: f64, to: f64) -> f64 {
    let mut last = from;
    let mut longest: f64 = 0.0;
    for at in times.iter().copied().filter(|at| (from..=to).contains(at)).chain([to]) {
        longest = longest.max(at - last);
        last = at;
    }
    longest
}
