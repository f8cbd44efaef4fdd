//! Forwards requests to other sites, and serves requests that other sites forward.

use super::{ReplyTarget, Sites};
use crate::program::subsystem::{
    Context, Effect, Effects, Event, FIRST_LINK_CLIENT, Note, RequestKey, Verdict, outcome_of,
};
use crate::protocol::downstream::{Answer, Call, RequestError};
use crate::protocol::upstream::CopyInfo;
use crate::protocol::{limits, link};
use bytes::Bytes;
use deckproxy_control::interface;
use deckproxy_flow::meter::Outcome;
use deckproxy_sites::frame::{Outcome as LinkOutcome, Request};
use deckproxy_sites::requester::{ForwardedRequest, Reply, RequestToken, RetrySafety};
use deckproxy_sites::responder::{RunId, RunResult};
use deckproxy_sites::site::Destination;

/// A class's rank among all classes by priority weight, from 0 to 1.
fn priority_rank(classes: &[interface::Class], class: usize) -> f64 {
    let weight = classes[class].priority_weight;
    let below = classes.iter().filter(|other| other.priority_weight < weight).count();
    let above = classes.iter().filter(|other| other.priority_weight > weight).count();
    if below + above == 0 { 0.5 } else { below as f64 / (below + above) as f64 }
}

/// Builds the forwarded form of a request, or returns why the request is invalid.
fn forwarded_request(
    cx: &Context<'_>,
    call: &Call,
    path: Vec<String>,
) -> Result<ForwardedRequest, RequestError> {
    let class = cx.router.validate(call)?;
    let settings = &cx.router.instance_settings().settings;
    let rules = &settings.classes[class];
    let safe = rules.idempotency == interface::Idempotency::Idempotent;
    Ok(ForwardedRequest {
        object: call.object.number,
        deadline: cx.now + call.timeout.min(rules.deadline),
        retry_safety: if safe { RetrySafety::Idempotent } else { RetrySafety::NotIdempotent },
        may_collapse: settings.join_fills && safe && !rules.write && !rules.stream,
        priority_rank: priority_rank(&settings.classes, class),
        request: link::request_from_call(call, path),
    })
}

impl Sites {
    /// Assigns a token to a forwarded request and records where its answer is sent.
    fn new_token(&mut self, target: ReplyTarget) -> RequestToken {
        self.last_token += 1;
        self.reply_targets.insert(self.last_token, target);
        self.last_token
    }

    /// Remembers the name of a forwarded request that has ended and may have run, if it must not run again.
    fn remember_name(&mut self, token: RequestToken) {
        if let Some(name) = self.forwarded_names.remove(&token) {
            self.recent_names.insert(&name);
        }
    }

    /// Cancels a forwarded request that its client cancelled, or all those of a client that disconnected.
    pub(super) fn cancel_client_requests(&mut self, now: f64, event: &Event<'_>, out: &mut Effects) {
        for (_, token) in self.client_requests.remove_cancelled(event) {
            self.reply_targets.remove(&token);
            self.remember_name(token);
            self.site.cancel(now, token);
            out.push_back(Effect::CountCancelled);
        }
    }

    /// Forwards a client's request over a link if its destination is another site.
    pub(super) fn forward_client_request(
        &mut self,
        cx: &Context<'_>,
        request: RequestKey,
        call: &Call,
        out: &mut Effects,
    ) -> Verdict {
        let destination = self.site.destination(cx.now, &call.class, call.group, call.object.number, &[]);
        let Destination::Remote(site) = destination else { return Verdict::Pass };
        match forwarded_request(cx, call, vec![self.site.own_site().to_string()]) {
            Err(error) => Verdict::Answer(Answer::Invalid(error)),
            Ok(_) if self.recent_names.contains(&call.name) => {
                Verdict::Answer(Answer::Invalid(RequestError::NameInUse))
            }
            Ok(forwarded) => {
                let token = self.new_token(ReplyTarget::Client(request));
                if forwarded.retry_safety == RetrySafety::NotIdempotent {
                    self.forwarded_names.insert(token, call.name.clone());
                }
                self.client_requests.insert(request, token);
                self.site.request(cx.now, token, &site, forwarded);
                let (client, id) = request;
                out.push_back(Effect::Notify(Note::RequestForwarded { client, id, site }));
                out.push_back(Effect::CountReceived);
                Verdict::Taken
            }
        }
    }

    /// Handles a request received over a link: routes it locally, forwards it to another site, or answers it at once.
    pub(super) fn link_request(&mut self, cx: &Context<'_>, run: RunId, request: Request, out: &mut Effects) {
        let has_large_body = request.body.len() > limits::CLIENT_INPUT;
        let rejects = if has_large_body { cx.rejects_bodies } else { cx.rejects_requests };
        let path = request.site_path.clone();
        let site = path.last().cloned();
        out.push_back(Effect::Notify(Note::LinkRequestBegan { run, class: request.class.clone(), site }));
        let call = match link::call_from_request(request) {
            Ok(call) if !rejects => call,
            Ok(_) => return self.answer_link(cx, run, Answer::Rejected(0.0), None, out),
            Err(error) => return self.answer_link(cx, run, Answer::Invalid(error), None, out),
        };
        match self.site.destination(cx.now, &call.class, call.group, call.object.number, &path) {
            Destination::Local => {
                out.push_back(Effect::Route { client: FIRST_LINK_CLIENT + run, call: Box::new(call) });
            }
            Destination::Unroutable(reason) => {
                let text = reason.as_str();
                out.push_back(Effect::LogPeer(format!("a request over a link is rejected: {text}")));
                self.answer_link(cx, run, Answer::Invalid(RequestError::Unroutable(reason)), None, out);
            }
            Destination::Remote(site) => {
                let path = path.into_iter().chain([self.site.own_site().to_string()]).collect();
                match forwarded_request(cx, &call, path) {
                    Err(error) => self.answer_link(cx, run, Answer::Invalid(error), None, out),
                    Ok(forwarded) => {
                        let token = self.new_token(ReplyTarget::Run(run));
                        self.transit_requests.insert(run, token);
                        self.site.request(cx.now, token, &site, forwarded);
                    }
                }
            }
        }
    }

    /// Sends the answer to a request that was received over a link.
    pub(super) fn answer_link(
        &mut self,
        cx: &Context<'_>,
        run: RunId,
        answer: Answer,
        copy: Option<CopyInfo>,
        out: &mut Effects,
    ) {
        out.push_back(Effect::Notify(Note::LinkRequestEnded { run, outcome: outcome_of(&answer) }));
        let (outcome, retry_after, body) = match answer {
            Answer::Served(body) => (LinkOutcome::Served, 0.0, body),
            Answer::NotModified => (LinkOutcome::NotModified, 0.0, Bytes::new()),
            Answer::Rejected(retry_after) => (LinkOutcome::Rejected, retry_after, Bytes::new()),
            Answer::Failed => (LinkOutcome::Failed, 0.0, Bytes::new()),
            Answer::Invalid(_) => (LinkOutcome::Invalid, 0.0, Bytes::new()),
        };
        let issued_at = copy.as_ref().and_then(|c| c.issued);
        let tag = copy.map_or(String::new(), |c| c.tag.into());
        let result = RunResult { outcome, retry_after, body, issued_at, tag };
        self.site.run_ended(cx.now, run, result);
    }

    /// Passes the final answer to a forwarded request to the client or the site that waits for it.
    pub(super) fn forwarded_reply(
        &mut self,
        cx: &Context<'_>,
        token: RequestToken,
        reply: Reply,
        out: &mut Effects,
    ) {
        if matches!(reply, Reply::Rejected { .. } | Reply::Invalid) {
            self.forwarded_names.remove(&token);
        } else {
            self.remember_name(token);
        }
        let longest_retry_after = cx.router.instance_settings().settings.max_retry_after;
        let sends_retry_after = cx.router.instance_settings().settings.retry_after;
        let (answer, copy) = match reply {
            Reply::Served { body, issued_at: issued, tag } => {
                (Answer::Served(body), Some(CopyInfo { issued, tag: tag.into() }))
            }
            Reply::NotModified { issued_at: issued, tag } => {
                (Answer::NotModified, Some(CopyInfo { issued, tag: tag.into() }))
            }
            Reply::Rejected { retry_after } if sends_retry_after => {
                (Answer::Rejected(retry_after.min(longest_retry_after)), None)
            }
            Reply::Rejected { .. } => (Answer::Rejected(0.0), None),
            Reply::Failed => (Answer::Failed, None),
            Reply::Invalid => (Answer::Invalid(RequestError::InvalidAtOtherSite), None),
        };
        match self.reply_targets.remove(&token) {
            Some(ReplyTarget::Client((client, id))) => {
                self.client_requests.remove((client, id));
                out.push_back(Effect::Answer { client, id, answer });
            }
            Some(ReplyTarget::Run(run)) => {
                self.transit_requests.remove(&run);
                self.answer_link(cx, run, answer, copy, out);
            }
            None => {}
        }
    }

    /// Cancels a request that was received over a link.
    pub(super) fn cancel_link_request(&mut self, cx: &Context<'_>, run: RunId, out: &mut Effects) {
        out.push_back(Effect::Notify(Note::LinkRequestEnded { run, outcome: Outcome::Canceled }));
        match self.transit_requests.remove(&run) {
            Some(token) => {
                self.reply_targets.remove(&token);
                self.site.cancel(cx.now, token);
            }
            None => out.push_back(Effect::Abort(FIRST_LINK_CLIENT + run)),
        }
    }
}
