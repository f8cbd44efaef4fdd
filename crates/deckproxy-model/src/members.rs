//! Caches, parents and origins.

use crate::scenario::Members;
use crate::{Micros, micros};
use ahash::AHashMap;
use std::collections::VecDeque;

/// A member, by its place in the world's list.
pub type MemberNo = u32;
/// Work at a member, by its place in the world's slab.
pub type JobNo = usize;

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A cache of a location.
    Cache,
    /// A parent of a site.
    Parent,
    /// A site's origin.
    Origin,
}

/// Copies, as many as are kept: the one that was not used since the hand came by last goes first (CLOCK).
#[derive(Debug, Default)]
pub struct Store {
    copies: AHashMap<u64, Copy>,
    ring: VecDeque<u64>,
    keeps: usize,
}

#[derive(Clone, Copy, Debug)]
struct Copy {
    /// When the origin gave it out.
    issued: Micros,
    used: bool,
}

impl Store {
    /// Room for so many.
    pub fn new(keeps: usize) -> Self {
        Store { keeps, ..Store::default() }
    }

    /// When a copy was given out, if it is here.
    pub fn get(&mut self, object: u64) -> Option<Micros> {
        let copy = self.copies.get_mut(&object)?;
        copy.used = true;
        Some(copy.issued)
    }

    /// Keeps a copy.
    pub fn put(&mut self, object: u64, issued: Micros) {
        if self.keeps == 0 {
            return;
        }
        if let Some(copy) = self.copies.get_mut(&object) {
            copy.issued = copy.issued.max(issued);
            return;
        }
        while self.copies.len() >= self.keeps {
            let Some(old) = self.ring.pop_front() else { break };
            match self.copies.get_mut(&old) {
                Some(copy) if copy.used => {
                    copy.used = false;
                    self.ring.push_back(old);
                }
                _ => drop(self.copies.remove(&old)),
            }
        }
        self.copies.insert(object, Copy { issued, used: false });
        self.ring.push_back(object);
    }

    /// Drops a copy that was given out before a time.
    pub fn drop_before(&mut self, object: u64, time: Micros) {
        if self.copies.get(&object).is_some_and(|c| c.issued < time) {
            // Its place in the ring is passed over when the hand comes by.
            self.copies.remove(&object);
        }
    }

    /// Copies that are here.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Empties it.
    pub fn clear(&mut self) {
        self.copies.clear();
        self.ring.clear();
    }
}

/// A member.
#[derive(Debug)]
pub struct Member {
    pub kind: Kind,
    pub site: usize,
    /// The location, counted over all sites; of caches.
    pub location: usize,
    pub name: Box<str>,
    pub up: bool,
    pub hung: bool,
    pub slow: f64,
    pub gray: f64,
    /// When it last started, if it did in the run.
    pub started: Option<Micros>,
    /// One more with each start: what belongs to an earlier one is void.
    pub epoch: u32,
    pub busy: usize,
    pub waiting: VecDeque<JobNo>,
    pub store: Store,
    /// Fills under way, with who waits for each.
    pub filling: AHashMap<u64, Vec<JobNo>>,
    /// When its way out is free again.
    pub out_free: Micros,
    /// What was last reported, while reports are frozen.
    pub frozen: Option<[f64; 2]>,
    /// Requests that came, for the load per cache; work that was done.
    pub came: u64,
    pub worked: Micros,
    /// What came to it while it was cold, in the window that runs: its start, and the KB asked for.
    window: (Micros, f64),
}

impl Member {
    /// A warm one.
    pub fn new(kind: Kind, site: usize, location: usize, number: MemberNo, set: &Members) -> Self {
        let keeps = match kind {
            Kind::Cache => set.keeps[0],
            Kind::Parent => set.keeps[1],
            Kind::Origin => 0,
        };
        Member {
            kind,
            site,
            location,
            name: format!("m{number:07x}").into(),
            up: true,
            hung: false,
            slow: 1.0,
            gray: 0.0,
            started: None,
            epoch: 0,
            busy: 0,
            waiting: VecDeque::new(),
            store: Store::new(keeps),
            filling: AHashMap::new(),
            out_free: 0,
            frozen: None,
            came: 0,
            worked: 0,
            window: (0, 0.0),
        }
    }

    fn index(&self) -> usize {
        self.kind as usize
    }

    /// Share of its way out that it has by now.
    pub fn warmth(&self, now: Micros, set: &Members) -> f64 {
        let Some(started) = self.started.filter(|_| self.kind == Kind::Cache) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / 1000.0;
        (set.cold_from + (1.0 - set.cold_from) * age / set.cold_ramp.max(1.0)).min(1.0)
    }

    /// Requests that it works on at once.
    pub fn cores(&self, set: &Members) -> usize {
        set.cores[self.index()]
    }

    /// Takes so many KB of its way out; gives when they are out.
    pub fn put_out(&mut self, now: Micros, kb: f64, set: &Members) -> Micros {
        let pace = set.flow * self.warmth(now, set);
        self.out_free = self.out_free.max(now) + micros(kb / pace * 1000.0);
        self.out_free
    }

    /// Whether more may wait.
    pub fn has_room(&self, set: &Members) -> bool {
        self.waiting.len() < set.queue[self.index()]
    }

    /// Time of work for one request, without jitter.
    pub fn work(&self, set: &Members) -> f64 {
        set.work[self.index()] * self.slow
    }

    /// Requests held, and the share of its cores that is busy.
    pub fn report(&self, set: &Members) -> [f64; 2] {
        let held = (self.busy + self.waiting.len()) as f64;
        self.frozen.unwrap_or([held, (self.busy as f64 / self.cores(set) as f64).min(1.0)])
    }

    /// A request for so many KB came. Tells whether that pushed a cold one over: more asked for in a window than so many
    /// times what its way out carries by its warmth at the window's start.
    pub fn pushed_over(&mut self, now: Micros, kb: f64, set: &Members) -> bool {
        let cold = self.kind == Kind::Cache && self.warmth(now, set) < 1.0;
        if !cold {
            return false;
        }
        if now.saturating_sub(self.window.0) > micros(set.fall_window) {
            self.window = (now, 0.0);
        }
        self.window.1 += kb;
        let room = self.warmth(self.window.0, set) * set.flow;
        self.window.1 > room * set.fall_multiple * set.fall_window / 1000.0
    }

    /// It has gone: all that it held and kept. Gives what it held.
    pub fn crash(&mut self) -> Vec<JobNo> {
        self.up = false;
        self.hung = false;
        self.epoch += 1;
        self.busy = 0;
        self.store.clear();
        let filling = std::mem::take(&mut self.filling).into_values().flatten();
        let mut held: Vec<JobNo> = std::mem::take(&mut self.waiting).into_iter().chain(filling).collect();
        held.sort_unstable();
        held
    }

    /// It starts anew, cold.
    pub fn start(&mut self, now: Micros) {
        self.up = true;
        self.started = Some(now);
        self.out_free = now;
        self.window = (now, 0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_used_stays() {
        let mut store = Store::new(3);
        for object in 1..=3 {
            store.put(object, object);
        }
        store.get(1);
        store.put(4, 4);
        assert!(store.get(1).is_some() && store.get(2).is_none() && store.len() == 3);
        store.drop_before(4, 4);
        assert!(store.get(4).is_some(), "given out at that time, not before");
        store.drop_before(4, 5);
        assert_eq!((store.get(4), store.len()), (None, 2));
        (10..100).for_each(|object| store.put(object, 7));
        assert_eq!(store.len(), 3);
    }

    #[test]
    fn a_cold_cache_warms_and_falls_when_pushed() {
        let set = Members { flow: 1000.0, ..Members::default() };
        let mut cache = Member::new(Kind::Cache, 0, 0, 1, &set);
        assert_eq!(cache.put_out(0, 100.0, &set), 100_000);
        cache.crash();
        cache.start(1_000_000);
        assert_eq!(cache.put_out(1_000_000, 100.0, &set), 1_500_000, "a fifth of its way out");
        assert!(cache.warmth(1_000_000 + micros(set.cold_ramp), &set) >= 1.0);
        // 0.2 of 1,000 KB a second, three times: 600 in a second are the most.
        let fell = (0..700).position(|_| cache.pushed_over(1_000_000, 1.0, &set));
        assert_eq!(fell, Some(600));
        assert!(!cache.pushed_over(9_000_000, 1.0, &set), "it is warm");
    }
}
