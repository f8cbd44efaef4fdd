//! The order in which the sources of fills are tried for a request.

use super::Control;
use super::member_order::MemberOrder;
use super::pool::PoolKey;
use crate::interface::{MemberId, Request, RequestId};
use std::collections::VecDeque;

/// The sources of a request in order of preference: the parents, then the origin. Sources that accept no
/// attempts are left out, and those whose fills would be too late unless all are.
#[derive(Debug)]
pub(super) struct SourceOrder {
    parents: Option<MemberOrder>,
    origin: Option<MemberId>,
    /// Sources whose fills would be too late.
    slow: VecDeque<MemberId>,
    has_responsive: bool,
}

impl Control {
    /// The sources for a request. This refills the slow-start budgets of the parents, whether or not
    /// something is sent to them.
    pub(super) fn source_order(&mut self, request: &Request) -> SourceOrder {
        self.refill_parents();
        SourceOrder {
            parents: self.parent_order(request),
            origin: self.origin(),
            slow: VecDeque::new(),
            has_responsive: false,
        }
    }

    /// Refills the slow-start budgets of the parents.
    pub(super) fn refill_parents(&mut self) {
        if let Some(kind) = self.settings.parent_kind {
            self.refill_slow_start_budgets(PoolKey::Kind(kind), &[]);
        }
    }

    /// Takes the next source. If the fills of all sources would be too late, these are the slow sources that
    /// are due for another trial: if all requests were rejected, a recovery would never be noticed.
    pub(super) fn next_source(&mut self, id: RequestId, sources: &mut SourceOrder) -> Option<MemberId> {
        while let Some(source) = self.next_listed_source(sources) {
            if !self.accepts_attempts(source) {
                continue;
            }
            let pending = self.pending.get(&id)?;
            if self.is_too_slow(pending, self.members[&source].inflation(self.now)) {
                sources.slow.push_back(source);
            } else {
                sources.has_responsive = true;
                return Some(source);
            }
        }
        if sources.has_responsive {
            return None;
        }
        let request = self.pending.get(&id)?.request;
        while let Some(source) = sources.slow.pop_front() {
            if self.is_due_for_trial(source, &request) {
                return Some(source);
            }
        }
        None
    }

    fn next_listed_source(&self, sources: &mut SourceOrder) -> Option<MemberId> {
        let parent = sources.parents.as_mut().and_then(|parents| self.next_member(parents));
        parent.or_else(|| sources.origin.take())
    }
}
