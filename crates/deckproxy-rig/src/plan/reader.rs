//! Plans read from their files.

use super::check::Finding;
use super::{CacheFault, Fault, FaultKind, OverloadControl, Plan};
use crate::relay::DatagramFaults;
use deckproxy_operator::{FileError, text_format};
use prost::Message as _;
use prost_reflect::{DescriptorPool, MessageDescriptor};

#[allow(clippy::all, clippy::pedantic, missing_docs)]
mod schema {
    include!(concat!(env!("OUT_DIR"), "/deckproxy.rig.rs"));
}

/// Reads a file's bytes.
///
/// # Errors
///
/// All faults of the file, each with line, column and field, in the order of the text.
pub fn read(bytes: &[u8]) -> Result<Plan, Vec<FileError>> {
    let file = text_format::read(&descriptor(), bytes)?;
    let message = schema::Plan::decode(&*file.encoded).map_err(|e| vec![file.error("", &e.to_string())])?;
    let (plan, findings) = plan(&message);
    if findings.is_empty() {
        return Ok(plan);
    }
    let mut faults: Vec<FileError> =
        findings.iter().map(|finding| file.error(&finding.path, &finding.message)).collect();
    faults.sort();
    Err(faults)
}

/// The outermost message of the schema that this build has compiled in.
fn descriptor() -> MessageDescriptor {
    let schema: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/plan.bin"));
    let pool = DescriptorPool::decode(schema).expect("the schema that was compiled in");
    pool.get_message_by_name("deckproxy.rig.Plan").expect("the schema's outermost message")
}

/// The plan of a message, with the defaults for what it leaves out, and all that is wrong with it.
fn plan(message: &schema::Plan) -> (Plan, Vec<Finding>) {
    let mut findings = Vec::new();
    let mut faults = Vec::new();
    for (i, fault) in message.faults.iter().enumerate() {
        match kind(fault) {
            Ok(kind) => faults.push(Fault { at: fault.at, duration: fault.lasts, kind }),
            Err(finding) => findings.push(finding.in_fault(i)),
        }
    }
    // Where a fault could not be read, the places of the others in the plan are not those in the file.
    let has_all_faults = findings.is_empty();
    let plan = Plan { faults, ..settings(message) };
    let checked = plan.check().into_iter();
    findings.extend(checked.filter(|finding| has_all_faults || !finding.path.starts_with("faults[")));
    (plan, findings)
}

/// The plan without its faults.
fn settings(message: &schema::Plan) -> Plan {
    let default = Plan::default();
    let count = |given: Option<u32>, default: usize| given.map_or(default, |n| n as usize);
    Plan {
        question: message.question.clone(),
        seconds: message.seconds.unwrap_or(default.seconds),
        instances: count(message.instances, default.instances),
        zones: count(message.zones, default.zones),
        caches: count(message.caches, default.caches),
        rate: message.rate.unwrap_or(default.rate),
        clients: count(message.clients, default.clients),
        seed: message.seed.unwrap_or(default.seed),
        fleet: message.fleet.unwrap_or(default.fleet),
        health_check_interval_ms: message.probe_ms.map_or(default.health_check_interval_ms, u64::from),
        isolated: message.alone.unwrap_or(default.isolated),
        overload_control: match message.shed() {
            schema::Shed::Nothing => OverloadControl::Off,
            schema::Shed::Door => OverloadControl::PerInstance,
            schema::Shed::Fleet => OverloadControl::Fleet,
        },
        origin_concurrency: count(message.origin_room, default.origin_concurrency),
        open_loop: message.throng.unwrap_or(default.open_loop),
        ignore_retry_after: message.hasty.unwrap_or(default.ignore_retry_after),
        skew: message.skew.unwrap_or(default.skew),
        faults: default.faults,
    }
}

/// What a fault does.
///
/// # Errors
///
/// What is missing; its path begins at the fault.
fn kind(fault: &schema::Fault) -> Result<FaultKind, Finding> {
    use schema::fault::What;
    let missing = || Finding::new("", "what goes wrong is not said");
    Ok(match fault.what.as_ref().ok_or_else(missing)? {
        What::Kill(instance) => FaultKind::Kill(*instance as usize),
        What::Pause(instance) => FaultKind::Pause(*instance as usize),
        What::Restart(instance) => FaultKind::Restart(*instance as usize),
        What::Rolling(_) => FaultKind::RollingRestart,
        What::Split(part) => FaultKind::Split(numbers(&part.instances)),
        What::Mute(part) => FaultKind::Mute(numbers(&part.instances)),
        What::Datagrams(datagrams) => FaultKind::Datagrams(DatagramFaults {
            lost_share: datagrams.lost,
            duplicated_share: datagrams.doubled,
            max_delay_ms: u64::from(datagrams.late_ms),
        }),
        What::Cut(cut) => FaultKind::Cut {
            instances: numbers(&cut.instances),
            zone: cut.zone as usize,
            is_silent: cut.silent,
        },
        What::Load(times) => FaultKind::Load(*times),
        What::OriginSlowMs(ms) => FaultKind::SlowOrigin(u64::from(*ms)),
        What::ZoneCold(zone) => FaultKind::ColdZone(*zone as usize),
        What::Feed(feed) => {
            FaultKind::Feed { instances: numbers(&feed.instances), delay_ms: u64::from(feed.late_ms) }
        }
        What::Cache(cache) => FaultKind::Cache(cache.number as usize, cache_fault(cache)?),
    })
}

fn cache_fault(cache: &schema::Cache) -> Result<CacheFault, Finding> {
    use schema::cache::Trouble;
    let missing = || Finding::new(".cache", "what is wrong with it is not said");
    Ok(match cache.trouble.as_ref().ok_or_else(missing)? {
        Trouble::Crashes(_) => CacheFault::Crashes,
        Trouble::Hangs(_) => CacheFault::Hangs,
        Trouble::Fails(share) => CacheFault::Fails(*share),
        Trouble::SlowMs(ms) => CacheFault::Slow(u64::from(*ms)),
    })
}

fn numbers(all: &[u32]) -> Vec<usize> {
    all.iter().map(|number| *number as usize).collect()
}
