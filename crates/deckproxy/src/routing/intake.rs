//! Intake of requests: validation, limits, and insertion into the table.

use crate::protocol::downstream::{Answer, Call, RequestError};
use crate::protocol::limits;
use crate::routing::deadline::Deadline;
use crate::routing::effect::{ClientId, Effect};
use crate::routing::requests::OpenRequest;
use crate::routing::router::Router;
use deckproxy_control::interface::{Event, Idempotency, Request};

/// Share of the slack after a request's deadline (answer slack plus socket slack) after which the router fails a request
/// that the decision module has not answered.
const SLACK_SHARE: f64 = 0.5;

impl Router {
    /// Validates a request and returns the index of its class in the settings.
    ///
    /// # Errors
    /// [`RequestError`] if the class is unknown or the request breaks one of its rules.
    pub fn validate(&self, call: &Call) -> Result<usize, RequestError> {
        let class = self.classes.get(&call.class).copied().ok_or(RequestError::UnknownClass)?;
        let settings = &self.instance_settings.settings;
        let rules = &settings.classes[class];
        if call.idempotency_key.is_some() != (rules.idempotency == Idempotency::Keyed) {
            return Err(RequestError::IdempotencyKey);
        }
        if call.timeout > rules.deadline + limits::SOCKET_SLACK {
            return Err(RequestError::TimeoutOutOfRange);
        }
        // Reject sizes whose transfer would take too long: such a size would also be learned as typical of the class.
        let limited_size = call.size_kb.filter(|_| settings.transfer_rate > 0.0);
        let transfer_time = limited_size.map_or(0.0, |kb| kb / settings.transfer_rate * 1000.0);
        if transfer_time > rules.deadline * limits::TRANSFER_DEADLINES {
            return Err(RequestError::SizeOutOfRange);
        }
        Ok(class)
    }

    /// Handles a complete request. Answers it at once if it is invalid or exceeds the limit on open requests.
    pub fn request(&mut self, now: f64, client: ClientId, id: u32, call: Call) {
        let class = match self.validate(&call) {
            Ok(class) => class,
            Err(error) => return self.answer_invalid(client, id, error),
        };
        if self.requests.is_name_used(&call.name) {
            // The name identifies attempts on members' connections, so it must be unique among the open requests. A later
            // request under the name of one that may have run would run it again.
            return self.answer_invalid(client, id, RequestError::NameInUse);
        }
        if self.requests.len() >= self.instance_settings.limits.max_requests {
            self.counters.rejected += 1;
            return self.answer_unopened(client, id, Answer::Rejected(0.0));
        }
        self.open(now, client, id, call, class);
    }

    fn answer_invalid(&mut self, client: ClientId, id: u32, error: RequestError) {
        self.counters.invalid += 1;
        self.answer_unopened(client, id, Answer::Invalid(error));
    }

    /// Answers a request that has no entry in the table.
    fn answer_unopened(&mut self, client: ClientId, id: u32, answer: Answer) {
        self.effects.push_back(Effect::Answer { client, id, answer, copy: None });
    }

    /// Adds a valid request to the table and passes it to the decision module.
    fn open(&mut self, now: f64, client: ClientId, client_id: u32, call: Call, class: usize) {
        let id = self.requests.next_id();
        let free = self.requests.is_free(id, client, client_id);
        self.check_invariant(free, "a request's id is free");
        self.counters.accepted += 1;
        let rules = &self.instance_settings.settings.classes[class];
        let deadline = now + call.timeout.min(rules.deadline);
        let request = Request {
            id,
            object: call.object.number,
            part: call.part.unwrap_or(0),
            group: call.group,
            size: call.size_kb,
            class,
            deadline,
        };
        let answer_by =
            deadline + (self.instance_settings.limits.answer_slack + limits::SOCKET_SLACK) * SLACK_SHARE;
        let open = OpenRequest {
            client,
            client_id,
            call: call.into(),
            deadline,
            attempts: 0,
            in_flight: Vec::new(),
            may_have_run_since: None,
            answer_timer: self.timers.schedule(answer_by, Deadline::Request(id)),
            finished: false,
            class,
            is_idempotent: rules.idempotency == Idempotency::Idempotent,
            expected_bytes: self.answer_sizes.expected(class),
        };
        self.requests.insert(id, open);
        self.notify_control(now, Event::Request(request));
    }

    /// When the answer to a request received now, whose client waits for `timeout` ms, is of no more use, Unix ms.
    pub fn answer_due(&self, now: f64, timeout: f64) -> f64 {
        let timeout = timeout.min(self.instance_settings.longest_deadline());
        now + timeout + self.instance_settings.limits.answer_slack + limits::LATE_ANSWER
    }

    /// The same for a request whose timeout is unknown.
    pub fn longest_answer_due(&self, now: f64) -> f64 {
        self.answer_due(now, f64::INFINITY)
    }
}
