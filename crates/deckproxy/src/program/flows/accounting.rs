//! Attributes bytes, requests and attempts to flows.

use crate::program::subsystem::{FIRST_LINK_CLIENT, RequestKey, micros};
use crate::protocol::upstream::Status;
use crate::routing::{AttemptKey, ClientId};
use crate::transport::write_buffer::WrittenMessage;
use ahash::RandomState;
use deckproxy_flow::account::{Attempts, ClientAccount, Micros, Names, RequestSource, link};
use deckproxy_flow::meter::{HeavyHitter, HeavyHitters, Limits, Meter, NameId, Outcome};
use deckproxy_sites::responder::RunId;
use ipnet::IpNet;
use std::collections::HashMap;
use std::net::IpAddr;

/// Maximum number of names of classes, members and sites with a number of their own; further names share one.
const MAX_NAMES: usize = 65_536;
/// Client networks tracked separately to find those with most bytes.
const TOP_TRACKED: usize = 64;

/// The flow accounting of one gateway.
pub(super) struct Accounting {
    /// The flows.
    pub(super) meter: Meter,
    /// Numbers of the names of classes, members and sites.
    pub(super) names: Names,
    /// Numbers of the configured classes.
    classes: HashMap<Box<str>, NameId, RandomState>,
    /// Clients that are connected.
    pub(super) clients: HashMap<ClientId, ClientAccount, RandomState>,
    /// Attempts in flight.
    pub(super) attempts: Attempts,
    /// Open requests that were received over links.
    pub(super) link_requests: HashMap<RunId, LinkRequest, RandomState>,
    /// Client networks with most bytes since the last summary.
    top: HeavyHitters<IpNet>,
}

/// An open request that was received over a link.
pub(super) struct LinkRequest {
    source: RequestSource,
    received_at: Micros,
}

/// The outcome of an attempt by the status of the member's answer.
fn reply_outcome(status: Status) -> Outcome {
    match status {
        Status::Ok | Status::NotModified => Outcome::Served,
        Status::Miss => Outcome::CacheMiss,
        Status::Rejected => Outcome::Rejected,
        Status::Expired => Outcome::Canceled,
        Status::Error | Status::Health(_) => Outcome::Failed,
    }
}

impl Accounting {
    /// Creates empty accounting for the configured classes.
    pub(super) fn new(limits: Limits, classes: &[String]) -> Self {
        let mut names = Names::new(MAX_NAMES);
        let classes = classes.iter().map(|class| (class.as_str().into(), names.number(class))).collect();
        Accounting {
            meter: Meter::new(limits),
            names,
            classes,
            clients: HashMap::default(),
            attempts: Attempts::default(),
            link_requests: HashMap::default(),
            top: HeavyHitters::new(TOP_TRACKED),
        }
    }

    /// Returns up to `count` networks with most bytes since the last call, as `NETWORK:BYTES-ERROR`, and resets the
    /// counts.
    pub(super) fn take_top(&mut self, count: usize) -> Vec<String> {
        let top = std::mem::replace(&mut self.top, HeavyHitters::new(TOP_TRACKED));
        top.top(count)
            .into_iter()
            .map(|HeavyHitter { key: network, sum, error }| format!("{network}:{sum}-{error}"))
            .collect()
    }

    /// The number of a class; 0 for an unknown one.
    fn class_number(&self, name: &str) -> NameId {
        self.classes.get(name).copied().unwrap_or(0)
    }

    // ---- Clients -------------------------------------------------------------------------------------------

    /// A client connected.
    pub(super) fn client_connected(&mut self, id: ClientId, address: Option<IpAddr>) {
        let client = address.map(|address| self.meter.client(address));
        self.clients.insert(id, ClientAccount::new(client));
    }

    /// A client sent a request; the class is empty if the request can't be decoded.
    pub(super) fn request_received(
        &mut self,
        now: f64,
        (id, request): RequestKey,
        class: &str,
        bytes: usize,
    ) {
        let class = self.class_number(class);
        if let Some(account) = self.clients.get_mut(&id) {
            account.request_received(&mut self.meter, micros(now), request, class, bytes as u64);
        }
    }

    /// A client sent bytes that are not part of a request.
    pub(super) fn client_bytes_received(&mut self, now: f64, id: ClientId, bytes: usize) {
        if let Some(account) = self.clients.get_mut(&id) {
            account.other_bytes_received(&mut self.meter, micros(now), bytes as u64);
        }
    }

    /// A client's request was forwarded to another site.
    pub(super) fn request_forwarded(&mut self, (id, request): RequestKey, site: &str) {
        let site = self.names.number(site);
        if let Some(account) = self.clients.get_mut(&id) {
            account.request_forwarded(request, site);
        }
    }

    /// An answer was appended to a client's write buffer; `request` is none if it answers a ping.
    pub(super) fn answer_queued(&mut self, id: ClientId, request: Option<u32>, outcome: Outcome) {
        if let Some(account) = self.clients.get_mut(&id) {
            account.answer_queued(request, outcome);
        }
    }

    /// A message to a client was written completely.
    pub(super) fn client_bytes_sent(&mut self, now: f64, id: ClientId, bytes: usize) {
        let Some(account) = self.clients.get_mut(&id) else { return };
        account.message_written(&mut self.meter, micros(now), bytes as u64);
        if let Some(client) = account.client() {
            self.top.add(client, bytes as u64);
        }
    }

    /// A client cancelled a request.
    pub(super) fn request_cancelled(&mut self, now: f64, (id, request): RequestKey) {
        if let Some(account) = self.clients.get_mut(&id) {
            account.request_cancelled(&mut self.meter, micros(now), request);
        }
    }

    /// A client's connection ended.
    pub(super) fn client_gone(&mut self, now: f64, id: ClientId, written: usize, unread: usize) {
        if let Some(mut account) = self.clients.remove(&id) {
            account.connection_closed(&mut self.meter, micros(now), written as u64, unread as u64);
        }
    }

    // ---- Members -------------------------------------------------------------------------------------------

    /// An attempt was started for a client's request, or for one that was received over a link.
    pub(super) fn attempt_sent(
        &mut self,
        now: f64,
        key: AttemptKey,
        client: ClientId,
        class: &str,
        member: &str,
    ) {
        let source = if client < FIRST_LINK_CLIENT {
            let client = self.clients.get(&client).and_then(ClientAccount::client);
            RequestSource { client, class: self.class_number(class), site: 0 }
        } else {
            let request = self.link_requests.get(&(client - FIRST_LINK_CLIENT));
            request.map_or_else(RequestSource::default, |request| request.source)
        };
        let member = self.names.number(member);
        self.attempts.started(micros(now), key, source, member);
    }

    /// The kernel accepted a message to a member, completely or in part.
    pub(super) fn member_bytes_sent(&mut self, now: f64, member: &str, written: WrittenMessage) {
        let bytes = written.bytes as u64;
        if !self.attempts.bytes_written(written.key, bytes) {
            let member = self.names.number(member);
            Attempts::count_other_bytes(&mut self.meter, micros(now), member, 0, bytes);
        }
    }

    /// A member answered; `key` is none if the answer belongs to no attempt in flight.
    pub(super) fn member_replied(
        &mut self,
        now: f64,
        member: &str,
        key: Option<AttemptKey>,
        status: Status,
        bytes: usize,
    ) {
        let ends_attempt = match key {
            Some(key) => {
                self.attempts.ended(&mut self.meter, micros(now), key, reply_outcome(status), bytes as u64)
            }
            None => false,
        };
        if !ends_attempt {
            self.member_bytes_received(now, member, bytes);
        }
    }

    /// A member sent bytes that do not end an attempt.
    pub(super) fn member_bytes_received(&mut self, now: f64, member: &str, bytes: usize) {
        if bytes > 0 {
            let member = self.names.number(member);
            Attempts::count_other_bytes(&mut self.meter, micros(now), member, bytes as u64, 0);
        }
    }

    /// An attempt ended without an answer.
    pub(super) fn attempt_ended(&mut self, now: f64, key: AttemptKey, outcome: Outcome) {
        self.attempts.ended(&mut self.meter, micros(now), key, outcome, 0);
    }

    // ---- Links ---------------------------------------------------------------------------------------------

    /// A request was received over a link.
    pub(super) fn link_request_began(&mut self, now: f64, run: RunId, class: &str, site: Option<&str>) {
        let class = self.class_number(class);
        let site = self.names.number(site.unwrap_or(""));
        let source = RequestSource { client: None, class, site };
        self.link_requests.insert(run, LinkRequest { source, received_at: micros(now) });
    }

    /// A request that was received over a link was answered or cancelled.
    pub(super) fn link_request_ended(&mut self, now: f64, run: RunId, outcome: Outcome) {
        if let Some(LinkRequest { source, received_at }) = self.link_requests.remove(&run) {
            link::count_link_request(&mut self.meter, micros(now), source, received_at, outcome);
        }
    }

    /// Bytes were received or sent on a link.
    pub(super) fn link_bytes(&mut self, now: f64, site: Option<&str>, received: usize, sent: usize) {
        let site = self.names.number(site.unwrap_or(""));
        link::count_link_bytes(&mut self.meter, micros(now), site, received as u64, sent as u64);
    }
}
