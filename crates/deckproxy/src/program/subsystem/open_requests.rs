//! Tracks the clients' requests that are open in a subsystem.

use super::event::Event;
use super::ids::RequestKey;
use crate::routing::ClientId;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Clients' requests that a subsystem passed on or took over and that are not answered yet, each with a value.
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
    /// Adds a request and its value.
    pub fn insert(&mut self, request: RequestKey, value: T) {
        self.open.insert(request, value);
    }

    /// Removes a request that was answered; returns none if it is not open.
    pub fn remove(&mut self, request: RequestKey) -> Option<T> {
        self.open.remove(&request)
    }

    /// Removes the requests that an event cancels: a single one, or all of a client that disconnected. Returns them in
    /// ascending order of their ids.
    pub fn remove_cancelled(&mut self, event: &Event<'_>) -> Vec<(RequestKey, T)> {
        let Some((client, ids)) = cancelled_requests(event) else { return Vec::new() };
        let keys = (client, *ids.start())..=(client, *ids.end());
        let keys: Vec<RequestKey> = self.open.range(keys).map(|(key, _)| *key).collect();
        keys.into_iter().filter_map(|key| self.open.remove_entry(&key)).collect()
    }
}

/// The client, and the range of its request ids, that an event cancels.
fn cancelled_requests(event: &Event<'_>) -> Option<(ClientId, RangeInclusive<u32>)> {
    match event {
        Event::RequestCancelled { client, id } => Some((*client, *id..=*id)),
        Event::ClientGone { client, .. } => Some((*client, 0..=u32::MAX)),
        _ => None,
    }
}
