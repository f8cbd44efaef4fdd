//! The five rules of the platform, judged on a record of what passed on the sockets. Nothing here asks the gateway.

mod latencies;
mod verdict;

pub use latencies::Latencies;
pub use verdict::Verdict;

use crate::record::{Fact, Outcome, Seen, Stamp};
use std::collections::{BTreeMap, HashMap};

/// Tolerance of time limits that are measured on sockets, ms.
pub const SLACK_MS: f64 = 50.0;
/// Time after its deadline from which a request counts as never answered, ms.
const ANSWER_WAIT_MS: f64 = 1000.0;
/// Time after which its clients must have noticed that a gateway was killed, ms.
const KILL_NOTICE_MS: f64 = 300.0;
/// Violations that a verdict describes.
const DESCRIBED_VIOLATIONS: usize = 20;

/// The limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Time after a drain's announcement from which the member may receive nothing more, ms.
    pub drain_ms: f64,
    /// Time after a purge's announcement from which no older copy may be requested or served, ms.
    pub purge_ms: f64,
    /// Attempts of one request that may be in flight at once.
    pub concurrent_attempts: usize,
}

impl Default for RuleLimits {
    fn default() -> Self {
        RuleLimits { drain_ms: 500.0, purge_ms: 1000.0, concurrent_attempts: 1 }
    }
}

/// Judges a record up to its end, at `end_ms`.
pub fn judge(facts: &[Seen], limits: RuleLimits, end_ms: f64) -> Verdict {
    let mut judge = Judge { limits, ..Judge::default() };
    for Seen { at, fact } in facts {
        judge.observe(*at, fact);
    }
    judge.finish(end_ms)
}

/// A request of a client.
#[derive(Debug)]
struct Request {
    sent: f64,
    site: u32,
    /// It needs no answer, as its gateway was killed.
    excused: bool,
    cross_site: bool,
    object: u64,
    group: u32,
    timeout_ms: f64,
    answers: usize,
    connection_lost: bool,
}

/// A purge of an object or a group.
struct Purge {
    announced: f64,
    /// When it was made, Unix ms.
    made: u64,
}

/// An attempt in flight.
struct Attempt<'a> {
    member: &'a str,
    received: f64,
}

/// The state of a judgement; times are ms since the record began.
#[derive(Default)]
struct Judge<'a> {
    limits: RuleLimits,
    verdict: Verdict,
    requests: BTreeMap<&'a str, Request>,
    in_flight: HashMap<&'a str, Vec<Attempt<'a>>>,
    /// Effects by idempotency key, or by name for requests without one.
    effects: HashMap<&'a str, usize>,
    drained: HashMap<&'a str, f64>,
    purged_objects: HashMap<u64, Vec<Purge>>,
    purged_groups: HashMap<u32, Vec<Purge>>,
    /// When a member received the latest attempt of a request.
    last_attempt: HashMap<&'a str, f64>,
    /// Cross-site requests that were served.
    cross_site_served: usize,
    /// When the gateway of a site was killed last.
    killed: HashMap<u32, f64>,
}

impl<'a> Judge<'a> {
    fn observe(&mut self, at: f64, fact: &'a Fact) {
        match fact {
            Fact::RequestSent { name, site, home_site, object, group, timeout_ms, .. } => {
                let request = Request {
                    sent: at,
                    site: *site,
                    // Its client may not have noticed yet that the gateway was killed.
                    excused: self.killed.get(site).is_some_and(|since| at - since < KILL_NOTICE_MS),
                    cross_site: site != home_site,
                    object: *object,
                    group: *group,
                    timeout_ms: *timeout_ms,
                    answers: 0,
                    connection_lost: false,
                };
                self.request_sent(name, request);
            }
            Fact::Answered { name, outcome } => self.answered(at, name, *outcome),
            Fact::Withdrawn { name } => self.withdrawn(name),
            Fact::ConnectionLost { name } => {
                if let Some(request) = self.requests.get_mut(name.as_str()) {
                    request.connection_lost = true;
                }
            }
            Fact::AttemptReceived { name, member, .. } => self.attempt_received(at, name, member),
            Fact::AttemptEnded { name, member } => self.attempt_ended(at, name, member),
            Fact::EffectApplied { name, key, .. } => self.effect_applied(at, name, key.as_deref()),
            Fact::DrainAnnounced { member } => {
                self.drained.entry(member).or_insert(at);
            }
            Fact::PurgeAnnounced { object, group, at: made, .. } => {
                self.verdict.purges += 1;
                let purge = Purge { announced: at, made: *made };
                match object {
                    Some(object) => self.purged_objects.entry(*object).or_default().push(purge),
                    None => self.purged_groups.entry(*group).or_default().push(purge),
                }
            }
            Fact::HealthChecked { .. } => {}
            Fact::Filled { .. } => self.verdict.fills += 1,
            Fact::CacheHit { .. } => self.verdict.hits += 1,
            Fact::GatewayKilled { site } => self.gateway_killed(at, *site),
            Fact::LinkChanged { is_cut, .. } => self.verdict.link_cuts += usize::from(*is_cut),
        }
    }

    /// Describes a violation, unless many were described already.
    fn violation(&mut self, at: f64, what: &str) {
        if self.verdict.violations.len() < DESCRIBED_VIOLATIONS {
            self.verdict.violations.push(format!("{at:.0} ms: {what}"));
        }
    }

    fn request_sent(&mut self, name: &'a str, request: Request) {
        self.verdict.requests += 1;
        self.verdict.cross_site += usize::from(request.cross_site);
        self.requests.insert(name, request);
    }

    fn withdrawn(&mut self, name: &str) {
        if let Some(request) = self.requests.remove(name) {
            self.verdict.requests -= 1;
            self.verdict.cross_site -= usize::from(request.cross_site);
        }
    }

    fn answered(&mut self, at: f64, name: &str, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(name) else { return };
        request.answers += 1;
        let (cross_site, sent, timeout_ms) = (request.cross_site, request.sent, request.timeout_ms);
        if request.answers > 1 {
            self.verdict.double_answers += 1;
            self.violation(at, &format!("{name}: a second answer"));
            return;
        }
        let latency = at - sent;
        if at > sent + timeout_ms + SLACK_MS {
            self.verdict.late_answers += 1;
            self.violation(at, &format!("{name}: answered after {latency:.0} ms"));
        }
        match outcome {
            Outcome::Served(stamp) => {
                self.count_served(cross_site);
                let verdict = &mut self.verdict;
                let latencies =
                    if cross_site { &mut verdict.cross_site_latencies } else { &mut verdict.home_latencies };
                latencies.record(latency);
                self.check_body(at, name, stamp);
            }
            Outcome::Unchanged => self.count_served(cross_site),
            Outcome::Rejected(_) => self.verdict.rejected += 1,
            Outcome::Failed => self.verdict.failed += 1,
        }
    }

    fn count_served(&mut self, cross_site: bool) {
        self.verdict.served += 1;
        self.cross_site_served += usize::from(cross_site);
    }

    /// Checks that a body is of the requested object, and not older than a purge.
    fn check_body(&mut self, at: f64, name: &str, stamp: Option<Stamp>) {
        let request = &self.requests[name];
        let Some(stamp) = stamp.filter(|stamp| stamp.object == request.object) else {
            self.verdict.wrong_bodies += 1;
            self.violation(at, &format!("{name}: a wrong body"));
            return;
        };
        let cross_site = request.cross_site;
        // A cross-site request is judged by the time of its answer, another by that of the attempt that brought it.
        let since = if cross_site { at } else { self.last_attempt.get(name).copied().unwrap_or(at) };
        let announced = self
            .invalidated_since(self.purged_objects.get(&stamp.object), stamp, since)
            .or_else(|| self.invalidated_since(self.purged_groups.get(&request.group), stamp, since));
        if let Some(announced) = announced {
            self.verdict.stale_after_purge += 1;
            let age = since - announced;
            let what = format!(
                "{name}: a copy older than a purge announced {age:.0} ms before (cross-site: {cross_site})"
            );
            self.violation(at, &what);
        }
    }

    /// When the first purge was announced that invalidates a copy at that time.
    fn invalidated_since(&self, purges: Option<&Vec<Purge>>, stamp: Stamp, at: f64) -> Option<f64> {
        purges?
            .iter()
            .find(|purge| purge.made > stamp.issued && purge.announced + self.limits.purge_ms + SLACK_MS < at)
            .map(|purge| purge.announced)
    }

    fn attempt_received(&mut self, at: f64, name: &'a str, member: &'a str) {
        self.verdict.attempts += 1;
        self.last_attempt.insert(name, at);
        self.in_flight.entry(name).or_default().push(Attempt { member, received: at });
        let Some(drained) = self.drained.get(member).copied() else { return };
        if at > drained + self.limits.drain_ms + SLACK_MS {
            self.verdict.sends_after_drain += 1;
            let late = at - drained;
            self.violation(at, &format!("{name}: came to {member} {late:.0} ms after its drain"));
        }
    }

    fn attempt_ended(&mut self, at: f64, name: &str, member: &str) {
        let Some(attempts) = self.in_flight.get_mut(name) else { return };
        let Some(index) = attempts.iter().position(|attempt| attempt.member == member) else { return };
        let ended = attempts.remove(index);
        // Others that began well before this one ended, and are still in flight.
        let others =
            attempts.iter().filter(|other| at - other.received.max(ended.received) > SLACK_MS).count();
        if others >= self.limits.concurrent_attempts {
            self.verdict.double_attempts += 1;
            self.violation(at, &format!("{name}: {} attempts in flight at once", others + 1));
        }
    }

    fn effect_applied(&mut self, at: f64, name: &'a str, key: Option<&'a str>) {
        let effects = self.effects.entry(key.unwrap_or(name)).or_default();
        *effects += 1;
        let effects = *effects;
        if effects > 1 {
            self.verdict.double_effects += 1;
            self.violation(at, &format!("{name}: took effect {effects} times"));
        }
    }

    fn gateway_killed(&mut self, at: f64, site: u32) {
        self.killed.insert(site, at);
        for request in self.requests.values_mut().filter(|r| r.site == site && r.answers == 0) {
            request.excused = true;
            self.verdict.killed += 1;
        }
    }

    /// The verdict at the end of the record.
    fn finish(mut self, end: f64) -> Verdict {
        for (name, request) in std::mem::take(&mut self.requests) {
            let overdue = request.sent + request.timeout_ms + ANSWER_WAIT_MS < end;
            if request.answers == 0 && !request.excused && (request.connection_lost || overdue) {
                self.verdict.unanswered += 1;
                let how = if request.connection_lost { "its connection ended" } else { "no answer came" };
                self.violation(request.sent, &format!("{name}: {how}"));
            }
        }
        let mut verdict = self.verdict;
        let home_served = verdict.served - self.cross_site_served;
        verdict.home_served_share = share(home_served, verdict.requests - verdict.cross_site);
        verdict.cross_site_served_share = share(self.cross_site_served, verdict.cross_site);
        verdict.home_latencies.sort();
        verdict.cross_site_latencies.sort();
        verdict
    }
}

fn share(part: usize, all: usize) -> f64 {
    if all == 0 { 1.0 } else { part as f64 / all as f64 }
}
