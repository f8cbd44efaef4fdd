//! What the fleet holds of a member: from an observer's probes and attempts to its report, from all reports to whether the
//! member is held back.
//!
//! A member is held back only where as many observers as are wanted say that it fails, and none says otherwise. It comes
//! back in steps: probes are answered again, then the observers alone send it requests, then all others do, each at a
//! moment of its own.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// What an observer says of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    #[default]
    Good,
    /// It does not.
    Failing,
    /// It answers probes again, and is tried with requests.
    Back,
}

/// What it takes to change an observer's mind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Probes in a row without an answer until a member fails.
    pub fails: u32,
    /// Answered ones in a row until it is tried.
    pub goods: u32,
    /// Good attempts until it is good.
    pub tries: u32,
    /// Without a failure for so long it is good as well, where few ask, ms.
    pub trial: Millis,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { fails: 3, goods: 2, tries: 5, trial: 3000.0 }
    }
}

/// An observer's evidence on one member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Watch {
    health: Health,
    /// Probes in a row that ended as the last one did, and how that was.
    row: u32,
    good: bool,
    /// Good attempts since it is tried, and since when it is.
    tried: u32,
    since: Millis,
}

impl Watch {
    /// What is to be reported.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether that is known and not only what is taken for granted at first: an observer that has just taken over a sick
    /// member must not say that it is well until it has seen that.
    pub fn is_sure(&self) -> bool {
        self.health != Health::Good || self.good
    }

    fn turn(&mut self, now: Millis, health: Health) {
        (self.health, self.tried, self.since) = (health, 0, now);
    }

    /// A probe of ours ended.
    pub fn probed(&mut self, now: Millis, terms: &Terms, good: bool) {
        self.row = if self.good == good { self.row + 1 } else { 1 };
        self.good = good;
        match (self.health, good) {
            (Health::Good, false) if self.row >= terms.fails => self.turn(now, Health::Failing),
            (Health::Failing, true) if self.row >= terms.goods => self.turn(now, Health::Back),
            // It is on trial: one failure is enough.
            (Health::Back, false) => self.turn(now, Health::Failing),
            (Health::Back, true) if now - self.since >= terms.trial => self.turn(now, Health::Good),
            _ => {}
        }
    }

    /// An attempt of ours ended; counts while it is tried.
    pub fn attempted(&mut self, now: Millis, terms: &Terms, good: bool) {
        if self.health != Health::Back {
            return;
        }
        self.tried += u32::from(good);
        if !good {
            self.row = 0;
            self.turn(now, Health::Failing);
        } else if self.tried >= terms.tries {
            self.turn(now, Health::Good);
        }
    }
}

/// Whether the fleet holds a member back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Held {
    /// Nobody does.
    #[default]
    No,
    /// All but its observers, who try it.
    ButObservers,
    /// All do.
    Yes,
}

/// What all reports that count say together. `wanted`: observers that have to agree. `held`: the member is held back so far;
/// that stays so until one sees it well or nobody says anything of it any more, as when one of its observers is lost.
pub fn judge(reports: impl Iterator<Item = Health>, wanted: usize, held: bool) -> Held {
    let (mut failing, mut back, mut good) = (0, 0, 0);
    for report in reports {
        match report {
            Health::Failing => failing += 1,
            Health::Back => back += 1,
            Health::Good => good += 1,
        }
    }
    match () {
        // One that sees it well outweighs those that do not: it may be they who are cut off.
        () if good > 0 || failing + back < if held { 1 } else { wanted.max(1) } => Held::No,
        () if back > 0 => Held::ButObservers,
        () => Held::Yes,
    }
}

#[cfg(test)]
mod tests;
