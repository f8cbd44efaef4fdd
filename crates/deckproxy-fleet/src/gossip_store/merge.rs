//! Merges the entries that another instance sent.

use super::GossipStore;
use super::entry::{Entry, is_within_limits};
use super::messages::{AuthorUpdate, Delta};
use crate::Millis;
use crate::instance::is_valid_name;
use std::cmp::Ordering;

/// The outcome of a merge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Entries that are new here.
    pub new_entries: usize,
    /// Authors' updates that were dropped because they are from an earlier incarnation.
    pub stale_incarnations: usize,
    /// Entries and authors that were dropped at a limit of the store, and authors with an invalid name.
    pub over_limit: usize,
    /// The incarnation of a later process that has written under the owner's name.
    pub own_later_incarnation: Option<u64>,
}

impl GossipStore {
    /// Merges a delta. Entries that are already known or outdated have no effect.
    pub fn merge(&mut self, now: Millis, delta: Delta) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for update in delta.authors {
            if update.author == self.own {
                self.detect_later_incarnation(&update, &mut outcome);
            } else if self.admit_author(&update, &mut outcome) {
                self.merge_author(now, update, &mut outcome);
            }
        }
        outcome
    }

    /// Detects a later process with the owner's name; other entries under that name are the owner's own and are ignored.
    fn detect_later_incarnation(&self, update: &AuthorUpdate, outcome: &mut MergeOutcome) {
        let own = self.incarnation(&self.own);
        if own.is_some_and(|own| update.incarnation > own) {
            outcome.own_later_incarnation = outcome.own_later_incarnation.max(Some(update.incarnation));
        }
    }

    /// Whether an author's update is accepted; adds its author or incarnation if it is new.
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
                self.start_incarnation(update.author.clone(), update.incarnation);
                true
            }
        }
    }

    fn merge_author(&mut self, now: Millis, update: AuthorUpdate, outcome: &mut MergeOutcome) {
        let capacity = self.limits.entries;
        let Some(author) = self.authors.get_mut(&update.author) else { return };
        // The versions in between are missing here; the next digest requests them.
        if update.after > author.version {
            return;
        }
        for entry in update.entries {
            if entry.version > update.up_to || entry.version <= update.after {
                continue;
            }
            let has_capacity = author.entries.len() < capacity || author.entries.contains_key(&entry.key);
            if !is_within_limits(&entry.key, entry.value.as_ref()) || !has_capacity {
                outcome.over_limit += 1;
                continue;
            }
            let newer = author.entries.get(&entry.key).is_none_or(|known| known.version < entry.version);
            // An entry at or below the author's version is not new, even if it is missing here: it expired and was dropped.
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
