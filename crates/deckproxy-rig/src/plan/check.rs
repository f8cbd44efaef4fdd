//! Checks of a plan's values, and of its faults against what runs.

use super::{CacheFault, Fault, FaultKind, Plan};
use crate::relay::DatagramFaults;

/// Something wrong with a plan.
pub struct Finding {
    /// The field's path in the file; where several fields are concerned, that of the message around them.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl Finding {
    /// What is wrong with the field of a path.
    pub(super) fn new(path: &str, message: impl Into<String>) -> Self {
        Finding { path: path.to_string(), message: message.into() }
    }

    /// The finding of a fault's field, where the path began at the fault.
    pub(super) fn in_fault(self, fault: usize) -> Self {
        Finding { path: format!("faults[{fault}]{}", self.path), ..self }
    }
}

impl Plan {
    /// All that is wrong with the plan's values.
    pub(super) fn check(&self) -> Vec<Finding> {
        let mut findings = self.check_ranges();
        for (i, fault) in self.faults.iter().enumerate() {
            findings.extend(self.check_fault(fault).into_iter().map(|finding| finding.in_fault(i)));
        }
        findings
    }

    fn check_ranges(&self) -> Vec<Finding> {
        let ranges = [
            ("seconds", self.seconds, 1.0, 3600.0),
            ("instances", self.instances as f64, 1.0, 24.0),
            ("zones", self.zones as f64, 1.0, 8.0),
            ("caches", self.caches as f64, 1.0, 16.0),
            ("rate", self.rate, 1.0, 5000.0),
            ("clients", self.clients as f64, 1.0, 500.0),
            ("probe_ms", self.health_check_interval_ms as f64, 100.0, 60_000.0),
            ("origin_room", self.origin_concurrency as f64, 0.0, 1000.0),
            ("skew", self.skew, 0.1, 20.0),
        ];
        let outside = ranges.into_iter().filter(|(_, value, least, most)| !(least..=most).contains(&value));
        outside
            .map(|(path, value, least, most)| {
                Finding::new(path, format!("{value} is not from {least} to {most}"))
            })
            .collect()
    }

    /// What is wrong with a fault; paths begin at its message.
    fn check_fault(&self, fault: &Fault) -> Vec<Finding> {
        let span = self.check_span(fault);
        let mut instances = fault.kind.instances().iter();
        let instance = instances.find_map(|instance| unknown("", "instance", *instance, self.instances));
        span.into_iter().chain(instance).chain(self.check_kind(&fault.kind)).collect()
    }

    fn check_span(&self, fault: &Fault) -> Option<Finding> {
        let end = fault.at + fault.duration;
        if fault.at >= 0.0 && fault.duration > 0.0 && end <= self.seconds {
            return None;
        }
        let message = format!("from {} to {end} s is not within the run of {} s", fault.at, self.seconds);
        Some(Finding::new("", message))
    }

    fn check_kind(&self, kind: &FaultKind) -> Option<Finding> {
        match kind {
            FaultKind::Split(part) | FaultKind::Mute(part)
                if part.is_empty() || part.len() >= self.instances =>
            {
                Some(Finding::new("", "some of the instances are wanted, and not all"))
            }
            FaultKind::Cache(number, _) if *number >= self.zones * self.caches => {
                unknown(".cache.number", "cache", *number, self.zones * self.caches)
            }
            FaultKind::Cache(_, CacheFault::Fails(share)) if !is_share(*share) => {
                Some(Finding::new(".cache.fails", format!("{share} is no share")))
            }
            FaultKind::Load(times) if !(*times > 0.0 && *times <= 20.0) => {
                Some(Finding::new(".load", format!("{times} is not over 0 and up to 20")))
            }
            FaultKind::Load(_) if !self.open_loop => {
                Some(Finding::new(".load", "only a throng of clients has another traffic: set throng"))
            }
            FaultKind::ColdZone(zone) => unknown(".zone_cold", "zone", *zone, self.zones),
            FaultKind::Cut { zone, .. } => unknown(".cut.zone", "zone", *zone, self.zones),
            FaultKind::Datagrams(DatagramFaults { lost_share, duplicated_share, .. })
                if !is_share(*lost_share) || !is_share(*duplicated_share) =>
            {
                Some(Finding::new(".datagrams", "a share is from 0 to 1"))
            }
            _ => None,
        }
    }
}

/// A number past the last of `count` things. Where there are none, that is found elsewhere.
fn unknown(path: &str, thing: &str, number: usize, count: usize) -> Option<Finding> {
    let last = count.checked_sub(1)?;
    let message = format!("there is no {thing} {number}; they are 0 to {last}");
    (number > last).then(|| Finding::new(path, message))
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
