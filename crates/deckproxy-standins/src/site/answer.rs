//! What a member answers to a request.

use super::cache::{Lookup, get, process_at_origin};
use super::config::object_size;
use super::node::{Node, SiteState};
use crate::record::{Fact, Stamp};
use crate::wait::unix_ms;

/// Bytes of the body that answers a write.
const WRITE_BODY: usize = 64;

/// A request as a member reads it.
pub(super) struct Request {
    /// Its class; empty if none is named.
    pub class: String,
    object: u64,
    part: u32,
    /// Greatest age of an acceptable copy, ms; 0 for any age.
    max_age_ms: u64,
    /// The member to fill from on a miss.
    fill_source: Option<String>,
    /// Whether a filled copy is stored.
    store_copy: bool,
    /// The tag of the copy that the sender has.
    known_tag: Option<String>,
    idempotency_key: Option<String>,
}

impl Request {
    /// Reads the fields of an `ASK` command (`name=value`, separated by commas).
    pub fn parse(fields: &str) -> Self {
        let value = |name: &str| field(fields, name);
        Request {
            class: value("lane").unwrap_or_default().to_string(),
            object: value("name").map_or(0, |text| u64::from_str_radix(text, 16).unwrap_or(0)),
            part: value("piece").and_then(|text| text.parse().ok()).unwrap_or(0),
            max_age_ms: value("within").and_then(|text| text.parse().ok()).unwrap_or(0),
            fill_source: value("miss").map(str::to_string),
            store_copy: value("prio").is_some_and(|rank| rank != "0"),
            known_tag: value("mine").map(str::to_string),
            idempotency_key: value("dedupe").map(str::to_string),
        }
    }

    fn has_effect(&self) -> bool {
        matches!(self.class.as_str(), "post" | "once")
    }
}

/// The value of the first field of that name.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').filter_map(|field| field.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// A member's response.
pub(super) struct Response {
    pub status: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Response {
    /// The response of a member that fails.
    pub fn failed() -> Self {
        Response { status: "500", fields: "-".to_string(), body: Vec::new() }
    }

    fn not_found() -> Self {
        Response { status: "404", fields: "-".to_string(), body: Vec::new() }
    }
}

/// Processes a request and returns its response.
pub(super) fn answer(site: &SiteState, node: &Node, name: &str, request: &Request) -> Response {
    if request.has_effect() { write(site, name, request) } else { read(site, node, request) }
}

fn write(site: &SiteState, name: &str, request: &Request) -> Response {
    apply_effect(site, name, request.idempotency_key.as_deref());
    process_at_origin(site);
    let stamp = Stamp { object: request.object, part: request.part, issued: unix_ms(), site: site.site };
    Response {
        status: "200",
        fields: format!("entity=w1,issued={}", stamp.issued),
        body: stamp.body(WRITE_BODY),
    }
}

fn read(site: &SiteState, node: &Node, request: &Request) -> Response {
    let source = request.fill_source.as_deref().and_then(|id| site.node(id));
    let lookup = Lookup { part: (request.object, request.part), max_age_ms: request.max_age_ms };
    let Some(issued) = get(site, node, lookup, source.as_ref(), request.store_copy) else {
        return Response::not_found();
    };
    let tag = format!("{:x}", issued ^ request.object);
    let fields = format!("entity={tag},issued={issued}");
    if request.known_tag.as_ref() == Some(&tag) {
        return Response { status: "304", fields, body: Vec::new() };
    }
    let stamp = Stamp { object: request.object, part: request.part, issued, site: site.site };
    Response { status: "200", fields, body: stamp.body(object_size(request.object)) }
}

/// Takes a request's effect, unless its idempotency key is known.
fn apply_effect(site: &SiteState, name: &str, key: Option<&str>) {
    let is_new = key.is_none_or(|key| site.applied_keys.lock().unwrap().insert(key.to_string()));
    if is_new {
        let key = key.map(str::to_string);
        site.record.note(Fact::EffectApplied { name: name.to_string(), site: site.site, key });
    }
}
