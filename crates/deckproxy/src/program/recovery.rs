//! Recovery from storms, before the router: which requests pass, and when the others are asked back.

use crate::program::subsystem::{Callers, Context, Effects, Event, Subsystem, Verdict, ended};
use crate::protocol::downstream::{Answer, Call};
use crate::routing::ClientId;
use deckproxy_operator::{Client, Operator};
use deckproxy_recovery::admission::{self, Admission, Ended};
use deckproxy_settings::Conf;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, HashMap};

/// The door of one gateway.
pub struct Recovery {
    log: Logger,
    door: Admission,
    classes: HashMap<Box<str>, usize>,
    /// Requests that passed, with their objects.
    open: BTreeMap<(ClientId, u32), u64>,
    callers: Callers,
    /// Whether clients are told when to come back.
    advice: bool,
    /// A storm was on when this was looked at last.
    stormy: bool,
}

impl Recovery {
    /// Starts what the operator file asks for; none where it asks for nothing.
    pub(super) fn start(log: &Logger, conf: &Conf, seed: u64, operator: &Operator) -> Option<Box<Self>> {
        let recovery = operator.recovery.as_ref()?;
        for name in recovery.unknown(&conf.classes) {
            warn!(log, "recovery: a class is to be given up that the settings do not have"; "class" => name);
        }
        let worth = conf.settings.classes.iter().map(|c| c.priority_weight);
        let classes: Vec<(String, f64)> = conf.classes.iter().cloned().zip(worth).collect();
        let advice = conf.settings.retry_after;
        let most = conf.settings.max_retry_after.max(1.0);
        let mut settings = recovery.settings(&classes, most);
        // Who was not told when to come back is not held to it.
        settings.holds_hasty = advice;
        Some(Box::new(Recovery {
            log: log.clone(),
            door: Admission::new(settings, seed),
            classes: classes.iter().enumerate().map(|(i, (name, _))| (name.as_str().into(), i)).collect(),
            open: BTreeMap::new(),
            callers: Callers::known_by(recovery.client() == Client::Address),
            advice,
            stormy: false,
        }))
    }

    /// Whether clients' addresses are wanted.
    pub(super) fn wants_addresses(&self) -> bool {
        self.callers.wants_addresses()
    }

    /// A client gave requests up, or has gone with all of them.
    fn gone(&mut self, now: f64, id: ClientId, requests: std::ops::RangeInclusive<u32>) {
        let keys = (id, *requests.start())..=(id, *requests.end());
        let gone: Vec<_> = self.open.range(keys).map(|(key, object)| (*key, *object)).collect();
        let client = self.callers.of(id);
        for (key, object) in gone {
            self.open.remove(&key);
            self.door.ended(now, client, object, Ended::Gone, 0.0);
        }
    }

    /// A line for the operators when a storm has begun or ended.
    fn news(&mut self) -> Option<String> {
        let cap = self.door.cap();
        if std::mem::replace(&mut self.stormy, cap.is_some()) == cap.is_some() {
            return None;
        }
        Some(match cap {
            Some(cap) => format!("a storm of repeats: {cap:.0} requests a second are let in"),
            None => "the storm of repeats is over: all are let in".to_string(),
        })
    }
}

impl Subsystem for Recovery {
    fn event(&mut self, cx: &Context<'_>, event: &Event<'_>, _: &mut Effects) {
        if let Some((client, requests)) = ended(event) {
            self.gone(cx.now, client, requests);
        }
        self.callers.event(event);
        if let Event::Kept = event
            && let Some(text) = self.news()
        {
            info!(self.log, "recovery"; "what" => text);
        }
    }

    /// A request came: the answer to it, where it does not pass.
    fn request(&mut self, cx: &Context<'_>, of: (ClientId, u32), call: &Call, _: &mut Effects) -> Verdict {
        // What names no class is not for the door to judge.
        let Some(class) = self.classes.get(&call.class).copied() else { return Verdict::Pass };
        let client = self.callers.of(of.0);
        match self.door.request(cx.now, client, class, call.object.1, call.allow) {
            admission::Verdict::Pass => {
                self.open.insert(of, call.object.1);
                Verdict::Pass
            }
            admission::Verdict::Refuse(back) => {
                Verdict::Answer(Answer::Refused(if self.advice { back } else { 0.0 }))
            }
        }
    }

    /// A request has its final answer. Gives that with the time to come back.
    fn answer(&mut self, cx: &Context<'_>, of: (ClientId, u32), answer: &Answer) -> Option<Answer> {
        let object = self.open.remove(&of)?;
        let (ended, back) = match answer {
            Answer::Served(_) | Answer::Unchanged => (Ended::Served, 0.0),
            Answer::Refused(back) => (Ended::Refused, *back),
            Answer::Failed => (Ended::Failed, 0.0),
            // That says nothing of how the gateway does.
            Answer::Unusable(_) => return None,
        };
        let client = self.callers.of(of.0);
        let back = self.door.ended(cx.now, client, object, ended, back);
        (ended == Ended::Refused && self.advice).then_some(Answer::Refused(back))
    }

    fn summary(&mut self) -> String {
        let c = self.door.counters;
        let [storms, level, remembered, crowded] = self.door.sizes();
        let cap = self.door.cap().map_or("none".to_string(), |cap| format!("{cap:.0}"));
        format!(
            "cap:{cap},storms:{storms},given_up:{level},came[first:{},repeat:{}],passed[first:{},repeat:{}],\
             refused[hasty:{},no_budget:{},capped:{},aged:{},given_up:{}],remembered:{remembered},crowded:{crowded}",
            c.firsts,
            c.repeats,
            c.passed_firsts,
            c.passed_repeats,
            c.hasty,
            c.no_budget,
            c.capped,
            c.aged,
            c.given_up,
        )
    }
}
