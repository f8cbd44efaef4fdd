//! Takes up the entries that another instance sent.

use super::GossipStore;
use super::entry::{Entry, fits};
use super::messages::{AuthorUpdate, Delta};
use crate::Millis;
use crate::instance::is_valid_name;
use std::cmp::Ordering;

/// What a merge changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Entries that are new here.
    pub new_entries: usize,
    /// Authors' updates that were dropped since they are from an earlier incarnation.
    pub stale_incarnations: usize,
    /// Entries and authors that were dropped at a limit of the store.
    pub over_limit: usize,
    /// A later incarnation under the owner's name has written.
    pub own_later_incarnation: Option<u64>,
}

impl GossipStore {
    /// Merges a delta. Entries that are already known, late or doubled change nothing.
    pub fn merge(&mut self, now: Millis, delta: Delta) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for update in delta.authors {
            if update.author == self.own {
                self.check_own(&update, &mut outcome);
            } else if self.admit_author(&update, &mut outcome) {
                self.merge_author(now, update, &mut outcome);
            }
        }
        outcome
    }

    /// Entries under the owner's name are its own, or those of a later process with the same name.
    fn check_own(&self, update: &AuthorUpdate, outcome: &mut MergeOutcome) {
        let own = self.incarnation(&self.own);
        if own.is_some_and(|own| update.incarnation > own) {
            outcome.own_later_incarnation = outcome.own_later_incarnation.max(Some(update.incarnation));
        }
    }

    /// Whether an author's update counts; begins a new author or incarnation where it is one.
    fn admit_author(&mut self, update: &AuthorUpdate, outcome: &mut MergeOutcome) -> bool {
        match self.incarnation(&update.author).map(|known| update.incarnation.cmp(&known)) {
            Some(Ordering::Less) => {
                outcome.stale_incarnations += 1;
                false
            }
            Some(Ordering::Equal) => true,
            None if self.authors.len() >= self.limits.authors || !is_valid_name(&update.author) => {
                outcome.over_limit += 1;
                false
            }
            Some(Ordering::Greater) | None => {
                self.begin_author(update.author.clone(), update.incarnation);
                true
            }
        }
    }

    fn merge_author(&mut self, now: Millis, update: AuthorUpdate, outcome: &mut MergeOutcome) {
        let capacity = self.limits.entries;
        let Some(author) = self.authors.get_mut(&update.author) else { return };
        // The versions in between are unknown; the next digest asks for them.
        if update.after > author.version {
            return;
        }
        for entry in update.entries {
            if entry.version > update.up_to || entry.version <= update.after {
                continue;
            }
            let has_capacity = author.entries.len() < capacity || author.entries.contains_key(&entry.key);
            if !fits(&entry.key, entry.value.as_ref()) || !has_capacity {
                outcome.over_limit += 1;
                continue;
            }
            let newer = author.entries.get(&entry.key).is_none_or(|known| known.version < entry.version);
            // An entry that expired was dropped here: a version at or below the author's is not new again.
            if newer && entry.version > author.version && entry.age < entry.ttl {
                let written_at = now - f64::from(entry.age);
                let stored = Entry { version: entry.version, written_at, ttl: entry.ttl, value: entry.value };
                author.entries.insert(entry.key, stored);
                outcome.new_entries += 1;
            }
        }
        author.version = author.version.max(update.up_to);
    }
}
