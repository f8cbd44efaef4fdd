//! Conversion of a flow to a record: its values in the order of the template's fields.

use crate::codec::{Value, elements};
use crate::meter::{EndReason, Flow, Leg, Outcome};
use bytes::Bytes;
use ipnet::IpNet;
use std::net::IpAddr;

/// The values of a flow's record. `name` returns the name with a given number.
pub(super) fn flow_record<'a>(flow: &Flow, name: &impl Fn(u32) -> &'a str) -> Vec<Value> {
    let (address, prefix_length) = client(flow.key.client);
    let counts = &flow.counts;
    vec![
        address,
        Value::Number(u64::from(prefix_length)),
        Value::Number(counts.bytes_to_client),
        Value::Number(counts.bytes_from_client),
        Value::Number(counts.requests),
        Value::Number(counts.first),
        Value::Number(counts.last),
        Value::Number(end_reason(flow.reason)),
        text(name(flow.key.class)),
        text(name(flow.key.member)),
        text(name(flow.key.site)),
        text(outcome(flow.key.outcome)),
        Value::Number(counts.p99()),
        Value::Number(u64::from(flow.key.folded)),
        Value::text(leg(flow.key.leg)),
    ]
}

/// A client's address and the length of its prefix.
fn client(client: Option<IpNet>) -> (Value, u8) {
    let Some(net) = client else { return (Value::Number(0), 0) };
    let address = match net.addr() {
        IpAddr::V4(v4) => Bytes::copy_from_slice(&v4.octets()),
        IpAddr::V6(v6) => Bytes::copy_from_slice(&v6.octets()),
    };
    (Value::Bytes(address), net.prefix_len())
}

/// A text value; an empty text becomes [`elements::NO_VALUE`], as some decoders discard a set with an empty text.
fn text(text: &str) -> Value {
    Value::text(if text.is_empty() { elements::NO_VALUE } else { text })
}

fn outcome(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        None => "",
        Some(Outcome::Served) => "served",
        Some(Outcome::Rejected) => "refused",
        Some(Outcome::Failed) => "failed",
        Some(Outcome::Canceled) => "cut",
        Some(Outcome::Invalid) => "unusable",
        Some(Outcome::CacheMiss) => "missed",
    }
}

fn leg(leg: Leg) -> &'static str {
    match leg {
        Leg::Client => "client",
        Leg::Member => "member",
        Leg::Link => "link",
    }
}

/// The number of the end reason in IANA's registry (flowEndReason, 136).
fn end_reason(reason: EndReason) -> u64 {
    match reason {
        EndReason::Idle => 1,
        EndReason::Active => 2,
        EndReason::End => 4,
    }
}
