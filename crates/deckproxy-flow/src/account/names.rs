//! The table that numbers the names of classes, members and sites.

use crate::meter::NameId;
use ahash::RandomState;
use std::collections::HashMap;

/// The name of the number that all names beyond the table's capacity share.
pub const OTHERS: &str = "(others)";

/// A bounded table of names and their numbers. Names beyond the capacity share the last number, whose name is
/// [`OTHERS`].
#[derive(Debug)]
pub struct Names {
    by_number: Vec<Box<str>>,
    numbers: HashMap<Box<str>, NameId, RandomState>,
    capacity: usize,
}

impl Names {
    /// A table of at most `capacity` numbers, but of at least 2. Number 0 is the empty name, and the last number
    /// that of [`OTHERS`].
    pub fn new(capacity: usize) -> Self {
        Names {
            by_number: vec!["".into()],
            numbers: [("".into(), 0)].into_iter().collect(),
            capacity: capacity.max(2),
        }
    }

    /// The number of a name; a new name is assigned one.
    pub fn number(&mut self, name: &str) -> NameId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let is_last = self.by_number.len() + 1 >= self.capacity;
        let name = if is_last { OTHERS } else { name };
        let next = NameId::try_from(self.by_number.len()).unwrap_or(NameId::MAX);
        *self.numbers.entry(name.into()).or_insert_with(|| {
            self.by_number.push(name.into());
            next
        })
    }

    /// The name with a number; empty if the number is not assigned.
    pub fn name(&self, number: NameId) -> &str {
        self.by_number.get(number as usize).map_or("", |name| name)
    }
}
