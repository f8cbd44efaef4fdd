//! Batches in which an instance shares the requests that it rejected.

use super::rejected_requests::Rejection;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// Most rejections in a batch, so that it fits into an entry of the gossip store.
pub const BATCH_SIZE: usize = 36;
/// Bytes of a rejection: four of the request's number, one of the retry-after time.
const BYTES_EACH: usize = 5;
/// Unit of retry-after times in a batch, in milliseconds.
const TIME_UNIT: Millis = 20.0;
/// Largest retry-after time in a batch, in units.
const LONGEST: u8 = 127;
/// Bit of the time's byte that marks a reserved one.
const RESERVED: u8 = 128;

/// Rejections of one instance. The order of the fields is the wire format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RejectionBatch {
    /// Its number, one more each time.
    pub number: u64,
    /// Five bytes each: the request's number, little-endian; then the time from when the batch was made to the retry-after
    /// time in units of 20 ms, with the highest bit set where that is reserved.
    pub rejections: Vec<u8>,
}

/// A rejected request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectedRequest {
    /// The request's number ([`super::priority::DrawKey::request_id`]).
    pub request: u32,
    /// The rejection.
    pub rejection: Rejection,
}

impl RejectionBatch {
    /// Encodes rejections at the time `now`.
    pub fn encode(now: Millis, number: u64, rejected: impl Iterator<Item = RejectedRequest>) -> Self {
        let rejections = rejected.flat_map(|RejectedRequest { request, rejection }| {
            let units = ((rejection.retry_at - now) / TIME_UNIT).ceil().clamp(0.0, f64::from(LONGEST)) as u8;
            let time = if rejection.is_reserved { units | RESERVED } else { units };
            let [a, b, c, d] = request.to_le_bytes();
            [a, b, c, d, time]
        });
        RejectionBatch { number, rejections: rejections.collect() }
    }

    /// Decodes the rejections of a batch that was made at the time `made_at`.
    pub fn decode(&self, made_at: Millis) -> impl Iterator<Item = RejectedRequest> + '_ {
        self.rejections.chunks_exact(BYTES_EACH).filter_map(move |bytes| {
            let (request, time) = bytes.split_first_chunk::<4>()?;
            let time = *time.first()?;
            Some(RejectedRequest {
                request: u32::from_le_bytes(*request),
                rejection: Rejection {
                    retry_at: made_at + f64::from(time & LONGEST) * TIME_UNIT,
                    is_reserved: time & RESERVED != 0,
                    may_have_run: false,
                },
            })
        })
    }
}
