//! What caches, parents and the origin hold, and the purges that they hear of by themselves.

use std::collections::HashMap;

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    Parent,
    Origin,
}

/// The copies of all members.
pub struct World {
    /// The Unix ms at which the origin gave out the copy, by member, object and part.
    copies: HashMap<(String, String, String), f64>,
    /// Purges of objects: the Unix ms of each.
    purges: HashMap<String, Vec<f64>>,
    /// How long after a purge each member drops its older copies, ms.
    pub drop_after_ms: f64,
    /// The fresh time of each class, ms; 0 or absent: until it is purged.
    pub fresh_ms: HashMap<String, f64>,
}

impl World {
    /// Members that hold nothing, and drop the copies before a purge 5.5 s after it: "all older copies are dropped
    /// within 6 s".
    pub fn new(fresh_ms: HashMap<String, f64>) -> World {
        World { copies: HashMap::new(), purges: HashMap::new(), drop_after_ms: 5500.0, fresh_ms }
    }

    /// Purges an object at a Unix time, ms.
    pub fn purge(&mut self, object: &str, at: f64) {
        self.purges.entry(object.to_string()).or_default().push(at);
    }

    /// Whether a copy is older than a purge that was made by `by`.
    pub fn is_voided(&self, object: &str, issued: f64, by: f64) -> bool {
        self.purges.get(object).is_some_and(|all| all.iter().any(|at| *at > issued && *at <= by))
    }

    /// The copy of a member that will do: not older than `within_ms`, or than the fresh time if that is 0.
    pub fn held(
        &self,
        member: &str,
        class: &str,
        object: &str,
        part: &str,
        now: f64,
        within_ms: f64,
    ) -> Option<f64> {
        let key = (member.to_string(), object.to_string(), part.to_string());
        let issued = *self.copies.get(&key)?;
        let fresh = self.fresh_ms.get(class).copied().unwrap_or(0.0);
        let oldest = if within_ms > 0.0 { within_ms } else { fresh };
        let is_young = oldest <= 0.0 || now - issued <= oldest;
        (is_young && !self.is_voided(object, issued, now - self.drop_after_ms)).then_some(issued)
    }

    /// Stores a copy.
    pub fn store(&mut self, member: &str, object: &str, part: &str, issued: f64) {
        self.copies.insert((member.to_string(), object.to_string(), part.to_string()), issued);
    }
}
