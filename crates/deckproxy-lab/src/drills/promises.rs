//! The promises of a drill, and which of them broke.

/// Collects descriptions of the promises that broke.
#[derive(Debug, Default)]
pub struct Promises {
    broken: Vec<String>,
}

impl Promises {
    /// Promises of which some have broken already.
    pub fn with_broken(broken: Vec<String>) -> Self {
        Promises { broken }
    }

    /// Notes a promise as broken unless it holds; `violation` is what is wrong then.
    pub fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            self.broken.push(violation());
        }
    }

    /// All that broke.
    pub fn into_broken(self) -> Vec<String> {
        self.broken
    }
}
