//! Encoding of messages to members.

use crate::protocol::downstream::Call;
use crate::protocol::upstream::message::AttemptOptions;
use bytes::Bytes;
use std::fmt::Write;

/// Encodes an attempt as three buffers: the bytes before its body, the body, and the bytes after it.
pub fn encode_attempt(call: &Call, options: &AttemptOptions) -> [Bytes; 3] {
    let fields = fields(call, options);
    let mut head = String::with_capacity(fields.len() + 64);
    // Writing to a string can't fail.
    let _ = write!(head, "*4\r\n$3\r\nASK\r\n${}\r\n{}\r\n", call.name.len(), call.name);
    let _ = write!(head, "${}\r\n{fields}\r\n${}\r\n", fields.len(), call.body.len());
    [head.into(), call.body.clone(), Bytes::from_static(b"\r\n")]
}

/// The fields of an attempt, with the names and in the order of the protocol.
fn fields(call: &Call, options: &AttemptOptions) -> String {
    let mut fields = format!("lane={},name={}", call.class, call.object.text);
    // Writing to a string can't fail.
    if let Some(part) = call.part {
        let _ = write!(fields, ",piece={part}");
    }
    let _ = write!(fields, ",ttl={:.0}", options.timeout.floor().max(1.0));
    if let Some(key) = &call.idempotency_key {
        let _ = write!(fields, ",dedupe={key}");
    }
    if let Some(source) = &options.source {
        let _ = write!(fields, ",miss={source}");
    }
    if options.copy_rank > 0 {
        let _ = write!(fields, ",prio={}", options.copy_rank);
    }
    if options.max_age > 0.0 {
        // Rounded down, as no copy may be older than the maximum age. A value below 1 would be read as no bound.
        let _ = write!(fields, ",within={:.0}", options.max_age.floor().max(1.0));
    }
    let flags = flags(options);
    if !flags.is_empty() {
        let _ = write!(fields, ",f={}", flags.join("+"));
    }
    if let Some(tag) = &call.cached_tag {
        let _ = write!(fields, ",mine={tag}");
    }
    fields
}

fn flags(options: &AttemptOptions) -> Vec<&'static str> {
    let flags = [
        (options.join, "merge"),
        (options.cached_only, "local"),
        (options.no_parent_copy, "skip"),
        (options.renew, "revalidate"),
    ];
    flags.into_iter().filter(|(is_set, _)| *is_set).map(|(_, name)| name).collect()
}

/// Encodes a command with one argument.
fn command(name: &str, argument: &str) -> Bytes {
    format!("*2\r\n${}\r\n{name}\r\n${}\r\n{argument}\r\n", name.len(), argument.len()).into()
}

/// Encodes the cancellation of a request, by its name.
pub fn encode_cancel(name: &str) -> Bytes {
    command("QUIT", name)
}

/// Encodes a health check with a tag that its answer repeats.
pub fn encode_health_check(tag: &str) -> Bytes {
    command("INFO", tag)
}
