//! What the operator file's settings take from the platform's configuration.

/// The part of the platform's configuration that admission control depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The request classes, by position.
    pub classes: Vec<PlatformClass>,
    /// Whether clients get a Retry-After.
    pub sends_retry_after: bool,
    /// Longest Retry-After, ms.
    pub max_retry_after: f64,
}

/// A request class of the platform's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformClass {
    /// Its name.
    pub name: String,
    /// Weight of a request of the class against one of another class.
    pub priority_weight: f64,
    /// Whether a request of the class may have an effect, so that repeating it is not harmless.
    pub has_effect: bool,
}

/// Shortest bound on the Retry-After that settings are made with, ms.
const MIN_RETRY_AFTER_BOUND: f64 = 1.0;

impl PlatformSettings {
    /// The longest Retry-After that is sent, ms: the platform's bound, if that is no shorter than 1 ms.
    pub(crate) fn retry_after_bound(&self) -> f64 {
        self.max_retry_after.max(MIN_RETRY_AFTER_BOUND)
    }

    /// The position of the class of that name.
    pub(crate) fn class_position(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}
