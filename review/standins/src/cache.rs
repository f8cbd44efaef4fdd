//! A sound cache and its origin: copies have the time at which the origin gave them out, and `within` is obeyed.

use crate::member::{Ask, Reaction};
use crate::run::unix_ms;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// How long a cache takes for a hit or a miss, and for a fill, ms.
const HIT: u64 = 10;
const FILL: u64 = 40;
/// After a purge, a cache drops older copies by itself in this time (6 s at the most, by the site file), ms.
const DROPPED_AFTER: f64 = 5900.0;

/// The origin: the current version of each object, from 1.
#[derive(Clone, Default)]
pub struct Origin(Arc<Mutex<HashMap<String, (u32, f64)>>>);

impl Origin {
    /// The current version, and when it was made (Unix ms).
    pub fn current(&self, object: &str) -> (u32, f64) {
        self.0.lock().expect("no member panicked").get(object).copied().unwrap_or((1, 0.0))
    }

    /// Makes a new version: older copies are purged now. Returns the time of the purge, Unix ms.
    pub fn change(&self, object: &str) -> f64 {
        let at = unix_ms();
        let (version, _) = self.current(object);
        self.0.lock().expect("no member panicked").insert(object.to_string(), (version + 1, at));
        at
    }

    /// The bytes of a version.
    pub fn body(object: &str, version: u32) -> Vec<u8> {
        format!("{object} version {version}").into_bytes()
    }
}

/// A copy: its version and when the origin gave it out, Unix ms.
#[derive(Clone, Copy)]
struct Copy {
    version: u32,
    issued: f64,
}

/// The copies of one cache.
#[derive(Clone)]
pub struct Cache {
    origin: Origin,
    copies: Arc<Mutex<HashMap<String, Copy>>>,
}

impl Cache {
    pub fn new(origin: &Origin) -> Cache {
        Cache { origin: origin.clone(), copies: Arc::default() }
    }

    /// Puts the current version into the cache.
    pub fn warm(&self, object: &str) {
        let copy = Copy { version: self.origin.current(object).0, issued: unix_ms() };
        self.copies.lock().expect("no member panicked").insert(object.to_string(), copy);
    }

    /// What the cache does with a request.
    pub fn react(&self, ask: &Ask) -> Reaction {
        let (object, now) = (ask.field("name").to_string(), unix_ms());
        let within = ask.field("within").parse::<f64>().ok().filter(|within| *within > 0.0);
        let (current, changed) = self.origin.current(&object);
        let mut copies = self.copies.lock().expect("no member panicked");
        let copy = copies.get(&object).copied();
        let is_dropped = |copy: &Copy| copy.version < current && now - changed > DROPPED_AFTER;
        let usable =
            copy.filter(|copy| within.is_none_or(|within| now - copy.issued <= within) && !is_dropped(copy));
        if let Some(copy) = usable {
            return Reaction::Copy(HIT, Origin::body(&object, copy.version), copy.issued);
        }
        if ask.field("miss").is_empty() {
            return Reaction::Miss(HIT);
        }
        copies.insert(object.clone(), Copy { version: current, issued: now });
        Reaction::Copy(FILL, Origin::body(&object, current), now)
    }
}

/// What a parent without copies, or the origin, does with a request.
pub fn serve_current(origin: &Origin, ask: &Ask) -> Reaction {
    let object = ask.field("name");
    Reaction::Serve(FILL, Origin::body(object, origin.current(object).0))
}
