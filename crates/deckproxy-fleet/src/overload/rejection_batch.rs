//! Batches by which an instance shares the requests that it rejected.

use super::rejected_requests::Rejection;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// Maximum number of rejections in a batch, so that it fits into an entry of the gossip store.
pub const BATCH_SIZE: usize = 36;
/// Encoded size of a rejection, in bytes: four for the request's identifier, one for the retry-after time.
const REJECTION_BYTES: usize = 5;
/// Unit of retry-after times in a batch, in milliseconds.
const TIME_UNIT: Millis = 20.0;
/// Largest retry-after time in a batch, in units of [`TIME_UNIT`].
const MAX_TIME_UNITS: u8 = 127;
/// Bit of the time byte that marks a reserved time.
const RESERVED_BIT: u8 = 128;

/// Rejections by one instance. The order of the fields is the wire format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RejectionBatch {
    /// Number of the batch; consecutive for each author.
    pub number: u64,
    /// Five bytes for each rejection: the request's identifier, little-endian; then the time from the creation of the batch
    /// to the retry-after time, in units of 20 ms, with the highest bit set if that time is reserved.
    pub rejections: Vec<u8>,
}

/// A rejected request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RejectedRequest {
    /// Identifier of the request ([`super::priority::DrawKey::request_id`]).
    pub request: u32,
    /// State of the rejected request.
    pub rejection: Rejection,
}

impl RejectionBatch {
    /// Encodes rejections at the time `now`.
    pub fn encode(now: Millis, number: u64, rejected: impl Iterator<Item = RejectedRequest>) -> Self {
        let rejections = rejected.flat_map(|RejectedRequest { request, rejection }| {
            let units =
                ((rejection.retry_at - now) / TIME_UNIT).ceil().clamp(0.0, f64::from(MAX_TIME_UNITS)) as u8;
            let time = if rejection.is_reserved { units | RESERVED_BIT } else { units };
            let [a, b, c, d] = request.to_le_bytes();
            [a, b, c, d, time]
        });
        RejectionBatch { number, rejections: rejections.collect() }
    }

    /// Decodes the rejections of a batch that was created at the time `created_at`.
    pub fn decode(&self, created_at: Millis) -> impl Iterator<Item = RejectedRequest> + '_ {
        self.rejections.chunks_exact(REJECTION_BYTES).filter_map(move |bytes| {
            let (request, time) = bytes.split_first_chunk::<4>()?;
            let time = *time.first()?;
            Some(RejectedRequest {
                request: u32::from_le_bytes(*request),
                rejection: Rejection {
                    retry_at: created_at + f64::from(time & MAX_TIME_UNITS) * TIME_UNIT,
                    is_reserved: time & RESERVED_BIT != 0,
                    may_have_run: false,
                },
            })
        })
    }
}
