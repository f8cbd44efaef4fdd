//! The part of MessagePack that clients need.

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Text(String),
    Bin(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn number(bytes: &[u8], at: usize, size: usize) -> Option<usize> {
    Some(bytes.get(at..at + size)?.iter().fold(0usize, |n, byte| n << 8 | usize::from(*byte)))
}

/// Decodes the value at `at`; returns it with the position after it. `Ok(None)`: more bytes are needed.
pub fn decode(bytes: &[u8], at: usize) -> Result<Option<(Value, usize)>, String> {
    let Some(first) = bytes.get(at).copied() else { return Ok(None) };
    let body = |start: usize, length: usize| bytes.get(start..start + length).map(<[u8]>::to_vec);
    macro_rules! need {
        ($value:expr) => {
            match $value {
                Some(value) => value,
                None => return Ok(None),
            }
        };
    }
    let text = |raw: Vec<u8>| String::from_utf8(raw).map(Value::Text).map_err(|e| e.to_string());
    Ok(Some(match first {
        0x00..=0x7f => (Value::Int(i64::from(first)), at + 1),
        0xc0 => (Value::Nil, at + 1),
        0xc2 | 0xc3 => (Value::Bool(first == 0xc3), at + 1),
        0xcc..=0xcf => {
            let size = 1 << (first - 0xcc);
            (Value::Int(need!(number(bytes, at + 1, size)) as i64), at + 1 + size)
        }
        0xa0..=0xbf => {
            let length = usize::from(first & 0x1f);
            (text(need!(body(at + 1, length)))?, at + 1 + length)
        }
        0xd9..=0xdb => {
            let size = 1 << (first - 0xd9);
            let length = need!(number(bytes, at + 1, size));
            (text(need!(body(at + 1 + size, length)))?, at + 1 + size + length)
        }
        0xc4..=0xc6 => {
            let size = 1 << (first - 0xc4);
            let length = need!(number(bytes, at + 1, size));
            (Value::Bin(need!(body(at + 1 + size, length))), at + 1 + size + length)
        }
        0x90..=0x9f => need!(list(bytes, at + 1, usize::from(first & 0x0f))?),
        0xdc => need!(list(bytes, at + 3, need!(number(bytes, at + 1, 2)))?),
        0x80..=0x8f => need!(map(bytes, at + 1, usize::from(first & 0x0f))?),
        0xde => need!(map(bytes, at + 3, need!(number(bytes, at + 1, 2)))?),
        other => return Err(format!("byte {other:#x} is not expected in an answer")),
    }))
}

fn list(bytes: &[u8], mut at: usize, count: usize) -> Result<Option<(Value, usize)>, String> {
    let mut items = Vec::new();
    for _ in 0..count {
        let Some((item, after)) = decode(bytes, at)? else { return Ok(None) };
        items.push(item);
        at = after;
    }
    Ok(Some((Value::List(items), at)))
}

fn map(bytes: &[u8], mut at: usize, count: usize) -> Result<Option<(Value, usize)>, String> {
    let mut items = Vec::new();
    for _ in 0..count {
        let Some((key, after)) = decode(bytes, at)? else { return Ok(None) };
        let Some((value, after)) = decode(bytes, after)? else { return Ok(None) };
        items.push((key, value));
        at = after;
    }
    Ok(Some((Value::Map(items), at)))
}

/// Appends an unsigned integer.
pub fn put_int(out: &mut Vec<u8>, value: u32) {
    if value < 128 {
        out.push(value as u8);
    } else {
        out.push(0xce);
        out.extend(value.to_be_bytes());
    }
}

/// Appends a text of at most 255 bytes.
pub fn put_text(out: &mut Vec<u8>, text: &str) {
    if text.len() < 32 {
        out.push(0xa0 | text.len() as u8);
    } else {
        out.extend([0xd9, text.len() as u8]);
    }
    out.extend(text.as_bytes());
}

/// Appends a map of texts with at most 15 entries.
pub fn put_fields(out: &mut Vec<u8>, fields: &[(&str, String)]) {
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_text(out, name);
        put_text(out, value);
    }
}

/// Appends bytes.
pub fn put_bin(out: &mut Vec<u8>, bytes: &[u8]) {
    out.push(0xc6);
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}
