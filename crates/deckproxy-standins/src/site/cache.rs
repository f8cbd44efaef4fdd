//! How a member gets an object: from its own copies, by joining a fill that is in flight, or by a fill of its own.

use super::config::NodeKind;
use super::node::{Node, Part, SiteState, Store};
use crate::record::Fact;
use crate::wait::unix_ms;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long a request waits for fills that others lead.
const FILL_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a waiter sleeps at most until it looks for the copy again.
const FILL_POLL: Duration = Duration::from_millis(50);

/// A lookup of one part.
#[derive(Clone, Copy)]
pub(super) struct Lookup {
    /// The part that is wanted.
    pub part: Part,
    /// The greatest age of an acceptable copy, ms; 0 for any age.
    pub max_age_ms: u64,
}

/// Finds an acceptable copy or fills one from `source`, storing it if `store_copy`. Returns when the origin issued the
/// copy, Unix ms; `None` without a copy, a source other than the member itself, or a fill in time.
pub(super) fn get(
    site: &SiteState,
    node: &Node,
    lookup: Lookup,
    source: Option<&Arc<Node>>,
    store_copy: bool,
) -> Option<u64> {
    if node.kind == NodeKind::Origin {
        process_at_origin(site);
        return Some(unix_ms());
    }
    let deadline = Instant::now() + FILL_TIMEOUT;
    let mut store = node.store.lock().unwrap();
    loop {
        if let Some(issued) = find_copy(site, &mut store, lookup) {
            site.record.note(Fact::CacheHit {
                site: site.site,
                member: node.name.clone(),
                object: lookup.part.0,
            });
            return Some(issued);
        }
        source.filter(|source| source.name != node.name)?;
        if !store.filling.contains(&lookup.part) {
            break;
        }
        if Instant::now() > deadline {
            return None;
        }
        store = node.filled.wait_timeout(store, FILL_POLL).unwrap().0;
    }
    store.filling.insert(lookup.part);
    drop(store);
    let issued = fill(site, node, lookup, source?);
    let mut store = node.store.lock().unwrap();
    store.filling.remove(&lookup.part);
    if let Some(issued) = issued.filter(|_| store_copy) {
        insert_copy(&mut store, lookup.part, issued, site.config.cache_capacity);
    }
    drop(store);
    node.filled.notify_all();
    issued
}

/// An acceptable copy's time of issue; drops the copy when it was purged long enough ago.
fn find_copy(site: &SiteState, store: &mut Store, lookup: Lookup) -> Option<u64> {
    let now = unix_ms();
    let issued = store.copies.get(&lookup.part).copied()?;
    let purge_delay = Duration::from_millis(site.config.purge_delay_ms);
    let purged = site.purged.lock().unwrap().get(&lookup.part.0).copied();
    let is_void = purged
        .is_some_and(|at| at.elapsed() > purge_delay && u128::from(now - issued) > at.elapsed().as_millis());
    if is_void {
        store.copies.remove(&lookup.part);
        return None;
    }
    let is_fresh = lookup.max_age_ms == 0 || now.saturating_sub(issued) <= lookup.max_age_ms;
    is_fresh.then_some(issued)
}

/// Fetches a part from a source; a parent fills from the origin in turn.
fn fill(site: &SiteState, node: &Node, lookup: Lookup, source: &Arc<Node>) -> Option<u64> {
    site.record.note(Fact::Filled {
        site: site.site,
        member: node.name.clone(),
        object: lookup.part.0,
        from: source.name.clone(),
    });
    if source.kind == NodeKind::Origin {
        return get(site, source, lookup, None, false);
    }
    site.pause(site.config.parent_fill_ms);
    get(site, source, lookup, site.origin().as_ref(), true)
}

/// Stores a copy, and evicts the oldest ones beyond the capacity.
fn insert_copy(store: &mut Store, part: Part, issued: u64, capacity: usize) {
    if store.copies.insert(part, issued).is_none() {
        store.order.push_back(part);
    }
    while store.copies.len() > capacity {
        let Some(oldest) = store.order.pop_front() else { break };
        store.copies.remove(&oldest);
    }
}

/// The origin's work on one request, queued when its concurrency is limited.
pub(super) fn process_at_origin(site: &SiteState) {
    let is_limited = site.config.origin_concurrency > 0;
    if is_limited {
        let in_flight = site.origin_in_flight.lock().unwrap();
        *site.origin_freed.wait_while(in_flight, |n| *n >= site.config.origin_concurrency).unwrap() += 1;
    }
    site.pause(site.config.origin_fill_ms + site.origin_slowdown_ms.load(Ordering::SeqCst));
    if is_limited {
        *site.origin_in_flight.lock().unwrap() -= 1;
        site.origin_freed.notify_one();
    }
}
