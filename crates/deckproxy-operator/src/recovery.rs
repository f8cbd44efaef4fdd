//! The `recovery` section of the file: checks of the relations between its fields, and its conversion to the settings
//! of `deckproxy-recovery`.

use crate::finding::Finding;
use crate::{Operator, PlatformClass, PlatformSettings, Recovery, Step, defaults};
use deckproxy_recovery::admission::{Class, Settings};
use deckproxy_recovery::{budget, class_shedding, retry_storm};

/// Time left until its deadline that a request needs to be admitted, ms.
const MIN_TIME_LEFT_MS: f64 = 100.0;
/// Rank of the classes if all have the same priority weight.
const MIDDLE_RANK: f64 = 0.5;

impl Recovery {
    /// The settings of admission control, including defaults.
    pub fn settings(&self, platform: &PlatformSettings) -> Settings {
        let max_retry_after = platform.retry_after_bound();
        let min_retry_after = f64::from(self.least_back_ms.unwrap_or(defaults::recovery::MIN_RETRY_AFTER_MS));
        Settings {
            classes: ranked_classes(&platform.classes),
            retry_budget: Some(budget::Limits {
                share: self.share_of_repeats.unwrap_or(defaults::recovery::RETRY_SHARE),
                max_saved: f64::from(self.repeats_saved.unwrap_or(defaults::recovery::MAX_SAVED_RETRIES)),
            }),
            storm: Some(retry_storm::Limits {
                window: f64::from(self.window_ms.unwrap_or(defaults::recovery::WINDOW_MS)),
                bad_share: self.bad_share.unwrap_or(defaults::recovery::BAD_SHARE),
                good_share: self.good_share.unwrap_or(defaults::recovery::GOOD_SHARE),
                retry_ratio: self.storm_repeats.unwrap_or(defaults::recovery::STORM_RETRY_RATIO),
                ..retry_storm::Limits::default()
            }),
            shedding_steps: self.shedding_steps(platform),
            min_retry_after: min_retry_after.min(max_retry_after),
            max_retry_after,
            // A Retry-After can't be enforced on clients that are sent none.
            enforces_retry_after: platform.sends_retry_after,
            // The tracker of retries records up to twice this number.
            remembered: self.remembered.unwrap_or(defaults::recovery::REMEMBERED_REQUESTS) as usize / 2,
            ..Settings::default()
        }
    }

    /// The steps at which classes are shed, without those of unknown classes.
    fn shedding_steps(&self, platform: &PlatformSettings) -> Vec<class_shedding::Step> {
        let step = |step: &Step| {
            Some(class_shedding::Step {
                class: platform.class_position(&step.class)?,
                shed_from: step.enter,
                restore_below: step.leave,
            })
        };
        self.give_up.iter().filter_map(step).collect()
    }

    /// Names of classes to be shed that the platform does not have.
    pub fn unknown_classes(&self, platform: &PlatformSettings) -> Vec<String> {
        let names = self.give_up.iter().map(|step| &step.class);
        names.filter(|name| platform.class_position(name).is_none()).cloned().collect()
    }
}

/// The classes, each with its rank by priority weight: of the classes with another weight, the share whose weight is
/// lower, 0 to 1.
fn ranked_classes(classes: &[PlatformClass]) -> Vec<Class> {
    let rank = |weight: f64| {
        let below = classes.iter().filter(|other| other.priority_weight < weight).count();
        let others = classes.iter().filter(|other| other.priority_weight != weight).count();
        if others == 0 { MIDDLE_RANK } else { below as f64 / others as f64 }
    };
    let class = |class: &PlatformClass| Class {
        priority_weight: rank(class.priority_weight),
        // A request that is rejected here was not forwarded, so a retry is harmless for every class.
        can_be_rejected: true,
        min_time_left: MIN_TIME_LEFT_MS,
    };
    classes.iter().map(class).collect()
}

/// Checks the relations between fields.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(recovery) = &operator.recovery else { return Vec::new() };
    let mut findings = check_shares(recovery);
    findings.extend(check_steps(&recovery.give_up));
    findings
}

/// Checks that the shares are ordered.
fn check_shares(recovery: &Recovery) -> Vec<Finding> {
    let bad_share = recovery.bad_share.unwrap_or(defaults::recovery::BAD_SHARE);
    let good_share = recovery.good_share.unwrap_or(defaults::recovery::GOOD_SHARE);
    if good_share >= bad_share {
        return Vec::new();
    }
    let field = if recovery.good_share.is_some() { "good_share" } else { "bad_share" };
    let message = format!("good_share ({good_share}) is below bad_share ({bad_share})");
    vec![Finding::new(format!("recovery.{field}"), message)]
}

/// Checks that the steps are ordered and name different classes.
fn check_steps(steps: &[Step]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        let mut report = |field: &str, message: String| {
            findings.push(Finding::new(format!("recovery.give_up[{index}].{field}"), message));
        };
        let earlier = &steps[..index];
        if step.leave >= step.enter {
            let message = format!(
                "leave ({}) must be under enter ({}), or the class would flap",
                step.leave, step.enter
            );
            report("leave", message);
        }
        if earlier.iter().any(|other| other.class == step.class) {
            report("class", format!("{:?} is already listed", step.class));
        }
        if earlier.last().is_some_and(|previous| previous.enter > step.enter) {
            report("enter", "below enter of the previous step, which is shed first".to_string());
        }
    }
    findings
}
