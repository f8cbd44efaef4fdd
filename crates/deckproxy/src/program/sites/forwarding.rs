//! Requests forwarded to other sites, and requests that other sites forward.

use super::{Owner, Sites};
use crate::program::subsystem::{
    Context, Effect, Effects, Event, FIRST_LINK_CLIENT, Note, RequestKey, Verdict, outcome_of,
};
use crate::protocol::downstream::{Answer, Call, RequestError};
use crate::protocol::link;
use crate::protocol::upstream::CopyInfo;
use bytes::Bytes;
use deckproxy_control::interface;
use deckproxy_flow::meter::Outcome;
use deckproxy_sites::far::{Ended, Run};
use deckproxy_sites::frame::{Ask, Word};
use deckproxy_sites::near::{Repeat, Reply, Token, Want};
use deckproxy_sites::site::Place;

/// A class's rank among all by priority weight, from 0 to 1.
fn rank(classes: &[interface::Class], class: usize) -> f64 {
    let weight = classes[class].priority_weight;
    let below = classes.iter().filter(|other| other.priority_weight < weight).count();
    let above = classes.iter().filter(|other| other.priority_weight > weight).count();
    if below + above == 0 { 0.5 } else { below as f64 / (below + above) as f64 }
}

/// What forwarding a request to another site takes; the error says why the request can't be used.
fn forwarding(cx: &Context<'_>, call: &Call, path: Vec<String>) -> Result<Want, RequestError> {
    let class = cx.router.validate(call)?;
    let settings = &cx.router.conf().settings;
    let rules = &settings.classes[class];
    let safe = rules.idempotency == interface::Idempotency::Idempotent;
    Ok(Want {
        object: call.object.number,
        expires: cx.now + call.timeout.min(rules.deadline),
        repeat: if safe { Repeat::Safe } else { Repeat::Never },
        joins: settings.join_fills && safe && !rules.write && !rules.stream,
        rank: rank(&settings.classes, class),
        ask: link::ask_from_call(call, path),
    })
}

impl Sites {
    /// Numbers a forwarded request.
    fn token(&mut self, owner: Owner) -> Token {
        self.last_token += 1;
        self.owners.insert(self.last_token, owner);
        self.last_token
    }

    /// Cancels the forwarded requests that a client cancelled, or all of a client that has gone.
    pub(super) fn cancel_client_requests(&mut self, now: f64, event: &Event<'_>, out: &mut Effects) {
        for (_, token) in self.client_requests.remove_cancelled(event) {
            self.owners.remove(&token);
            self.site.cancel(now, token);
            out.push_back(Effect::CountCancelled);
        }
    }

    /// Forwards a client's request over a link, where it is for another site.
    pub(super) fn forward_client_request(
        &mut self,
        cx: &Context<'_>,
        request: RequestKey,
        call: &Call,
        out: &mut Effects,
    ) -> Verdict {
        let place = self.site.place(cx.now, &call.class, call.group, call.object.number, &[]);
        let Place::Over(site) = place else { return Verdict::Pass };
        match forwarding(cx, call, vec![self.site.setup().own.clone()]) {
            Err(why) => Verdict::Answer(Answer::Invalid(why)),
            Ok(want) => {
                let token = self.token(Owner::Client(request));
                self.client_requests.insert(request, token);
                self.site.request(cx.now, token, &site, want);
                let (client, id) = request;
                out.push_back(Effect::Notify(Note::RequestForwarded { client, id, site }));
                out.push_back(Effect::CountReceived);
                Verdict::Taken
            }
        }
    }

    /// Takes a request that came over a link: it is routed here, forwarded to a further site, or answered at once.
    pub(super) fn link_request(&mut self, cx: &Context<'_>, run: Run, ask: Ask, out: &mut Effects) {
        let path = ask.path.clone();
        let site = path.last().cloned();
        out.push_back(Effect::Notify(Note::LinkRequestBegan { run, class: ask.class.clone(), site }));
        let call = match link::call_from_ask(ask) {
            Ok(call) if !cx.full => call,
            Ok(_) => return self.answer_link(cx, run, Answer::Rejected(0.0), None, out),
            Err(why) => return self.answer_link(cx, run, Answer::Invalid(why), None, out),
        };
        match self.site.place(cx.now, &call.class, call.group, call.object.number, &path) {
            Place::Here => {
                out.push_back(Effect::Route { client: FIRST_LINK_CLIENT + run, call: Box::new(call) })
            }
            Place::Nowhere(why) => {
                out.push_back(Effect::LogPeer(format!("a request over a link is turned away: {why}")));
                self.answer_link(cx, run, Answer::Invalid(RequestError::NoSite(why)), None, out);
            }
            Place::Over(site) => {
                let path = path.into_iter().chain([self.site.setup().own.clone()]).collect();
                match forwarding(cx, &call, path) {
                    Err(why) => self.answer_link(cx, run, Answer::Invalid(why), None, out),
                    Ok(want) => {
                        let token = self.token(Owner::Run(run));
                        self.transit_requests.insert(run, token);
                        self.site.request(cx.now, token, &site, want);
                    }
                }
            }
        }
    }

    /// Sends the answer to a request that came over a link.
    pub(super) fn answer_link(
        &mut self,
        cx: &Context<'_>,
        run: Run,
        answer: Answer,
        copy: Option<CopyInfo>,
        out: &mut Effects,
    ) {
        out.push_back(Effect::Notify(Note::LinkRequestEnded { run, outcome: outcome_of(&answer) }));
        let (word, cooldown, body) = match answer {
            Answer::Served(body) => (Word::Served, 0.0, body),
            Answer::NotModified => (Word::Unchanged, 0.0, Bytes::new()),
            Answer::Rejected(cooldown) => (Word::Refused, cooldown, Bytes::new()),
            Answer::Failed => (Word::Failed, 0.0, Bytes::new()),
            Answer::Invalid(_) => (Word::Unusable, 0.0, Bytes::new()),
        };
        let issued = copy.as_ref().and_then(|c| c.issued);
        let tag = copy.map_or(String::new(), |c| c.tag.into());
        self.site.ended(cx.now, run, Ended { word, cooldown, body, issued, tag });
    }

    /// Takes the final answer to a forwarded request, and passes it on to who waits for it.
    pub(super) fn forwarded_reply(
        &mut self,
        cx: &Context<'_>,
        token: Token,
        reply: Reply,
        out: &mut Effects,
    ) {
        let longest_retry_after = cx.router.conf().settings.max_retry_after;
        let sends_retry_after = cx.router.conf().settings.retry_after;
        let (answer, copy) = match reply {
            Reply::Served(body, issued, tag) => {
                (Answer::Served(body), Some(CopyInfo { issued, tag: tag.into() }))
            }
            Reply::Unchanged(issued, tag) => {
                (Answer::NotModified, Some(CopyInfo { issued, tag: tag.into() }))
            }
            Reply::Refused(wait) if sends_retry_after => {
                (Answer::Rejected(wait.min(longest_retry_after)), None)
            }
            Reply::Refused(_) => (Answer::Rejected(0.0), None),
            Reply::Failed => (Answer::Failed, None),
            Reply::Unusable => (Answer::Invalid(RequestError::InvalidAtOtherSite), None),
        };
        match self.owners.remove(&token) {
            Some(Owner::Client((client, id))) => {
                self.client_requests.remove((client, id));
                out.push_back(Effect::Answer { client, id, answer });
            }
            Some(Owner::Run(run)) => {
                self.transit_requests.remove(&run);
                self.answer_link(cx, run, answer, copy, out);
            }
            None => {}
        }
    }

    /// Cancels a request that came over a link.
    pub(super) fn cancel_link_request(&mut self, cx: &Context<'_>, run: Run, out: &mut Effects) {
        out.push_back(Effect::Notify(Note::LinkRequestEnded { run, outcome: Outcome::Cut }));
        match self.transit_requests.remove(&run) {
            Some(token) => {
                self.owners.remove(&token);
                self.site.cancel(cx.now, token);
            }
            None => out.push_back(Effect::Abort(FIRST_LINK_CLIENT + run)),
        }
    }
}
