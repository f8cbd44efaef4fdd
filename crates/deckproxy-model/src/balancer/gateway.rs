//! The deployed gateway: its router, optionally behind admission control.

use super::gateway_config::{configuration, feed_entry, member_at};
use super::{
    AttemptKey, BalancerSetup, ClientAnswer, ClientAttempt, Effect, EndpointEntry, MemberReply,
    MemberRequest, RequestId, simulated_time,
};
use crate::load::{Class, ClientRequest};
use crate::members::MemberId;
use crate::scenario::BalancerKind;
use crate::{Micros, unix_ms};
use ahash::AHashMap;
use bytes::Bytes;
use deckproxy::protocol::downstream::{Answer, Call, ObjectId};
use deckproxy::protocol::feed::{FeedEvent, KnownEvents, NumberedEvent};
use deckproxy::protocol::upstream::{AttemptOptions, CopyInfo, Reply};
use deckproxy::routing::{self, ConnectionFailure, Router};
use deckproxy_recovery::admission::{self, Admission, RequestInfo, RequestOutcome, Verdict};
use deckproxy_recovery::retries::RequestKey;
use std::collections::VecDeque;

/// The router's number of the one client connection that all requests come on.
const CLIENT_CONNECTION: u64 = 1;

/// A client's request that the router has not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    client: u64,
    request: ClientRequest,
    write_id: u64,
}

/// A gateway.
pub struct Gateway {
    router: Router,
    admission: Option<Admission>,
    open: AHashMap<RequestId, OpenRequest>,
    /// Number of the latest event of the control feed.
    feed_event: u64,
    /// Names that were given to attempts of clients.
    names_given: u64,
    /// Rejections of admission control, which come before the router's effects.
    rejections: VecDeque<Effect>,
}

impl Gateway {
    pub(super) fn new(now: Micros, setup: &BalancerSetup) -> Self {
        let BalancerSetup { scenario, position, seed, endpoints } = *setup;
        let entries = endpoints.iter().map(feed_entry).collect();
        let known = FeedEvent::Members { complete: true, entries, unreadable: 0 };
        let with_admission = scenario.balancer == BalancerKind::GatewayWithRecovery;
        let mut gateway = Gateway {
            router: Router::new(
                unix_ms(now),
                configuration(scenario, position).settings,
                seed,
                KnownEvents { last: 1, events: vec![NumberedEvent { number: 1, event: known }] },
            ),
            admission: with_admission.then(|| admission_control(seed)),
            open: AHashMap::new(),
            feed_event: 1,
            names_given: 0,
            rejections: VecDeque::new(),
        };
        // Effects of the start concern connections, which are not simulated.
        while gateway.next_effect(now).is_some() {}
        gateway
    }

    pub(super) fn request(&mut self, now: Micros, attempt: &ClientAttempt) {
        if let Some(retry_after_ms) = self.rejected_by_admission(now, attempt) {
            let answer = ClientAnswer::Rejected { retry_after_ms };
            let rejection = Effect::AnswerClient { request: attempt.id, answer, by_admission: true };
            return self.rejections.push_back(rejection);
        }
        let ClientAttempt { id, client, request, write_id, .. } = *attempt;
        self.open.insert(id, OpenRequest { client, request, write_id });
        let call = self.call(attempt);
        self.router.request(unix_ms(now), CLIENT_CONNECTION, id, call);
    }

    /// When the client may retry, in milliseconds, if admission control rejects its attempt.
    fn rejected_by_admission(&mut self, now: Micros, attempt: &ClientAttempt) -> Option<f64> {
        let ClientRequest { class, object, .. } = attempt.request;
        let admission = self.admission.as_mut()?;
        let key = RequestKey { client: attempt.client, object };
        let info = RequestInfo { key, class: class as usize, time_left: attempt.timeout_ms };
        match admission.request(unix_ms(now), info) {
            Verdict::Reject { retry_after } => Some(retry_after),
            Verdict::Admit => None,
        }
    }

    /// An attempt as a client would send it.
    fn call(&mut self, attempt: &ClientAttempt) -> Call {
        let ClientRequest { class, object, size_kb } = attempt.request;
        // Each attempt has its own name: attempts at members may still be in flight under an earlier one.
        self.names_given += 1;
        let keyed = class == Class::KeyedWrite;
        Call {
            name: format!("{:x}-{:x}", attempt.id, self.names_given).into(),
            class: class.name().into(),
            timeout: attempt.timeout_ms,
            idempotency_key: keyed.then(|| format!("{:x}", attempt.write_id).into()),
            object: ObjectId { text: Box::default(), number: object },
            part: None,
            group: 0,
            size_kb: Some(size_kb),
            cached_tag: None,
            is_retry: false,
            body: Bytes::new(),
        }
    }

    pub(super) fn member_replied(&mut self, now: Micros, key: AttemptKey, reply: &MemberReply) {
        let copy = reply.issued_unix_ms.map(|at| CopyInfo { issued: Some(at), tag: Box::default() });
        let load_report =
            vec![("busy_reqs".into(), reply.load.in_flight), ("cpu_share".into(), reply.load.busy_share)];
        let reply = Reply { id: Box::default(), status: reply.status, load_report, copy, body: Bytes::new() };
        self.router.reply(unix_ms(now), key, reply);
    }

    pub(super) fn connection_broken(&mut self, now: Micros, key: AttemptKey, sent: bool) {
        let failure = if sent { ConnectionFailure::Reset } else { ConnectionFailure::NotSent };
        self.router.connection_failed(unix_ms(now), key, failure);
    }

    pub(super) fn update_endpoints(&mut self, now: Micros, changed: &[EndpointEntry]) {
        let entries = changed.iter().map(feed_entry).collect();
        self.feed(now, FeedEvent::Members { complete: false, entries, unreadable: 0 });
    }

    pub(super) fn purge(&mut self, now: Micros, object: u64, purged_at: Micros) {
        self.feed(now, FeedEvent::PurgeObject { object, at: unix_ms(purged_at) });
    }

    fn feed(&mut self, now: Micros, event: FeedEvent) {
        self.feed_event += 1;
        self.router.feed_event(unix_ms(now), NumberedEvent { number: self.feed_event, event }, false);
    }

    pub(super) fn timer_expired(&mut self, now: Micros) {
        self.router.tick(unix_ms(now));
    }

    pub(super) fn next_due(&self) -> Option<Micros> {
        self.router.next_deadline().map(simulated_time)
    }

    pub(super) fn violations(&self) -> u64 {
        self.router.counters.broken_invariants + self.router.counters.overdue
    }

    pub(super) fn next_effect(&mut self, now: Micros) -> Option<Effect> {
        if let Some(rejection) = self.rejections.pop_front() {
            return Some(rejection);
        }
        loop {
            let effect = self.router.next_effect()?;
            if let Some(effect) = self.translate(now, effect) {
                return Some(effect);
            }
        }
    }

    /// The simulation's form of a router's effect; none for those that are not simulated.
    fn translate(&mut self, now: Micros, effect: routing::Effect) -> Option<Effect> {
        match effect {
            routing::Effect::SendAttempt { key, endpoint, call, options, .. } => {
                let request = request_named(&call.name);
                let open = *self.open.get(&request).expect("attempts are sent for open requests alone");
                let member = member_at(endpoint.address);
                Some(Effect::SendAttempt {
                    key,
                    request,
                    member,
                    member_request: member_request(&open, &options),
                })
            }
            routing::Effect::CancelAttempt { key, .. } => {
                self.router.attempt_cancelled(unix_ms(now), key, true);
                Some(Effect::CancelAttempt { key })
            }
            routing::Effect::SendHealthCheck { key, endpoint, .. } => {
                Some(Effect::HealthCheck { key, member: member_at(endpoint.address) })
            }
            routing::Effect::Answer { id, answer, .. } => Some(self.answer_client(now, id, &answer)),
            // For other sites, other gateways and connections, none of which are simulated.
            routing::Effect::Purged { .. }
            | routing::Effect::HealthChecked { .. }
            | routing::Effect::MembersChanged(_)
            | routing::Effect::CloseIdle(_)
            | routing::Effect::ProcessGone(_)
            | routing::Effect::Log(_) => None,
        }
    }

    /// Passes the router's answer through admission control, which may change the time to retry.
    fn answer_client(&mut self, now: Micros, request: RequestId, answer: &Answer) -> Effect {
        let (ended, advised_ms) = match answer {
            Answer::Served(_) | Answer::NotModified => (RequestOutcome::Served, 0.0),
            Answer::Rejected(retry_after_ms) => (RequestOutcome::Rejected, *retry_after_ms),
            Answer::Failed => (RequestOutcome::Failed, 0.0),
            Answer::Invalid(why) => panic!("simulated requests are valid, but: {why}"),
        };
        let retry_after_ms = self.request_ended(now, request, ended, advised_ms);
        let answer = match ended {
            RequestOutcome::Served => ClientAnswer::Served,
            RequestOutcome::Rejected => ClientAnswer::Rejected { retry_after_ms },
            RequestOutcome::Failed | RequestOutcome::ClientGone => ClientAnswer::Failed,
        };
        Effect::AnswerClient { request, answer, by_admission: false }
    }

    /// Closes a request; returns the time to retry in milliseconds.
    fn request_ended(&mut self, now: Micros, id: RequestId, ended: RequestOutcome, advised_ms: f64) -> f64 {
        let Some(OpenRequest { client, request, .. }) = self.open.remove(&id) else { return advised_ms };
        match &mut self.admission {
            Some(admission) => {
                let key = RequestKey { client, object: request.object };
                admission.request_ended(unix_ms(now), key, ended, advised_ms)
            }
            None => advised_ms,
        }
    }
}

/// Admission control with the classes of [`Class`]. All may be rejected, as a rejected attempt has not run;
/// writes have the higher priority weight.
fn admission_control(seed: u64) -> Admission {
    let class =
        |priority_weight| admission::Class { priority_weight, can_be_rejected: true, min_time_left: 100.0 };
    let classes = vec![class(0.0), class(1.0), class(1.0)];
    Admission::new(admission::Settings { classes, ..admission::Settings::default() }, seed)
}

/// The request of an attempt that was named by [`Gateway::call`].
fn request_named(name: &str) -> RequestId {
    let id = name.split('-').next().and_then(|id| RequestId::from_str_radix(id, 16).ok());
    id.expect("names begin with the request's number")
}

fn member_request(open: &OpenRequest, options: &AttemptOptions) -> MemberRequest {
    // Members are named "m" and their number.
    let source = options.source.as_deref().and_then(|name| MemberId::from_str_radix(&name[1..], 16).ok());
    MemberRequest {
        object: open.request.object,
        size_kb: open.request.size_kb,
        class: open.request.class,
        source,
        store: options.copy_rank > 0,
        max_age_ms: options.max_age,
        join_fill: options.join,
        write_id: open.write_id,
    }
}
