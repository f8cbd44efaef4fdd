//! Admission control against retry storms: decides which requests reach the router, and sets the Retry-After of
//! rejected ones.

use crate::program::subsystem::{
    ClientIdentities, Context, Effects, Event, Field, OpenRequests, RequestKey, Subsystem, Verdict,
    platform_settings,
};
use crate::protocol::downstream::{Answer, Call};
use deckproxy_operator::{Client, Operator};
use deckproxy_recovery::admission::{self, Admission, RequestInfo, RequestOutcome};
use deckproxy_recovery::retries;
use deckproxy_settings::InstanceSettings;
use slog::{Logger, info, warn};
use std::collections::HashMap;

/// The admission control of one gateway.
pub struct Recovery {
    log: Logger,
    admission: Admission,
    /// Indices of the classes by name.
    classes: HashMap<Box<str>, usize>,
    /// Admitted requests that are open, with their objects.
    open: OpenRequests<u64>,
    identities: ClientIdentities,
    /// Whether rejections carry a Retry-After.
    sends_retry_after: bool,
    /// Whether the last log line reported the start of a storm.
    storm_logged: bool,
}

impl Recovery {
    /// Starts the admission control; `None` if the operator file does not enable it.
    pub(super) fn start(
        log: &Logger,
        instance_settings: &InstanceSettings,
        seed: u64,
        operator: &Operator,
    ) -> Option<Box<Self>> {
        let recovery = operator.recovery.as_ref()?;
        let platform = platform_settings(instance_settings);
        for name in recovery.unknown_classes(&platform) {
            warn!(log, "recovery: give_up names a class that the settings do not have"; "class" => name);
        }
        let names = platform.classes.iter().map(|class| class.name.as_str().into());
        Some(Box::new(Recovery {
            log: log.clone(),
            admission: Admission::new(recovery.settings(&platform), seed),
            classes: names.enumerate().map(|(index, name)| (name, index)).collect(),
            open: OpenRequests::default(),
            identities: ClientIdentities::by_address(recovery.client() == Client::Address),
            sends_retry_after: platform.sends_retry_after,
            storm_logged: false,
        }))
    }

    /// Whether it needs the clients' addresses.
    pub(super) fn wants_addresses(&self) -> bool {
        self.identities.wants_addresses()
    }

    /// Logs the start or end of a retry storm.
    fn log_storm(&mut self) {
        let cap = self.admission.cap();
        if std::mem::replace(&mut self.storm_logged, cap.is_some()) == cap.is_some() {
            return;
        }
        let text = match cap {
            Some(cap) => format!("a retry storm: {cap:.0} requests a second are admitted"),
            None => "the retry storm is over: all requests are admitted".to_string(),
        };
        info!(self.log, "recovery"; "what" => text);
    }
}

impl Subsystem for Recovery {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, _: &mut Effects) {
        for ((client, _), object) in self.open.remove_cancelled(event) {
            let client = self.identities.identity(client);
            let key = retries::RequestKey { client, object };
            self.admission.request_ended(cx.now, key, RequestOutcome::ClientGone, 0.0);
        }
        self.identities.event(event);
        if let Event::Housekeeping = event {
            self.log_storm();
        }
    }

    fn request(&mut self, cx: &Context<'_>, request: RequestKey, call: &Call, _: &mut Effects) -> Verdict {
        // The router answers requests of unknown classes as invalid.
        let Some(class) = self.classes.get(&call.class).copied() else { return Verdict::Pass };
        let client = self.identities.identity(request.0);
        let key = retries::RequestKey { client, object: call.object.number };
        match self.admission.request(cx.now, RequestInfo { key, class, time_left: call.timeout }) {
            admission::Verdict::Admit => {
                self.open.insert(request, call.object.number);
                Verdict::Pass
            }
            admission::Verdict::Reject { retry_after } => {
                let retry_after = if self.sends_retry_after { retry_after } else { 0.0 };
                Verdict::Answer(Answer::Rejected(retry_after))
            }
        }
    }

    /// Records the final answer; replaces the Retry-After of a rejection by that of the admission control.
    fn answer(&mut self, cx: &Context<'_>, request: RequestKey, answer: &Answer) -> Option<Answer> {
        let object = self.open.remove(request)?;
        let (outcome, retry_after) = match answer {
            Answer::Served(_) | Answer::NotModified => (RequestOutcome::Served, 0.0),
            Answer::Rejected(retry_after) => (RequestOutcome::Rejected, *retry_after),
            Answer::Failed => (RequestOutcome::Failed, 0.0),
            // An invalid request says nothing about the load.
            Answer::Invalid(_) => return None,
        };
        let client = self.identities.identity(request.0);
        let key = retries::RequestKey { client, object };
        let retry_after = self.admission.request_ended(cx.now, key, outcome, retry_after);
        (outcome == RequestOutcome::Rejected && self.sends_retry_after)
            .then_some(Answer::Rejected(retry_after))
    }

    fn summary(&mut self) -> Vec<Field> {
        let counters = self.admission.counters;
        let status = self.admission.status();
        let cap = self.admission.cap().map_or("none".to_string(), |cap| format!("{cap:.0}"));
        let attempts = |first: u64, retry: u64| [Field::value("first", first), Field::value("retry", retry)];
        let rejected = [
            Field::value("too_early", counters.too_early),
            Field::value("no_budget", counters.no_budget),
            Field::value("capped", counters.capped),
            Field::value("too_late", counters.too_late),
            Field::value("class_shed", counters.class_shed),
        ];
        vec![
            Field::value("cap", cap),
            Field::value("storms", status.storms),
            Field::value("classes_shed", status.shedding_level),
            Field::group("arrived", attempts(counters.first_attempts, counters.retries)),
            Field::group("admitted", attempts(counters.admitted_first_attempts, counters.admitted_retries)),
            Field::group("rejected", rejected),
            Field::value("remembered", status.remembered),
            Field::value("overbooked", status.overbooked),
        ]
    }
}
