//! Requests: routing, forwarding over links, and the results of received ones.

use super::SiteGateway;
use super::effects::{Destination, Effect, Unroutable};
use crate::frame::Frame;
use crate::requester::{ForwardedRequest, Reply, RequestToken};
use crate::responder::{RunId, RunResult};
use crate::{ConnectionId, Millis};

impl SiteGateway {
    /// Decides where a request is served. `site_path`: the sites that forwarded it, in the order in which it passed
    /// them; empty for a request from this site's own clients.
    pub fn destination(
        &mut self,
        now: Millis,
        class: &str,
        group: u32,
        object: u64,
        site_path: &[String],
    ) -> Destination {
        let Some(rule) = self.routes.find(class, group, object) else { return Destination::Local };
        let next_site = rule.next_site();
        if site_path.iter().any(|site| site == next_site) {
            return Destination::Unroutable(Unroutable::Loop);
        }
        if site_path.len() >= self.max_hops as usize {
            return Destination::Unroutable(Unroutable::TooManyHops);
        }
        if rule.copies_allowed {
            match self.purges.check_trust(now, &rule.home) {
                Ok(()) => return Destination::Local,
                Err(distrust) => self.distrusted.count(distrust),
            }
        }
        Destination::Remote(next_site.to_string())
    }

    /// Accepts a request to be forwarded to a site.
    pub fn request(&mut self, now: Millis, token: RequestToken, site: &str, request: ForwardedRequest) {
        let Some(index) = self.peer_index(site) else {
            let reply = Reply::Rejected { retry_after: self.link.retry_after };
            return self.effects.push_back(Effect::Reply(token, reply));
        };
        self.requests.insert(token, index);
        self.peers[index].requester.request(now, token, request);
        self.collect_requester_effects(index);
    }

    /// Cancels a forwarded request whose client no longer waits.
    pub fn cancel(&mut self, now: Millis, token: RequestToken) {
        if let Some(index) = self.requests.remove(&token) {
            self.peers[index].requester.cancel(now, token);
            self.collect_requester_effects(index);
        }
    }

    /// Number of requests that wait for a response over a link.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Records the result of executing a request that was received over a link.
    pub fn run_ended(&mut self, now: Millis, run: RunId, result: RunResult) {
        self.responder.run_ended(now, run, result);
        self.collect_responder_effects();
    }

    /// Returns the next chunk of a body for a connection that can send more.
    pub fn next_chunk(&mut self, connection: ConnectionId) -> Option<Frame> {
        self.responder.next_chunk(connection).map(Frame::from)
    }
}
