//! Latencies of requests that were served.

/// Times from requests to their being served, ms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Latencies(Vec<f64>);

impl Latencies {
    pub(super) fn record(&mut self, latency_ms: f64) {
        self.0.push(latency_ms);
    }

    pub(super) fn sort(&mut self) {
        self.0.sort_by(f64::total_cmp);
    }

    /// All of them in ascending order, ms.
    pub fn as_slice(&self) -> &[f64] {
        &self.0
    }

    /// A quantile (0 to 1), ms; 0 without any.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let index = ((self.0.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
        self.0.get(index).copied().unwrap_or(0.0)
    }
}
