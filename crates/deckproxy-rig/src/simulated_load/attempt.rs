//! Requests of clients, and their attempts at instances.

use deckproxy_fleet::Millis;

/// An attempt that came to an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// When it came, ms.
    pub at: Millis,
    /// The instance.
    pub instance: usize,
    /// The client.
    pub client: u64,
    /// Number of the request that it is an attempt of.
    pub request: u64,
    /// The class of the request: 0, or 1 for the higher one.
    pub class: usize,
    /// When the request was wanted, ms.
    pub requested_at: Millis,
    /// The object is one that caches hold.
    pub is_popular: bool,
    /// Attempts of the same request before it.
    pub earlier_attempts: u32,
    /// The instance admitted it.
    pub admitted: bool,
    /// It was served.
    pub served: bool,
    /// It came at the time that a Retry-After had named.
    pub after_retry_after: bool,
}

/// A request that a client wants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) client: u64,
    pub(super) class: usize,
    pub(super) object: u64,
    pub(super) is_popular: bool,
    pub(super) requested_at: Millis,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// The next attempt is made at the time that a Retry-After named.
    pub(super) after_retry_after: bool,
}

impl Request {
    /// Its number: no other request of a run is likely to have the same.
    pub(super) fn number(&self) -> u64 {
        self.object ^ self.client << 20 ^ (self.requested_at as u64) << 40
    }

    /// The time until its client gives up, ms.
    pub(super) fn time_left(&self, now: Millis, timeout: Millis) -> Millis {
        self.requested_at + timeout - now
    }

    /// An attempt of it at an instance, which has not admitted it so far.
    pub(super) fn attempt_at(&self, now: Millis, instance: usize) -> Attempt {
        Attempt {
            at: now,
            instance,
            client: self.client,
            request: self.number(),
            class: self.class,
            requested_at: self.requested_at,
            is_popular: self.is_popular,
            earlier_attempts: self.attempts,
            admitted: false,
            served: false,
            after_retry_after: self.after_retry_after,
        }
    }
}

/// The next attempt of a request, at an instance.
pub(super) struct Retry {
    pub(super) request: Request,
    pub(super) instance: usize,
}
