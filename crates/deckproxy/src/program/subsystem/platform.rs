//! The part of the platform's configuration that the operator file's settings depend on.

use deckproxy_control::interface::{Class, Idempotency};
use deckproxy_operator::{PlatformClass, PlatformSettings};
use deckproxy_settings::InstanceSettings;

/// Extracts the platform's settings that admission control depends on.
pub fn platform_settings(instance_settings: &InstanceSettings) -> PlatformSettings {
    let platform_class = |(name, class): (&String, &Class)| PlatformClass {
        name: name.clone(),
        priority_weight: class.priority_weight,
        has_effect: class.write || class.idempotency != Idempotency::Idempotent,
    };
    PlatformSettings {
        classes: instance_settings
            .classes
            .iter()
            .zip(&instance_settings.settings.classes)
            .map(platform_class)
            .collect(),
        sends_retry_after: instance_settings.settings.retry_after,
        max_retry_after: instance_settings.settings.max_retry_after,
    }
}
