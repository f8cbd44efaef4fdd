//! Messages between clients and the gateway.

use crate::protocol::downstream::error::RequestError;
use bytes::Bytes;

/// The name of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectId {
    /// The name as received and forwarded: 16 hex digits.
    pub text: Box<str>,
    /// The value of the digits.
    pub number: u64,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The client's name for it, 16 hex digits; forwarded to members.
    pub name: Box<str>,
    /// The name of its class.
    pub class: Box<str>,
    /// How long the client waits for the answer, ms.
    pub timeout: f64,
    /// The idempotency key, if the class has one.
    pub idempotency_key: Option<Box<str>>,
    /// The object.
    pub object: ObjectId,
    /// The part of the object, if set.
    pub part: Option<u32>,
    /// The object's group.
    pub group: u32,
    /// The part's size in KB, if set.
    pub size_kb: Option<f64>,
    /// The tag of the copy that the client has cached.
    pub cached_tag: Option<Box<str>>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The body.
    pub body: Bytes,
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request.
    Call {
        /// The client's id for it.
        id: u32,
        /// The request.
        call: Box<Call>,
    },
    /// A ping with its id, which asks whether the gateway is ready.
    Ping(u32),
    /// A cancellation of the requests with these ids.
    Cancel(Vec<u32>),
    /// An invalid request.
    Invalid {
        /// The client's id for it.
        id: u32,
        /// Why it is invalid.
        error: RequestError,
    },
    /// A notification that the gateway does not use.
    Ignored,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the body.
    Served(Bytes),
    /// The client's cached copy is current.
    NotModified,
    /// Rejected, with the time after which to retry in ms; below 1, none is sent.
    Rejected(f64),
    /// Failed.
    Failed,
    /// The request was invalid.
    Invalid(RequestError),
}
