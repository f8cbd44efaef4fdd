//! Bookkeeping of clients' requests that are open with a subsystem.

use super::event::Event;
use super::ids::RequestKey;
use crate::routing::ClientId;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Clients' requests that a subsystem let pass or took over and that have no answer yet, with what it keeps of each.
#[derive(Debug)]
pub struct OpenRequests<T> {
    open: BTreeMap<RequestKey, T>,
}

impl<T> Default for OpenRequests<T> {
    fn default() -> Self {
        OpenRequests { open: BTreeMap::new() }
    }
}

impl<T> OpenRequests<T> {
    /// Adds a request.
    pub fn insert(&mut self, request: RequestKey, kept: T) {
        self.open.insert(request, kept);
    }

    /// Whether a request is open here.
    pub fn contains(&self, request: RequestKey) -> bool {
        self.open.contains_key(&request)
    }

    /// Removes a request that has its answer; none if it is not open here.
    pub fn remove(&mut self, request: RequestKey) -> Option<T> {
        self.open.remove(&request)
    }

    /// Removes the requests that an event cancels: one, or all of a client that has gone. In order of their ids.
    pub fn remove_cancelled(&mut self, event: &Event<'_>) -> Vec<(RequestKey, T)> {
        let Some((client, ids)) = cancelled_requests(event) else { return Vec::new() };
        let keys = (client, *ids.start())..=(client, *ids.end());
        let keys: Vec<RequestKey> = self.open.range(keys).map(|(key, _)| *key).collect();
        keys.into_iter().filter_map(|key| self.open.remove_entry(&key)).collect()
    }
}

/// The client and the ids of its requests that an event cancels.
fn cancelled_requests(event: &Event<'_>) -> Option<(ClientId, RangeInclusive<u32>)> {
    match event {
        Event::RequestCancelled { client, id } => Some((*client, *id..=*id)),
        Event::ClientGone { client, .. } => Some((*client, 0..=u32::MAX)),
        _ => None,
    }
}
