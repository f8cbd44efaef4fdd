//! The recovery's part of the file, in the form of `deckproxy-recovery`.

use crate::finding::Finding;
use crate::{Operator, Recovery, defaults};
use deckproxy_recovery::admission::{Class, Settings};
use deckproxy_recovery::{budget, class_shedding, retry_storm};

impl Recovery {
    /// How the door is set, defaults filled in. `classes`: name and worth of each, by place; `most_back`: the platform's
    /// bound on times to come back, ms.
    pub fn settings(&self, classes: &[(String, f64)], most_back: f64) -> Settings {
        let rank = |worth: f64| {
            let below = classes.iter().filter(|(_, w)| *w < worth).count();
            let others = classes.iter().filter(|(_, w)| *w != worth).count();
            if others == 0 { 0.5 } else { below as f64 / others as f64 }
        };
        let place = |name: &str| classes.iter().position(|(n, _)| n == name);
        let steps = self.give_up.iter().filter_map(|s| {
            Some(class_shedding::Step { class: place(&s.class)?, shed_from: s.enter, restore_below: s.leave })
        });
        Settings {
            // What is refused at the door has gone nowhere: a new try does no harm, whatever the class.
            classes: classes
                .iter()
                .map(|(_, worth)| Class {
                    priority_weight: rank(*worth),
                    can_be_rejected: true,
                    min_time_left: 100.0,
                })
                .collect(),
            retry_budget: Some(budget::Limits {
                share: self.share_of_repeats.unwrap_or(defaults::SHARE_OF_REPEATS),
                max_saved: f64::from(self.repeats_saved.unwrap_or(defaults::REPEATS_SAVED)),
            }),
            storm: Some(retry_storm::Limits {
                window: f64::from(self.window_ms.unwrap_or(defaults::WINDOW_MS)),
                bad_share: self.bad_share.unwrap_or(defaults::BAD_SHARE),
                good_share: self.good_share.unwrap_or(defaults::GOOD_SHARE),
                retry_ratio: self.storm_repeats.unwrap_or(defaults::STORM_REPEATS),
                ..retry_storm::Limits::default()
            }),
            shedding_steps: steps.collect(),
            min_retry_after: f64::from(self.least_back_ms.unwrap_or(defaults::LEAST_BACK_MS)).min(most_back),
            max_retry_after: most_back,
            remembered: self.remembered.unwrap_or(defaults::REMEMBERED) as usize / 2,
            ..Settings::default()
        }
    }

    /// Classes that are named and not there.
    pub fn unknown(&self, classes: &[String]) -> Vec<String> {
        let named = self.give_up.iter().map(|s| s.class.clone());
        named.filter(|name| !classes.contains(name)).collect()
    }
}

/// Faults of entries beside each other.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(recovery) = &operator.recovery else { return Vec::new() };
    let mut findings = Vec::new();
    let bad = recovery.bad_share.unwrap_or(defaults::BAD_SHARE);
    let good = recovery.good_share.unwrap_or(defaults::GOOD_SHARE);
    if good < bad {
        let field = if recovery.good_share.is_some() { "good_share" } else { "bad_share" };
        findings.push(Finding::new(
            format!("recovery.{field}"),
            format!("good_share ({good}) is below bad_share ({bad})"),
        ));
    }
    for (i, step) in recovery.give_up.iter().enumerate() {
        if step.leave >= step.enter {
            let what =
                format!("leave ({}) must be under enter ({}), or it would flap", step.leave, step.enter);
            findings.push(Finding::new(format!("recovery.give_up[{i}].leave"), what));
        }
        if recovery.give_up[..i].iter().any(|s| s.class == step.class) {
            findings.push(Finding::new(
                format!("recovery.give_up[{i}].class"),
                format!("{:?} is given up already", step.class),
            ));
        }
        if i > 0 && recovery.give_up[i - 1].enter > step.enter {
            let what = "below the step before it, which comes first".to_string();
            findings.push(Finding::new(format!("recovery.give_up[{i}].enter"), what));
        }
    }
    findings
}
