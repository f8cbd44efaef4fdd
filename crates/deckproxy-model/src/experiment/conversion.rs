//! From the messages of an experiment file to scenarios. Fields that a file leaves out keep the scenario's
//! defaults.

use super::schema;
use crate::scenario::{
    BalancerKind, Fault, FaultKind, InvalidField, Load, MemberSettings, RetryPolicy, Scenario,
};

const MS_PER_SECOND: f64 = 1000.0;

/// The scenario of an experiment, before its variants differ; fields that cannot be converted are added to
/// `errors`.
pub(super) fn scenario(parsed: &schema::Experiment, errors: &mut Vec<InvalidField>) -> Scenario {
    let defaults = Scenario::default();
    let count = |given: Option<u32>, default: usize| given.map_or(default, |n| n as usize);
    Scenario {
        duration_seconds: parsed.seconds.unwrap_or(defaults.duration_seconds),
        sites: count(parsed.sites, defaults.sites),
        locations: count(parsed.locations, defaults.locations),
        gateways: count(parsed.gateways, defaults.gateways),
        caches: count(parsed.caches, defaults.caches),
        parents: count(parsed.parents, defaults.parents),
        record_interval_ms: parsed.step_ms.unwrap_or(defaults.record_interval_ms),
        load: parsed.load.as_ref().map_or(defaults.load, load),
        members: parsed.members.as_ref().map_or(defaults.members, |given| members(given, errors)),
        faults: faults(&parsed.faults, errors),
        ..Scenario::default()
    }
}

/// A variant's scenario: the experiment's, with the variant's own settings.
pub(super) fn variant_scenario(variant: &schema::Variant, base: &Scenario) -> Scenario {
    let mut scenario = base.clone();
    scenario.balancer = balancer(variant.host());
    if variant.retry.is_some() {
        scenario.load.retry = retry(variant.retry());
    }
    scenario
}

fn balancer(host: schema::Host) -> BalancerKind {
    match host {
        schema::Host::Gateway => BalancerKind::Gateway,
        schema::Host::Recovery => BalancerKind::GatewayWithRecovery,
        schema::Host::Random => BalancerKind::Random,
        schema::Host::TwoChoices => BalancerKind::TwoChoices,
        schema::Host::BoundedHash => BalancerKind::BoundedHash,
        schema::Host::NoCollapsing => BalancerKind::NoCollapsing,
    }
}

fn retry(retry: schema::Retry) -> RetryPolicy {
    match retry {
        schema::Retry::Advised => RetryPolicy::Advised,
        schema::Retry::AtOnce => RetryPolicy::Immediate,
        schema::Retry::Never => RetryPolicy::Never,
    }
}

fn load(given: &schema::Load) -> Load {
    let defaults = Load::default();
    Load {
        requests_per_second: given.rate.unwrap_or(defaults.requests_per_second),
        schedule: given.schedule.clone(),
        objects: given.objects.map_or(defaults.objects, |n| n as usize),
        zipf_exponent: given.zipf.unwrap_or(defaults.zipf_exponent),
        rank_drift_per_second: given.drift.unwrap_or(defaults.rank_drift_per_second),
        write_share: given.writes.unwrap_or(defaults.write_share),
        client_timeout_ms: given.patience_ms.unwrap_or(defaults.client_timeout_ms),
        max_attempts: given.tries.unwrap_or(defaults.max_attempts),
        retry: given.retry.map_or(defaults.retry, |_| retry(given.retry())),
        purges_per_second: given.purges.unwrap_or(defaults.purges_per_second),
    }
}

fn members(given: &schema::Members, errors: &mut Vec<InvalidField>) -> MemberSettings {
    let mut settings = MemberSettings::default();
    copy_array("members.cores", &counts(&given.cores), &mut settings.cores, errors);
    copy_array("members.queue", &counts(&given.queue), &mut settings.queue_capacity, errors);
    copy_array("members.keeps", &counts(&given.keeps), &mut settings.store_capacity, errors);
    copy_array("members.work_ms", &given.work_ms, &mut settings.service_time_ms, errors);
    settings.egress_kb_per_s = given.flow.unwrap_or(settings.egress_kb_per_s);
    settings.parent_link_kb_per_s = given.inlet.unwrap_or(settings.parent_link_kb_per_s);
    settings
}

fn counts(given: &[u32]) -> Vec<usize> {
    given.iter().map(|n| *n as usize).collect()
}

/// Replaces an array by the given values, if there are any; their number must be the array's.
fn copy_array<T: Copy>(path: &str, given: &[T], array: &mut [T], errors: &mut Vec<InvalidField>) {
    if given.is_empty() {
        return;
    }
    if given.len() == array.len() {
        array.copy_from_slice(given);
    } else {
        let reason = format!("{} values; {} are wanted", given.len(), array.len());
        errors.push(InvalidField::new(path, reason));
    }
}

fn faults(given: &[schema::Fault], errors: &mut Vec<InvalidField>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, fault) in given.iter().enumerate() {
        match fault_kind(fault) {
            Some(kind) => faults.push(Fault {
                start_ms: fault.at * MS_PER_SECOND,
                duration_ms: fault.lasts * MS_PER_SECOND,
                kind,
            }),
            None => {
                errors.push(InvalidField::new(format!("faults[{index}]"), "what goes wrong is not said"));
            }
        }
    }
    faults
}

fn fault_kind(fault: &schema::Fault) -> Option<FaultKind> {
    use schema::fault::What;
    Some(match fault.what.as_ref()? {
        What::Crash(given) => FaultKind::Crash { share: given.share },
        What::Hang(given) => FaultKind::Hang { share: given.share },
        What::Slow(given) => FaultKind::Slow { share: given.share, slowdown: given.times },
        What::Gray(given) => FaultKind::Gray { share: given.share, error_share: given.fails },
        What::Site(site) => FaultKind::SiteLoss { site: *site as usize },
        What::Origin(slowdown) => FaultKind::SlowOrigin { slowdown: *slowdown },
        What::Gateways(_) => FaultKind::GatewayRestarts,
        What::Flash(given) => FaultKind::FlashCrowd { load_factor: given.times, hot_share: given.one },
        What::Feed(_) => FaultKind::SilentFeed,
        What::Reports(_) => FaultKind::FrozenReports,
        What::Flap(given) => FaultKind::LinkFlap { share: given.share, phase_ms: given.each_ms },
    })
}
