//! Errors in clients' messages.

use deckproxy_sites::site::Unroutable;
use std::fmt;

/// Why a message or a request is invalid. The text is sent to the client as the reason, and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// A byte that is reserved in MessagePack.
    ReservedByte,
    /// The value is not a message.
    NotAMessage,
    /// The message exceeds the limit of its length or of its number of values.
    MessageTooLarge,
    /// The message is neither a request nor a notification.
    UnknownMessageKind,
    /// A cancellation has no list of ids.
    CancelIdsMissing,
    /// The list of a cancellation contains a value that is not an id.
    InvalidCancelId,
    /// A value is shorter than its declared length.
    ValueCutShort,
    /// The method or a field's value is not a string.
    NotAString,
    /// The parameters are not a pair of fields and a body.
    BadParameters,
    /// The fields are not a map.
    FieldsNotAMap,
    /// The value of the field with this name on the wire is not allowed.
    Field(&'static str),
    /// A required field is missing, or the timeout is 0.
    FieldMissing,
    /// The body is not binary.
    BodyNotBinary,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body is shorter than its declared length.
    BodyCutShort,
    /// The size or the timeout of a request from another site is out of range.
    SizeOrTimeoutOutOfRange,
    /// The class is not in the settings.
    UnknownClass,
    /// An idempotency key is missing, or set in a class without idempotency keys.
    IdempotencyKey,
    /// The timeout exceeds the class's deadline by more than `limits::SOCKET_SLACK`.
    TimeoutOutOfRange,
    /// The size exceeds what the class's deadline allows.
    SizeOutOfRange,
    /// Another open request has the same name.
    NameInUse,
    /// The ids of the connection's requests do not start at 1 and increase by one.
    IdOutOfSequence,
    /// Another site rejected the request as invalid.
    InvalidAtOtherSite,
    /// The request can't be routed to any site.
    Unroutable(Unroutable),
}

impl RequestError {
    /// The reason as it is sent to clients and logged.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestError::ReservedByte => "a reserved byte",
            RequestError::NotAMessage => "not a message",
            RequestError::MessageTooLarge => "a message over the limit",
            RequestError::UnknownMessageKind => "neither a request nor a notification",
            RequestError::CancelIdsMissing => "abort without ids",
            RequestError::InvalidCancelId => "abort of no id",
            RequestError::ValueCutShort => "a value cut short",
            RequestError::NotAString => "not a text",
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

/// A message can't be decoded; nor can anything that follows on the connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtocolError {
    /// The error in the message.
    pub error: RequestError,
    /// The id of the request that was being decoded, if it could be read.
    pub request_id: Option<u32>,
}
