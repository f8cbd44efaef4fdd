//! What an instance does about the fleet's overload: which requests pass, and what it tells the others of it.

use super::Fleet;
use crate::Millis;
use crate::overload::{Asked, Ended, Overload, Seat, Ticket, Verdict};
use crate::view::Standing;

impl Fleet {
    /// What is known and done about overload; none where it is not handled as one.
    pub fn overload(&self) -> Option<&Overload> {
        self.overload.as_deref()
    }

    /// A client's request came; none: it is no matter of the fleet's.
    pub fn request(&mut self, now: Millis, asked: Asked) -> Option<Verdict> {
        self.overload.as_mut().map(|overload| overload.request(now, asked))
    }

    /// A request that passed has ended. `back`: when the module asks the client back, ms. Gives when it is to be.
    pub fn ended(&mut self, now: Millis, ticket: &Ticket, ended: Ended, back: Millis) -> Millis {
        self.overload.as_mut().map_or(back, |overload| overload.ended(now, ticket, ended, back))
    }

    /// Whether other instances are there for certain, and who.
    fn seat(&self) -> Seat {
        // Who is quiet for a moment has its part still.
        let there = |p: &&super::Peer| matches!(p.standing, Standing::Heard | Standing::Doubtful);
        let heard = self.peers.values().filter(there);
        Seat {
            own: Some(self.own().name.clone()),
            others: heard.map(|p| (p.instance.name.clone(), p.instance.start)).collect(),
            old: self.view.old,
        }
    }

    pub(super) fn shed(&mut self, now: Millis) {
        let Some(mut overload) = self.overload.take() else { return };
        let before = *overload.cut();
        let entries = overload.tick(now, &self.seat(), &self.board);
        let brisk = !entries.is_empty() && overload.cut().things.iter().any(Option::is_some);
        for (key, life, value) in entries {
            let fits = self.board.write(now, key, life, value);
            self.counters.over += u64::from(!fits);
        }
        // While something is cut, news of it does not wait for the next round of digests.
        if brisk {
            self.push(now);
        }
        if let Some(line) = said(before.things, overload.cut().things) {
            self.log(line);
        }
        self.overload = Some(overload);
    }
}

/// A line for the operators where something is cut that was not, or no more.
fn said(
    before: [Option<crate::overload::shed_level::ShedLine>; 2],
    now: [Option<crate::overload::shed_level::ShedLine>; 2],
) -> Option<String> {
    let names = [("the caches", "are"), ("the way to the sources", "is")];
    let mut lines = Vec::new();
    for (((name, verb), before), now) in names.iter().zip(before).zip(now) {
        match (before, now) {
            (None, Some(line)) => lines.push(format!(
                "{name} {verb} crowded: the fleet lets in {:.0} of {:.0} requests a second",
                line.cap, line.come
            )),
            (Some(_), None) => lines.push(format!("{name}: all are let in again")),
            _ => {}
        }
    }
    (!lines.is_empty()).then(|| lines.join("; "))
}
