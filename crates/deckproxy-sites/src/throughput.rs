//! Estimates of the link to an endpoint: its round trip time, its throughput, and whether a response would meet its
//! deadline.

use crate::Millis;

/// Weight of a new sample in the moving average of the round trip time.
const ROUND_TRIP_WEIGHT: f64 = 0.2;
/// Bytes received per throughput sample.
const SAMPLE_BYTES: f64 = 64.0 * 1024.0;
/// Length of a sample window, ms. The estimate is the highest sample of the current and the previous window: a lower
/// sample may only mean that the sender was idle. After two windows without a sample the throughput is unknown.
const SAMPLE_WINDOW: Millis = 5000.0;
/// Initial value of the moving average of response sizes, bytes; expected for requests that state no size.
const INITIAL_TYPICAL_SIZE: f64 = 8.0 * 1024.0;
/// Weight of a new response in the moving average of response sizes.
const TYPICAL_SIZE_WEIGHT: f64 = 0.05;
/// Share of the time left that the response to a request of middle priority may take; see
/// [`LinkEstimate::meets_deadline`].
const MIDDLE_PRIORITY_SHARE: f64 = 0.75;
/// Smallest share of the time left that a response may take, whatever the priority.
const MIN_PRIORITY_SHARE: f64 = 0.5;
/// Shortest duration of a throughput sample, ms; bounds the estimate when all bytes of a sample arrive at the same
/// time.
const MIN_SAMPLE_DURATION: Millis = 0.1;
/// Lowest throughput used as a divisor, bytes per ms.
const MIN_THROUGHPUT: f64 = 1e-3;

/// An unfinished throughput sample.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    /// Time spent receiving before `LinkEstimate::receiving_since`, ms.
    elapsed: Millis,
    /// Bytes received.
    bytes: f64,
}

/// Estimates of one link.
#[derive(Clone, Debug)]
pub struct LinkEstimate {
    round_trip: Option<Millis>,
    /// The highest samples of the current and the previous window, bytes per ms.
    best_samples: [Option<f64>; 2],
    window_start: Millis,
    /// Moving average of the sizes of responses, bytes.
    typical_size: f64,
    /// Expected bytes of all responses in flight.
    expected_in_flight: f64,
    /// Partially received bodies. While there is one, the other side has more to send, so the rate at which bytes
    /// arrive is the link's throughput.
    bodies_in_progress: usize,
    receiving_since: Millis,
    sample: Sample,
}

impl Default for LinkEstimate {
    fn default() -> Self {
        LinkEstimate {
            round_trip: None,
            best_samples: [None; 2],
            window_start: 0.0,
            typical_size: INITIAL_TYPICAL_SIZE,
            expected_in_flight: 0.0,
            bodies_in_progress: 0,
            receiving_since: 0.0,
            sample: Sample::default(),
        }
    }
}

impl LinkEstimate {
    /// Records the round trip time of a heartbeat, ms.
    pub fn record_round_trip(&mut self, sample: Millis) {
        let average = self.round_trip.map_or(sample, |old| old + ROUND_TRIP_WEIGHT * (sample - old));
        self.round_trip = Some(average);
    }

    /// The average round trip time, ms; 0 if it is not known yet.
    pub fn round_trip(&self) -> Millis {
        self.round_trip.unwrap_or(0.0)
    }

    /// The throughput, bytes per ms; `None` without a recent sample.
    pub fn bytes_per_ms(&self) -> Option<f64> {
        self.best_samples.iter().flatten().copied().max_by(f64::total_cmp)
    }

    /// Expected size of a response, bytes. `size_kb`: the size stated in the request, KB.
    pub fn expected_bytes(&self, size_kb: Option<f64>) -> f64 {
        size_kb.map_or(self.typical_size, |kb| kb * 1024.0)
    }

    /// Records that an attempt was sent whose response has the given expected size.
    pub fn attempt_sent(&mut self, expected_bytes: f64) {
        self.expected_in_flight += expected_bytes;
    }

    /// Records the end of an attempt. `response_bytes`: the size of its response, if that is complete.
    pub fn attempt_finished(&mut self, expected_bytes: f64, response_bytes: Option<usize>) {
        self.expected_in_flight = (self.expected_in_flight - expected_bytes).max(0.0);
        if let Some(size) = response_bytes {
            self.typical_size += TYPICAL_SIZE_WEIGHT * (size as f64 - self.typical_size);
        }
    }

    /// Records that the first of several chunks of a body was received.
    pub fn body_started(&mut self, now: Millis) {
        if self.bodies_in_progress == 0 {
            self.receiving_since = now;
        }
        self.bodies_in_progress += 1;
    }

    /// Records that a body of several chunks is complete, or that its transfer was abandoned.
    pub fn body_ended(&mut self, now: Millis) {
        self.bodies_in_progress = self.bodies_in_progress.saturating_sub(1);
        if self.bodies_in_progress == 0 {
            self.sample.elapsed += now - self.receiving_since;
        }
    }

    /// Records received bytes of bodies.
    pub fn bytes_received(&mut self, now: Millis, bytes: usize) {
        if self.bodies_in_progress == 0 {
            return;
        }
        self.sample.bytes += bytes as f64;
        let elapsed = self.sample.elapsed + now - self.receiving_since;
        if self.sample.bytes >= SAMPLE_BYTES && elapsed > 0.0 {
            let throughput = self.sample.bytes / elapsed.max(MIN_SAMPLE_DURATION);
            let best = self.best_samples[0].map_or(throughput, |best| best.max(throughput));
            self.best_samples[0] = Some(best);
            self.receiving_since = now;
            self.sample = Sample::default();
        }
    }

    /// Starts a new sample window once the current one has ended.
    pub fn tick(&mut self, now: Millis) {
        if now - self.window_start >= SAMPLE_WINDOW {
            self.best_samples = [None, self.best_samples[0]];
            self.window_start = now;
        }
    }

    /// Expected time until a response of the given size is completely received, ms.
    pub fn expected_wait(&self, bytes: f64) -> Millis {
        let transfer = self
            .bytes_per_ms()
            .map_or(0.0, |throughput| (self.expected_in_flight + bytes) / throughput.max(MIN_THROUGHPUT));
        self.round_trip() + transfer
    }

    /// Whether a response of the given size would meet its deadline. The response to a request of high priority may
    /// take a larger share of the time left, so that a saturated link sheds requests of low priority first.
    /// `priority_rank`: 0 for the class of lowest priority, 1 for the highest.
    pub fn meets_deadline(&self, bytes: f64, time_left: Millis, priority_rank: f64) -> bool {
        let share = MIDDLE_PRIORITY_SHARE + (1.0 - MIDDLE_PRIORITY_SHARE) * (2.0 * priority_rank - 1.0);
        self.expected_wait(bytes) <= time_left * share.clamp(MIN_PRIORITY_SHARE, 1.0)
    }

    /// Records the loss of the link: partially received bodies restart from their first byte.
    pub fn connection_lost(&mut self) {
        self.bodies_in_progress = 0;
        self.sample = Sample::default();
    }
}
