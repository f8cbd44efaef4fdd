//! Purges, and the maximum age of a copy that may answer after one.

use super::Control;
use super::tuning::{PURGE_AGE_MARGIN, PURGE_AGE_MIN};
use crate::interface::{Millis, Request};

/// What a purge invalidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PurgeTarget {
    /// The copies of all objects of a group.
    Group(u32),
    /// The copies of one object.
    Object(u64),
}

impl Control {
    /// Records a purge that was made `age` ms ago.
    pub(super) fn record_purge(&mut self, object: Option<u64>, group: u32, age: Millis) {
        let target = object.map_or(PurgeTarget::Group(group), PurgeTarget::Object);
        let purged_at = self.now - age.max(0.0);
        let last = self.purges.entry(target).or_insert(purged_at);
        *last = last.max(purged_at);
        self.purges.retain(|_, at| self.now <= *at + self.settings.purge_settle_time);
    }

    /// Maximum age in ms of a copy that may answer a request, if a purge applies to it. It increases with
    /// time, so it is computed for each send.
    pub(super) fn purge_max_age(&self, request: &Request) -> Option<Millis> {
        let targets = [PurgeTarget::Object(request.object), PurgeTarget::Group(request.group)];
        let purged_at = targets.iter().filter_map(|target| self.purges.get(target));
        let last = purged_at.copied().fold(f64::MIN, f64::max);
        let applies = self.now <= last + self.settings.purge_settle_time;
        applies.then(|| (self.now - last - PURGE_AGE_MARGIN).max(PURGE_AGE_MIN))
    }
}
