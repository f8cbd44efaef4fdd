//! Plans as text, in the form of their files.

use super::{CacheFault, FaultKind, OverloadControl, Plan};
use crate::relay::DatagramFaults;
use std::fmt::Write as _;

impl Plan {
    /// The plan as a file, every field written out.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(text, "question: {:?}", self.question);
        let _ = writeln!(
            text,
            "seconds: {:?} instances: {} zones: {} caches: {} rate: {:?} clients: {} seed: {} fleet: {} probe_ms: {} alone: {} \
             shed: {} origin_room: {} throng: {} hasty: {} skew: {:?}",
            self.seconds,
            self.instances,
            self.zones,
            self.caches,
            self.rate,
            self.clients,
            self.seed,
            self.fleet,
            self.health_check_interval_ms,
            self.isolated,
            self.overload_control.text(),
            self.origin_concurrency,
            self.open_loop,
            self.ignore_retry_after,
            self.skew
        );
        for fault in &self.faults {
            let (at, duration, kind) = (fault.at, fault.duration, fault.kind.text());
            let _ = writeln!(text, "faults {{ at: {at:?} lasts: {duration:?} {kind} }}");
        }
        text
    }
}

impl OverloadControl {
    fn text(self) -> &'static str {
        match self {
            OverloadControl::Off => "NOTHING",
            OverloadControl::PerInstance => "DOOR",
            OverloadControl::Fleet => "FLEET",
        }
    }
}

impl FaultKind {
    /// The fault as the field of a plan's file.
    pub fn text(&self) -> String {
        let list = |instances: &[usize]| format!("instances: {instances:?}");
        match self {
            FaultKind::Kill(instance) => format!("kill: {instance}"),
            FaultKind::Pause(instance) => format!("pause: {instance}"),
            FaultKind::Restart(instance) => format!("restart: {instance}"),
            FaultKind::RollingRestart => "rolling: true".to_string(),
            FaultKind::Split(part) => format!("split {{ {} }}", list(part)),
            FaultKind::Mute(part) => format!("mute {{ {} }}", list(part)),
            FaultKind::Datagrams(DatagramFaults { lost_share, duplicated_share, max_delay_ms }) => {
                format!(
                    "datagrams {{ lost: {lost_share:?} doubled: {duplicated_share:?} late_ms: {max_delay_ms} }}"
                )
            }
            FaultKind::Cache(number, fault) => format!("cache {{ number: {number} {} }}", fault.text()),
            FaultKind::Cut { instances, zone, is_silent } => {
                format!("cut {{ {} zone: {zone} silent: {is_silent} }}", list(instances))
            }
            FaultKind::Load(times) => format!("load: {times:?}"),
            FaultKind::SlowOrigin(ms) => format!("origin_slow_ms: {ms}"),
            FaultKind::ColdZone(zone) => format!("zone_cold: {zone}"),
            FaultKind::Feed { instances, delay_ms } => {
                format!("feed {{ {} late_ms: {delay_ms} }}", list(instances))
            }
        }
    }
}

impl CacheFault {
    fn text(self) -> String {
        match self {
            CacheFault::Crashes => "crashes: true".to_string(),
            CacheFault::Hangs => "hangs: true".to_string(),
            CacheFault::Fails(share) => format!("fails: {share:?}"),
            CacheFault::Slow(ms) => format!("slow_ms: {ms}"),
        }
    }
}
