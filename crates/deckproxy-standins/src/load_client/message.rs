//! The messages between a load client and a gateway.

use super::RequestSpec;
use crate::record::{Outcome, Stamp};
use crate::site::object_size;
use rmpv::Value;

/// Bytes of the body of a request other than a page's.
const BODY_SIZE: usize = 200;

/// The id of the request that a message answers, and how it was answered; `None` if it can't be read.
pub fn read_outcome(message: &Value) -> Option<(u64, Outcome)> {
    let parts = message.as_array()?;
    let id = parts.get(1)?.as_u64()?;
    if let Some(error) = parts.get(2)?.as_array() {
        return Some((id, error_outcome(error)?));
    }
    let result = parts.get(3)?.as_array()?;
    let unchanged = result.get(1)?.as_map()?.iter().any(|(name, _)| name.as_str() == Some("notmod"));
    let body = result.first()?.as_slice()?;
    Some((id, if unchanged { Outcome::Unchanged } else { Outcome::Served(Stamp::read(body)) }))
}

fn error_outcome(error: &[Value]) -> Option<Outcome> {
    let word = error.first()?.as_str()?;
    let fields = error.get(1)?.as_map()?;
    let retry_after = fields.iter().find(|(name, _)| name.as_str() == Some("cooldown"));
    let retry_after = retry_after.and_then(|(_, value)| value.as_str()).and_then(|text| text.parse().ok());
    Some(if word == "Shed" { Outcome::Rejected(retry_after) } else { Outcome::Failed })
}

/// The bytes of a request with this id and name; `is_retry` marks it as a retry.
///
/// # Panics
/// Panics if the message cannot be encoded, which does not happen when writing to memory.
pub fn encode_request(id: u64, name: &str, request: &RequestSpec, is_retry: bool) -> Vec<u8> {
    let size_kb = object_size(request.object) as f64 / 1024.0;
    let mut fields = vec![
        ("ref", name.to_string()),
        ("allow", request.timeout_ms.to_string()),
        ("lookup", format!("{:016x}", request.object)),
        ("bucket", request.group.to_string()),
        ("room", format!("{size_kb:.2}")),
    ];
    if is_retry {
        fields.push(("dup", "1".to_string()));
    }
    if request.class == "post" {
        fields.push(("replay", format!("k{name}")));
    }
    let fields = fields.into_iter().map(|(name, value)| (Value::from(name), Value::from(value))).collect();
    let body = if request.class == "page" { Vec::new() } else { vec![7; BODY_SIZE] };
    let message = Value::Array(vec![
        0.into(),
        id.into(),
        request.class.into(),
        Value::Array(vec![Value::Map(fields), Value::Binary(body)]),
    ]);
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &message).expect("a vector takes all bytes");
    bytes
}
