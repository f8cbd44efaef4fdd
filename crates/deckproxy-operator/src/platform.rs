//! The values of the platform's configuration that settings of the operator file depend on.

/// The part of the platform's configuration that admission control depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The request classes, by position.
    pub classes: Vec<PlatformClass>,
    /// Whether clients are sent a Retry-After.
    pub sends_retry_after: bool,
    /// Longest Retry-After, ms.
    pub max_retry_after: f64,
}

/// A request class of the platform's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformClass {
    /// Its name.
    pub name: String,
    /// Weight of a request of the class relative to those of other classes.
    pub priority_weight: f64,
    /// Whether a request of the class may have side effects, so that a retry of it is not harmless.
    pub has_effect: bool,
}

/// Lower limit of the longest Retry-After, ms.
const MIN_RETRY_AFTER_BOUND_MS: f64 = 1.0;

impl PlatformSettings {
    /// The longest Retry-After, ms: that of the platform, but at least 1 ms.
    pub(crate) fn retry_after_bound(&self) -> f64 {
        self.max_retry_after.max(MIN_RETRY_AFTER_BOUND_MS)
    }

    /// The position of the class of that name.
    pub(crate) fn class_position(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}
