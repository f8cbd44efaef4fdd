//! Violations put into the record of a run on purpose, to see that the checkers object.

use crate::drills::Spoil;
use deckproxy_standins::record::{Fact, Outcome, Seen, Stamp};

/// Milliseconds after a purge was announced at which the stale answer comes: longer than a purge may take.
const STALE_AFTER_MS: f64 = 1500.0;

/// Puts one violation into a record, and sorts it by time again.
pub fn spoil(facts: &mut Vec<Seen>, spoil: Spoil) {
    match spoil {
        Spoil::Stale => add_stale_answer(facts),
        Spoil::Attempt => add_concurrent_attempt(facts),
        Spoil::Effect => repeat_effect(facts),
        Spoil::Answer => remove_answer(facts),
        Spoil::Record | Spoil::Probes | Spoil::Coverage | Spoil::Board => {
            unreachable!("{spoil:?} is rejected before the drill starts")
        }
    }
    facts.sort_by(|a, b| a.at.total_cmp(&b.at));
}

/// A request long after the first purge, answered with the version before it.
fn add_stale_answer(facts: &mut Vec<Seen>) {
    let purge = facts.iter().find_map(|seen| match &seen.fact {
        Fact::PurgeAnnounced { object: Some(object), at, .. } => Some((seen.at, *object, *at)),
        _ => None,
    });
    let Some((announced, object, purged_at)) = purge else { return };
    let answered = announced + STALE_AFTER_MS;
    let name = "spoilt".to_string();
    let request = Fact::RequestSent {
        name: name.clone(),
        site: 0,
        home_site: 1,
        class: "page",
        object,
        group: 0,
        timeout_ms: 1400.0,
    };
    let stamp = Stamp { object, part: 0, issued: purged_at - 1, site: 1 };
    let answer = Fact::Answered { name, outcome: Outcome::Served(Some(stamp)) };
    facts.push(Seen { at: answered - 20.0, fact: request });
    facts.push(Seen { at: answered, fact: answer });
}

/// Two more attempts of the first request that was attempted, both open for 200 ms.
fn add_concurrent_attempt(facts: &mut Vec<Seen>) {
    let first = facts.iter().find(|seen| matches!(seen.fact, Fact::AttemptReceived { .. })).cloned();
    let Some(Seen { at, fact: Fact::AttemptReceived { name, site, class, .. } }) = first else {
        return;
    };
    let received = |member: &str| Fact::AttemptReceived {
        name: name.clone(),
        site,
        member: member.into(),
        class: class.clone(),
    };
    let ended = |member: &str| Fact::AttemptEnded { name: name.clone(), member: member.into() };
    facts.push(Seen { at, fact: received("spoilt-1") });
    facts.push(Seen { at, fact: received("spoilt-2") });
    facts.push(Seen { at: at + 200.0, fact: ended("spoilt-1") });
    facts.push(Seen { at: at + 210.0, fact: ended("spoilt-2") });
}

/// The first effect, applied once more a millisecond later.
fn repeat_effect(facts: &mut Vec<Seen>) {
    let effect = facts.iter().find(|seen| matches!(seen.fact, Fact::EffectApplied { .. })).cloned();
    facts.extend(effect.map(|seen| Seen { at: seen.at + 1.0, ..seen }));
}

/// Takes away the answer to the first request of the north: its gateway is not killed, and what a killed one owes is
/// excused.
fn remove_answer(facts: &mut Vec<Seen>) {
    let northern = facts.iter().find_map(|seen| match &seen.fact {
        Fact::RequestSent { name, site: 0, .. } => Some(name.clone()),
        _ => None,
    });
    let is_answer =
        |seen: &Seen| matches!(&seen.fact, Fact::Answered { name, .. } if Some(name) == northern.as_ref());
    if let Some(position) = facts.iter().position(is_answer) {
        facts.remove(position);
    }
}
