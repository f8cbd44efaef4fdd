//! Intake of requests: validation, limits, and the entry in the table.

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::limits;
use crate::routing::deadline::Deadline;
use crate::routing::effect::{ClientId, Effect};
use crate::routing::requests::OpenRequest;
use crate::routing::router::Router;
use deckproxy_control::interface::{Event, Idempotency, Request};

/// Share of the time allowed beyond a request's deadline after which the router answers in place of the module.
const SLACK_SHARE: f64 = 0.5;

impl Router {
    /// The class of a request, as its position in the settings; the error says why the request is invalid.
    pub fn validate(&self, call: &Call) -> Result<usize, &'static str> {
        let class = self.classes.get(&call.class).copied().ok_or("an unknown class")?;
        let settings = &self.conf.settings;
        let rules = &settings.classes[class];
        if call.key.is_some() != (rules.idempotency == Idempotency::Keyed) {
            return Err("replay: in keyed classes and in no other");
        }
        if call.allow > rules.deadline + limits::SOCKET_SLACK {
            return Err("allow is over the class's longest time");
        }
        // A size that takes so long would also be learned as the class's.
        let paced_size = call.size.filter(|_| settings.transfer_rate > 0.0);
        let sending_time = paced_size.map_or(0.0, |kb| kb / settings.transfer_rate * 1000.0);
        if sending_time > rules.deadline * limits::LARGEST {
            return Err("room is out of range");
        }
        Ok(class)
    }

    /// A complete request came in. It is answered at once where it is invalid or over the limit.
    pub fn request(&mut self, now: f64, client: ClientId, id: u32, call: Call) {
        let class = match self.validate(&call) {
            Ok(class) => class,
            Err(why) => return self.answer_invalid(client, id, why),
        };
        if self.requests.has_name(&call.name) {
            // Attempts go by this name on the members' connections: two of one name can't be told apart.
            return self.answer_invalid(client, id, "ref is in use");
        }
        if self.requests.len() >= self.conf.limits.open {
            self.counters.rejected += 1;
            return self.answer_unopened(client, id, Answer::Refused(0.0));
        }
        self.open(now, client, id, call, class);
    }

    fn answer_invalid(&mut self, client: ClientId, id: u32, why: &'static str) {
        self.counters.invalid += 1;
        self.answer_unopened(client, id, Answer::Unusable(why));
    }

    /// Answers a request that has no entry in the table.
    fn answer_unopened(&mut self, client: ClientId, id: u32, answer: Answer) {
        self.effects.push_back(Effect::Answer { client, id, answer, copy: None });
    }

    /// Enters a valid request and hands it to the decision module.
    fn open(&mut self, now: f64, client: ClientId, client_id: u32, call: Call, class: usize) {
        let id = self.requests.next_id();
        let free = self.requests.is_free(id, client, client_id);
        self.check_invariant(free, "a request's id is free");
        self.counters.accepted += 1;
        let deadline = now + call.allow.min(self.conf.settings.classes[class].deadline);
        let request = Request {
            id,
            object: call.object.1,
            part: call.part.unwrap_or(0),
            group: call.group,
            size: call.size,
            class,
            deadline,
        };
        let open = OpenRequest {
            client,
            client_id,
            call: call.into(),
            deadline,
            attempts: 0,
            in_flight: Vec::new(),
            may_have_run_since: None,
            finished: false,
        };
        self.requests.insert(id, open);
        let last = deadline + (self.conf.limits.slack + limits::SOCKET_SLACK) * SLACK_SHARE;
        self.timers.schedule(last, Deadline::Request(id));
        self.notify_control(now, Event::Request(request));
    }

    /// Whether a request of a client is open under this id and owed an answer.
    pub fn is_open(&self, client: ClientId, id: u32) -> bool {
        self.requests.of_client(client, id).is_some()
    }

    /// Whether a client is owed an answer.
    pub fn owes_to(&self, client: ClientId) -> bool {
        self.requests.ids_of_client(client).next().is_some()
    }
}
