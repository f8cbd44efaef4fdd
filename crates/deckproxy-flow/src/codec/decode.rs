//! Messages in: what a collector reads. Any bytes may come; nothing is kept before its limit was looked at.

use super::{Element, FIRST_TEMPLATE, Field, Template, VARIABLE, Value};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::{BTreeMap, HashMap};

/// Limits of what is kept and read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Observation domains of one exporter.
    pub domains: usize,
    /// Templates of one domain.
    pub templates: usize,
    /// Fields of one template.
    pub fields: usize,
    /// Records of one message.
    pub records: usize,
    /// Milliseconds after which a template that was not told again is forgotten; 0: never (TCP).
    pub life: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { domains: 64, templates: 256, fields: 128, records: 32_768, life: 0 }
    }
}

/// Why a message, or the rest of one, was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Not a version that is known.
    Version,
    /// Lengths that do not fit.
    Length,
    /// More than a limit allows.
    Limit,
    /// A template that makes no sense.
    Template,
}

/// What a message brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Collected {
    /// Observation domain.
    pub domain: u32,
    /// When it was exported, Unix seconds.
    pub exported: u32,
    /// The sequence number in its header.
    pub sequence: u32,
    /// Records that are missing before it, as far as its number tells.
    pub missing: u32,
    /// Records, each with its template's scope (0: a flow) and the elements of its values.
    pub records: Vec<(u16, Vec<(Element, Value)>)>,
    /// Sets whose template is not known.
    pub unknown: usize,
    /// Templates that were told or withdrawn.
    pub templates: usize,
    /// What ended the reading early.
    pub fault: Option<Fault>,
}

#[derive(Debug, Default)]
struct Domain {
    templates: BTreeMap<u16, (Template, u64)>,
    /// The sequence number that the next message should have.
    next: Option<u32>,
}

/// What is known of one exporter.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    domains: HashMap<(u16, u32), Domain>,
}

impl Decoder {
    /// Nothing is known yet.
    pub fn new(limits: Limits) -> Self {
        Decoder { limits, domains: HashMap::new() }
    }

    /// Reads one message. `now`: ms on any clock.
    pub fn message(&mut self, now: u64, message: &Bytes) -> Collected {
        let mut out = Collected::default();
        if let Err(fault) = self.read(now, message.clone(), &mut out) {
            out.fault = Some(fault);
        }
        out
    }

    fn read(&mut self, now: u64, mut rest: Bytes, out: &mut Collected) -> Result<(), Fault> {
        let version = rest.get(..2).map(|v| u16::from_be_bytes([v[0], v[1]])).ok_or(Fault::Length)?;
        match version {
            10 if rest.len() >= 16 => {
                rest.advance(2);
                let length = usize::from(rest.get_u16());
                if length < 16 || length > rest.len() + 4 {
                    return Err(Fault::Length);
                }
                rest.truncate(length - 4);
                out.exported = rest.get_u32();
            }
            9 if rest.len() >= 20 => {
                rest.advance(8);
                out.exported = rest.get_u32();
            }
            9 | 10 => return Err(Fault::Length),
            _ => return Err(Fault::Version),
        }
        out.sequence = rest.get_u32();
        out.domain = rest.get_u32();
        let key = (version, out.domain);
        if !self.domains.contains_key(&key) && self.domains.len() >= self.limits.domains {
            return Err(Fault::Limit);
        }
        let limits = self.limits;
        let domain = self.domains.entry(key).or_default();
        if limits.life > 0 {
            domain.templates.retain(|_, (_, told)| now.saturating_sub(*told) <= limits.life);
        }
        // One that seems to come from before is late or doubled, or the exporter has started anew: nothing is missing.
        let gap = domain.next.map_or(0, |next| out.sequence.wrapping_sub(next));
        out.missing = if gap < 1 << 31 { gap } else { 0 };
        let read = sets(now, version, domain, &limits, &mut rest, out);
        let data = if version == 9 { 1 } else { out.records.len() as u32 };
        domain.next = Some(out.sequence.wrapping_add(data));
        read
    }
}

fn sets(
    now: u64,
    version: u16,
    domain: &mut Domain,
    limits: &Limits,
    rest: &mut Bytes,
    out: &mut Collected,
) -> Result<(), Fault> {
    while rest.len() >= 4 {
        let id = rest.get_u16();
        let length = usize::from(rest.get_u16());
        if length < 4 || length - 4 > rest.len() {
            return Err(Fault::Length);
        }
        let mut set = rest.split_to(length - 4);
        match (version, id) {
            (10, 2) | (9, 0) => templates(now, version, domain, limits, &mut set, false, out)?,
            (10, 3) | (9, 1) => templates(now, version, domain, limits, &mut set, true, out)?,
            (_, FIRST_TEMPLATE..) => match domain.templates.get(&id) {
                Some((template, _)) => records(template, limits, &mut set, out)?,
                None => out.unknown += 1,
            },
            // Kept for later use (RFC 7011, 3.3.2): passed over.
            _ => {}
        }
    }
    if rest.is_empty() { Ok(()) } else { Err(Fault::Length) }
}

fn templates(
    now: u64,
    version: u16,
    domain: &mut Domain,
    limits: &Limits,
    set: &mut Bytes,
    options: bool,
    out: &mut Collected,
) -> Result<(), Fault> {
    while set.len() >= 4 {
        let id = set.get_u16();
        let count = set.get_u16();
        if id == 0 && count == 0 {
            // Padding.
            return Ok(());
        }
        let (scope, count) = match (version, options) {
            (10, true) if count > 0 => {
                (if set.len() < 2 { return Err(Fault::Length) } else { set.get_u16() }, count)
            }
            (9, true) => {
                let others = if set.len() < 2 { return Err(Fault::Length) } else { set.get_u16() };
                (count / 4, (count / 4).checked_add(others / 4).ok_or(Fault::Limit)?)
            }
            _ => (0, count),
        };
        if version == 10 && count == 0 {
            // A withdrawal: of one, or of all of the kind by the id of the set.
            out.templates += 1;
            match id {
                2 => domain.templates.retain(|_, (t, _)| t.scope != 0),
                3 => domain.templates.retain(|_, (t, _)| t.scope == 0),
                _ => drop(domain.templates.remove(&id)),
            }
            continue;
        }
        if id < FIRST_TEMPLATE || count == 0 || scope > count || options && scope == 0 {
            return Err(Fault::Template);
        }
        if usize::from(count) > limits.fields {
            return Err(Fault::Limit);
        }
        let mut fields = Vec::with_capacity(usize::from(count));
        for i in 0..count {
            if set.len() < 4 {
                return Err(Fault::Length);
            }
            let number = set.get_u16();
            let length = set.get_u16();
            let enterprise = match version == 10 && number & 0x8000 != 0 {
                true if set.len() < 4 => return Err(Fault::Length),
                true => Some(set.get_u32()),
                false => None,
            };
            let id = if version == 10 { number & 0x7fff } else { number };
            // v9's scope numbers are their own; they are kept under the exporter's element.
            let id = if version == 9 && i < scope { super::elements::EXPORTER.id } else { id };
            if length == 0 || version == 9 && length == VARIABLE {
                return Err(Fault::Template);
            }
            fields.push(Field { element: Element { id, enterprise }, length });
        }
        if !domain.templates.contains_key(&id) && domain.templates.len() >= limits.templates {
            return Err(Fault::Limit);
        }
        out.templates += 1;
        domain.templates.insert(id, (Template { id, scope, fields }, now));
    }
    Ok(())
}

fn records(template: &Template, limits: &Limits, set: &mut Bytes, out: &mut Collected) -> Result<(), Fault> {
    // What is shorter than the shortest record is padding.
    let least = template.least();
    while set.len() >= least {
        if out.records.len() >= limits.records {
            return Err(Fault::Limit);
        }
        let mut values = Vec::with_capacity(template.fields.len());
        for field in &template.fields {
            let length = match field.length {
                VARIABLE => length(set)?,
                fixed => usize::from(fixed),
            };
            if set.len() < length {
                return Err(Fault::Length);
            }
            values.push((field.element, Value::Bytes(set.split_to(length))));
        }
        out.records.push((template.scope, values));
    }
    Ok(())
}

fn length(set: &mut Bytes) -> Result<usize, Fault> {
    if set.is_empty() {
        return Err(Fault::Length);
    }
    match set.get_u8() {
        255 if set.len() < 2 => Err(Fault::Length),
        255 => Ok(usize::from(set.get_u16())),
        short => Ok(usize::from(short)),
    }
}

/// Finds the messages in a stream of bytes: IPFIX over TCP (RFC 7011, 10.4).
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message that is here whole; an error: nothing more can be told from this stream.
    ///
    /// # Errors
    /// [`Fault`] if the next message's version is not 10 or its length is less than that of a header.
    pub fn take(&mut self) -> Result<Option<Bytes>, Fault> {
        let Some(head) = self.buffer.get(..4) else { return Ok(None) };
        let (version, length) =
            (u16::from_be_bytes([head[0], head[1]]), u16::from_be_bytes([head[2], head[3]]));
        if version != 10 {
            return Err(Fault::Version);
        }
        if length < 16 {
            return Err(Fault::Length);
        }
        if self.buffer.len() < usize::from(length) {
            return Ok(None);
        }
        Ok(Some(self.buffer.split_to(usize::from(length)).freeze()))
    }
}
