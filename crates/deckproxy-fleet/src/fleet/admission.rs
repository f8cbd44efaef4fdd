//! Connects an instance's load shedding to the fleet: the entries that it shares, and log lines for operators.

use super::Fleet;
use crate::Millis;
use crate::overload::shed_level::{ResourceShedLevel, ShedLevel};
use crate::overload::summary::RESOURCES;
use crate::overload::{Overload, Presence, PresentInstance, RequestInfo, RequestOutcome, Ticket, Verdict};

/// Names of the resources in log lines, each with the matching form of the verb.
const RESOURCE_NAMES: [(&str, &str); RESOURCES] = [("the caches", "are"), ("the path to the sources", "is")];

impl Fleet {
    /// The state of load shedding; `None` if coordinated load shedding is disabled.
    pub fn overload(&self) -> Option<&Overload> {
        self.overload.as_deref()
    }

    /// Decides whether to admit a client's request; `None` if coordinated load shedding is disabled.
    pub fn request(&mut self, now: Millis, request: RequestInfo) -> Option<Verdict> {
        self.overload.as_mut().map(|overload| overload.request(now, request))
    }

    /// Records the end of an admitted request. `retry_after` is the decision module's retry-after time in milliseconds, if
    /// it rejected the request. Returns the retry-after time to send.
    pub fn request_ended(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        outcome: RequestOutcome,
        retry_after: Millis,
    ) -> Millis {
        let Some(overload) = &mut self.overload else { return retry_after };
        overload.request_ended(now, ticket, outcome, retry_after)
    }

    fn presence(&self) -> Presence {
        // A suspect instance keeps its share of the limits.
        let present = self.peers.values().filter(|peer| peer.status.is_present());
        let others = present.map(|peer| PresentInstance {
            name: peer.instance.name.clone(),
            incarnation: peer.instance.incarnation,
        });
        Presence {
            own: Some(self.own().name.clone()),
            others: others.collect(),
            is_stale: self.view.is_stale,
        }
    }

    pub(super) fn update_load_shedding(&mut self, now: Millis) {
        let Some(mut overload) = self.overload.take() else { return };
        let before = *overload.level();
        let writes = overload.tick(now, &self.presence(), &self.store);
        // While load is shed, new entries are pushed at once instead of with the next round of digests.
        let is_urgent = !writes.is_empty() && overload.level().is_shedding();
        for write in writes {
            let written = self.store.write(now, write.key, write.ttl, write.value);
            self.counters.over_limit += u64::from(!written);
        }
        if is_urgent {
            self.push(now);
        }
        if let Some(line) = log_line(&before, overload.level()) {
            self.log(line);
        }
        self.overload = Some(overload);
    }
}

/// A log line for operators when load shedding begins or ends for a resource.
fn log_line(before: &ShedLevel, now: &ShedLevel) -> Option<String> {
    let lines = before.resources.iter().zip(&now.resources);
    let changes = RESOURCE_NAMES.into_iter().zip(lines).filter_map(|((name, verb), change)| match change {
        (None, Some(line)) => Some(shedding_began(name, verb, line)),
        (Some(_), None) => Some(format!("{name}: all requests are admitted again")),
        _ => None,
    });
    let changes: Vec<String> = changes.collect();
    (!changes.is_empty()).then(|| changes.join("; "))
}

fn shedding_began(name: &str, verb: &str, line: &ResourceShedLevel) -> String {
    let ResourceShedLevel { admitted_rate, offered_rate, .. } = line;
    format!(
        "{name} {verb} overloaded: the fleet admits {admitted_rate:.0} of {offered_rate:.0} requests a second"
    )
}
