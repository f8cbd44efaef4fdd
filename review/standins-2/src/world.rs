//! What caches and parents hold.

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
    /// The fresh time of each class, ms; 0 or absent: until it is purged.
    fresh_ms: HashMap<String, f64>,
}

impl World {
    /// Members that hold nothing.
    pub fn new(fresh_ms: HashMap<String, f64>) -> World {
        World { copies: HashMap::new(), fresh_ms }
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
        (oldest <= 0.0 || now - issued <= oldest).then_some(issued)
    }

    /// Stores a copy.
    pub fn store(&mut self, member: &str, object: &str, part: &str, issued: f64) {
        self.copies.insert((member.to_string(), object.to_string(), part.to_string()), issued);
    }
}
