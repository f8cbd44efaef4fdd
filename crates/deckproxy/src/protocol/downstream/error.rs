//! What can be wrong with a client's message.

use deckproxy_sites::site::Unroutable;
use std::fmt;

/// What is wrong with a message or a request. Its text goes to the client as the reason, and to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// A byte that MessagePack reserves.
    ReservedByte,
    /// The value is not a message.
    NotAMessage,
    /// The message is longer, or holds more values, than the limit.
    MessageTooLarge,
    /// The message is neither a request nor a notification.
    UnknownMessageKind,
    /// The notification of a cancellation has no list of ids.
    CancelWithoutIds,
    /// The notification of a cancellation has something else than an id in its list.
    CancelOfNoId,
    /// A value ends before its length.
    ValueCutShort,
    /// A field's name or value is not a text.
    NotAText,
    /// The parameters are not a pair of fields and a body.
    BadParameters,
    /// The fields are not a map.
    FieldsNotAMap,
    /// A field's value is not allowed; the field's name on the wire.
    Field(&'static str),
    /// A required field is missing.
    FieldMissing,
    /// The body is not binary.
    BodyNotBinary,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body ends before its length.
    BodyCutShort,
    /// The size or the timeout of a request from another site is out of range.
    SizeOrTimeoutOutOfRange,
    /// The class is not in the settings.
    UnknownClass,
    /// An idempotency key is missing, or given in a class without one.
    IdempotencyKey,
    /// The timeout is over the class's deadline.
    TimeoutOutOfRange,
    /// The size is over what the class's deadline allows for.
    SizeOutOfRange,
    /// Another open request has the same name.
    NameInUse,
    /// The ids of the connection's requests do not start at 1 and count up.
    IdOutOfSequence,
    /// Another site found the request invalid.
    InvalidAtOtherSite,
    /// The request can't be routed to any site.
    Unroutable(Unroutable),
}

impl RequestError {
    /// The reason as it is given to clients and in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestError::ReservedByte => "a reserved byte",
            RequestError::NotAMessage => "not a message",
            RequestError::MessageTooLarge => "a message over the limit",
            RequestError::UnknownMessageKind => "neither a request nor a notification",
            RequestError::CancelWithoutIds => "abort without ids",
            RequestError::CancelOfNoId => "abort of no id",
            RequestError::ValueCutShort => "a value cut short",
            RequestError::NotAText => "not a text",
            RequestError::BadParameters => "parameters are not fields and a body",
            RequestError::FieldsNotAMap => "fields are not a map",
            RequestError::Field(name) => name,
            RequestError::FieldMissing => "ref, lookup or allow is missing",
            RequestError::BodyNotBinary => "the body is not binary",
            RequestError::BodyTooLarge => "the body is over the limit",
            RequestError::BodyCutShort => "the body is cut short",
            RequestError::SizeOrTimeoutOutOfRange => "size or allow is out of range",
            RequestError::UnknownClass => "an unknown class",
            RequestError::IdempotencyKey => "replay: in keyed classes and in no other",
            RequestError::TimeoutOutOfRange => "allow is over the class's longest time",
            RequestError::SizeOutOfRange => "room is out of range",
            RequestError::NameInUse => "ref is in use",
            RequestError::IdOutOfSequence => "message ids do not start at 1 and count up",
            RequestError::InvalidAtOtherSite => "the other site can't use it",
            RequestError::Unroutable(reason) => reason.as_str(),
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for RequestError {}

/// Nothing further that comes on the connection can be decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtocolError {
    /// What was wrong.
    pub error: RequestError,
    /// The id of the request that was being read, if it could be.
    pub request_id: Option<u32>,
}
