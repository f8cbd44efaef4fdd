//! Passes events to the decision module and applies its actions.

use crate::protocol::downstream::Answer;
use crate::protocol::limits;
use crate::protocol::upstream::AttemptOptions;
use crate::routing::attempt_key::attempt_key;
use crate::routing::deadline::Deadline;
use crate::routing::effect::Effect;
use crate::routing::router::Router;
use deckproxy_control::interface::{Action, AttemptEnding, Event};

impl Router {
    /// Passes an event to the decision module and applies its actions. Events that these actions cause are queued until
    /// all earlier actions are applied.
    pub(super) fn notify_control(&mut self, now: f64, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.notifying, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.control.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action);
            }
        }
        self.notifying = false;
    }

    fn apply_action(&mut self, now: f64, action: Action) {
        match action {
            Action::Lookup { request, member, deadline } => {
                self.send_attempt(now, request, member, deadline, AttemptOptions::default());
            }
            Action::Get { request, member, deadline, source, copy_rank, max_age, options } => {
                let source = self.members.name(source).filter(|_| source != member).map(Into::into);
                let options = AttemptOptions {
                    source,
                    copy_rank,
                    max_age,
                    join: options.join,
                    cached_only: options.cached_only,
                    no_parent_copy: options.no_parent_copy,
                    renew: options.renew,
                    timeout: 0.0,
                };
                self.send_attempt(now, request, member, deadline, options);
            }
            Action::Reject { request, retry_after } => {
                self.finish(request, Answer::Rejected(retry_after).into());
            }
            Action::Fail { request } => self.finish(request, Answer::Failed.into()),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(attempt_key(request, attempt), AttemptEnding::Cancelled);
            }
            // A minimum delay: a timer that is always due would block the event loop.
            Action::Timer { token, at } => {
                self.timers.schedule(at.max(now + limits::MIN_TIMER_DELAY), Deadline::Control(token));
            }
            Action::HealthCheck(member) => self.health_check(now, member),
            Action::CloseIdle(member) => self.effects.push_back(Effect::CloseIdle(member)),
            Action::Log(text) => self.effects.push_back(Effect::Log(text)),
            // Not needed: the feed pushes every change, and the protocol has no messages between gateways.
            Action::SendToPeer(..) | Action::WatchMembers(_) | Action::FetchMembers => {}
        }
    }
}
