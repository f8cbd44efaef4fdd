//! Accounting of attempts in flight to members.

use super::{Micros, RequestSource, millis};
use crate::meter::{Key, Leg, Meter, NameId, Outcome, Update};
use ahash::RandomState;
use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    source: RequestSource,
    member: NameId,
    /// Bytes written to the member.
    bytes_written: u64,
    started_at: Micros,
}

/// The attempts in flight, by key. An attempt is counted when it ends, with the bytes written for it so far.
#[derive(Debug, Default)]
pub struct Attempts {
    in_flight: HashMap<u64, Attempt, RandomState>,
}

impl Attempts {
    /// An attempt was started.
    pub fn started(&mut self, now: Micros, key: u64, source: RequestSource, member: NameId) {
        self.in_flight.insert(key, Attempt { source, member, bytes_written: 0, started_at: now });
    }

    /// Bytes were written to a member for the attempt with this key. Returns whether the attempt is in
    /// flight; if not, the caller must count the bytes with [`Attempts::count_other_bytes`].
    pub fn bytes_written(&mut self, key: u64, bytes: u64) -> bool {
        let Some(attempt) = self.in_flight.get_mut(&key) else { return false };
        attempt.bytes_written += bytes;
        true
    }

    /// An attempt ended, with an answer of `answer_bytes` bytes, or without an answer (0). An attempt without
    /// any bytes was never sent and isn't counted. Returns whether the attempt was in flight.
    pub fn ended(
        &mut self,
        meter: &mut Meter,
        now: Micros,
        key: u64,
        outcome: Outcome,
        answer_bytes: u64,
    ) -> bool {
        let Some(attempt) = self.in_flight.remove(&key) else { return false };
        if attempt.bytes_written == 0 && answer_bytes == 0 {
            return true;
        }
        let RequestSource { client, class, site } = attempt.source;
        let member = attempt.member;
        let flow = Key { client, class, site, member, outcome: Some(outcome), ..Key::of(Leg::Member) };
        let latency = Some(now.saturating_sub(attempt.started_at));
        let update = Update {
            bytes_to_client: answer_bytes,
            bytes_from_client: attempt.bytes_written,
            requests: 1,
            latency,
        };
        meter.count(millis(now), flow, &update);
        true
    }

    /// Counts bytes received from and sent to a member that belong to no attempt in flight: health checks,
    /// cancellations and late answers.
    pub fn count_other_bytes(meter: &mut Meter, now: Micros, member: NameId, received: u64, sent: u64) {
        if received + sent > 0 {
            let flow = Key { member, ..Key::of(Leg::Member) };
            meter.count(
                millis(now),
                flow,
                &Update { bytes_to_client: received, bytes_from_client: sent, ..Update::default() },
            );
        }
    }

    /// The number of attempts in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
