//! How sure an instance is of what it sees of the fleet.
//!
//! Who is there, SWIM tells; whether that is so *now*, the beats on the board tell, which each instance writes and all
//! pass on. To be heard takes both ways: an instance whose own beats do not come back in the others' digests is cut off
//! as much as one that hears nothing.

use crate::Millis;
use crate::instance::Name;
use std::collections::{BTreeMap, VecDeque};

/// Spans by which others are judged; they grow with the fleet, as news takes longer there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spans {
    /// From one beat to the next, ms.
    pub beat: Millis,
    /// Without a beat for so long an instance is doubtful: it counts as unheard, and keeps its duties.
    pub doubt: Millis,
    /// Without a beat for so long, and held to be gone, it is lost: its duties are others'. Longer than `doubt` by more
    /// than a beat takes to come round, so that who is cut off has let go before others take over.
    pub take: Millis,
}

/// Milliseconds that each instance of a fleet adds to the time between beats at least, so that all of them together cost
/// a bounded number of bytes a second.
const BEAT_EACH: Millis = 10.0;

impl Spans {
    /// For a fleet of so many whose beats come so often at least.
    pub fn of(beat: Millis, instances: usize) -> Self {
        let beat = beat.max(BEAT_EACH * instances as f64);
        Spans { beat, doubt: 3.0 * beat, take: 5.0 * beat }
    }
}

/// How an instance stands with us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is there.
    Heard,
    /// It has been quiet for a moment.
    Doubtful,
    /// It is taken for gone.
    Lost,
    /// It said that it goes.
    Left,
}

impl Standing {
    /// From what SWIM says, how long it has been quiet, and whether it said that it goes.
    pub fn of(spans: &Spans, alive: bool, quiet: Option<Millis>, left: bool) -> Self {
        let quiet = quiet.unwrap_or(Millis::INFINITY);
        match (left, alive) {
            (true, _) => Standing::Left,
            (_, true) if quiet <= spans.doubt => Standing::Heard,
            (_, false) if quiet > spans.take => Standing::Lost,
            // SWIM is late to find out what the board shows.
            _ if quiet > 2.0 * spans.take => Standing::Lost,
            _ => Standing::Doubtful,
        }
    }
}

/// What an instance sees of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Instances that the fleet should have.
    pub expected: usize,
    /// Those heard, ourselves among them.
    pub heard: usize,
    /// How many of those hear us, as far as their digests show.
    pub sure: usize,
    /// Since when these three have been so.
    pub since: Millis,
    /// Whether this is the larger part.
    pub larger: bool,
    /// It has been so for a while: who took over meanwhile has heard of it.
    pub firm: bool,
    /// The process was stopped, or has just started, and has not heard enough since.
    pub old: bool,
}

impl View {
    /// Takes what is seen now; the time since when it is so stays where nothing changed.
    pub fn update(&mut self, now: Millis, seen: View) -> bool {
        let same = (self.expected, self.heard, self.sure, self.larger, self.firm, self.old)
            == (seen.expected, seen.heard, seen.sure, seen.larger, seen.firm, seen.old);
        if !same {
            *self = View { since: now, ..seen };
        }
        !same
    }

    /// The share of its full rate at which this part does its duties: all of it in the larger part, which takes over from
    /// the others; elsewhere the part's own share of the fleet, so that what all parts do together is one and a half times
    /// the whole at most, and the whole at most where no part is the larger one.
    ///
    /// Who has just come to the larger part, or with it, does half for a moment: those who did its duties until now may not
    /// have heard of it yet, and let go only when they do, or when they notice that they are cut off themselves.
    pub fn rate(&self) -> f64 {
        let share = self.sure as f64 / self.expected.max(1) as f64;
        match (self.old, self.larger, self.firm) {
            (true, ..) => 0.0,
            (_, true, true) => 1.0,
            (_, true, false) => share.min(0.5),
            _ => share,
        }
    }
}

/// Whether the parts of a fleet are told apart: more than half is the larger part, and of two halves the one that has the
/// first of all names.
pub fn is_larger(sure: usize, expected: usize, has_first: bool) -> bool {
    2 * sure > expected || 2 * sure == expected && has_first
}

/// Own beats that others' digests acknowledge.
#[derive(Clone, Debug, Default)]
pub struct Echoes {
    /// Numbers of own beats with the time of each.
    beats: VecDeque<(u64, Millis)>,
    /// By instance: when its last digest came, and whether that showed a recent beat of ours.
    heard: BTreeMap<Name, (Millis, bool)>,
}

/// Beats that are remembered.
const BEATS: usize = 64;

impl Echoes {
    /// A beat was written under that number.
    pub fn beat(&mut self, now: Millis, number: u64) {
        self.beats.push_back((number, now));
        if self.beats.len() > BEATS {
            self.beats.pop_front();
        }
    }

    /// A digest came that shows our entries up to a number of the present life; none: of an earlier one, or none at all.
    pub fn digest(&mut self, now: Millis, from: &Name, shows: Option<u64>, spans: &Spans) {
        // The first beat that it lacks tells for how long it has not heard us.
        let lacks = self.beats.iter().find(|(number, _)| shows.is_none_or(|shows| *number > shows));
        let fresh = shows.is_some() && lacks.is_none_or(|(_, at)| now - at <= spans.doubt);
        self.heard.insert(from.clone(), (now, fresh));
    }

    /// Of the digests that came in the last while from those that count: how many, and how many show that we are heard.
    pub fn count(
        &self,
        now: Millis,
        spans: &Spans,
        since: Millis,
        counts: impl Fn(&Name) -> bool,
    ) -> (usize, usize) {
        let recent = self.heard.iter().filter(|(_, (at, _))| now - at <= spans.doubt && *at >= since);
        let recent = recent.filter(|(name, _)| counts(name)).map(|(_, heard)| heard);
        recent.fold((0, 0), |(all, fresh), (_, is)| (all + 1, fresh + usize::from(*is)))
    }

    /// An instance is no more.
    pub fn forget(&mut self, name: &str) {
        self.heard.remove(name);
    }
}
