//! Compiles the schema without `protoc`; the rules on single fields are attached here, beside their names.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    let files = protox::compile(["proto/operator.proto"], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("operator.bin"), prost::Message::encode_to_vec(&files))?;
    let mut config = prost_build::Config::new();
    config.message_attribute(".", "#[derive(garde::Validate)]\n#[garde(allow_unvalidated)]");
    let rules = [
        ("Operator.sites", "dive"),
        ("Operator.flows", "dive"),
        ("Operator.recovery", "dive"),
        ("Operator.fleet", "dive"),
        ("Fleet.name", "custom(crate::rules::site_name)"),
        ("Fleet.listen", "custom(crate::rules::address)"),
        ("Fleet.seeds", "length(max = 64), inner(custom(crate::rules::address))"),
        ("Fleet.prefixes", "length(min = 1, max = 64), inner(custom(crate::rules::prefix))"),
        ("Fleet.instance", "custom(crate::rules::instance_name_if_set)"),
        ("Fleet.zone", "custom(crate::rules::instance_name_if_set)"),
        ("Fleet.address", "custom(crate::rules::address_if_set)"),
        ("Fleet.instances", "range(max = 2048)"),
        ("Fleet.ways", "length(max = 2048), dive"),
        ("Fleet.kb_per_s", "range(min = 1, max = 1024)"),
        ("Fleet.beat_ms", "range(min = 100, max = 60_000)"),
        ("Fleet.pause_ms", "range(min = 300, max = 60_000)"),
        ("Fleet.forget_ms", "range(min = 10_000, max = 86_400_000)"),
        ("Fleet.weight", "range(min = 1, max = 1000)"),
        ("Fleet.probes", "dive"),
        ("Way.instance", "custom(crate::rules::instance_name)"),
        ("Way.address", "custom(crate::rules::address)"),
        ("Probes.observers", "range(max = 8)"),
        ("Probes.interval_ms", "range(min = 100, max = 60_000)"),
        ("Probes.fails", "range(min = 1, max = 100)"),
        ("Probes.most_held", "range(min = 0.0, max = 0.9)"),
        ("Probes.spread_ms", "range(max = 600_000)"),
        ("Recovery.share_of_repeats", "range(min = 0.0, max = 10.0)"),
        ("Recovery.repeats_saved", "range(min = 1, max = 100_000)"),
        ("Recovery.remembered", "range(min = 16, max = 10_000_000)"),
        ("Recovery.least_back_ms", "range(min = 1, max = 60_000)"),
        ("Recovery.window_ms", "range(min = 50, max = 10_000)"),
        ("Recovery.bad_share", "range(min = 0.0, max = 1.0)"),
        ("Recovery.good_share", "range(min = 0.0, max = 1.0)"),
        ("Recovery.storm_repeats", "range(min = 0.0, max = 10.0)"),
        ("Recovery.give_up", "length(max = 64), dive"),
        ("Step.class", "length(min = 1, max = 128)"),
        ("Step.enter", "range(min = 0.0, max = 1.0)"),
        ("Step.leave", "range(min = 0.0, max = 1.0)"),
        ("Flows.collectors", "length(min = 1, max = 8), dive"),
        ("Flows.message_bytes", "range(min = 1024, max = 65_000)"),
        ("Flows.refresh_ms", "range(min = 1000, max = 86_400_000)"),
        ("Flows.spool_kb", "range(min = 64, max = 1_048_576)"),
        ("Flows.stall_ms", "range(min = 100, max = 600_000)"),
        ("Flows.flush_ms", "range(max = 60_000)"),
        ("Flows.meter", "dive"),
        ("Collector.address", "custom(crate::rules::address)"),
        ("Meter.entries", "range(min = 16, max = 10_000_000)"),
        ("Meter.v4_bits", "range(max = 32)"),
        ("Meter.v6_bits", "range(max = 128)"),
        (
            "Meter.folded_v4_bits",
            "custom(crate::rules::not_above(\"v4_bits\", self.v4_bits, crate::defaults::V4_BITS))",
        ),
        (
            "Meter.folded_v6_bits",
            "custom(crate::rules::not_above(\"v6_bits\", self.v6_bits, crate::defaults::V6_BITS))",
        ),
        ("Meter.active_ms", "range(min = 100, max = 3_600_000)"),
        (
            "Meter.idle_ms",
            "range(min = 50), custom(crate::rules::not_above(\"active_ms\", self.active_ms, crate::defaults::ACTIVE_MS))",
        ),
        ("Sites.name", "custom(crate::rules::site_name)"),
        ("Sites.listen", "custom(crate::rules::address_if_set)"),
        ("Sites.peers", "length(max = 64), dive"),
        ("Sites.routes", "length(max = 100_000), dive"),
        ("Sites.most_hops", "range(min = 1, max = 8)"),
        ("Sites.cooldown_ms", "range(min = 1, max = 60_000)"),
        ("Sites.link", "dive"),
        ("Sites.trust", "dive"),
        ("Sites.trust", "custom(crate::rules::lease_below_grace(&self.link))"),
        ("Peer.site", "custom(crate::rules::site_name)"),
        ("Peer.addresses", "length(min = 1, max = 16), inner(custom(crate::rules::address))"),
        ("Peer.connections", "range(min = 1, max = 16)"),
        ("Route.prefix", "custom(crate::rules::hex_prefix)"),
        ("Route.class", "length(max = 128)"),
        ("Route.groups", "dive"),
        ("Route.home", "custom(crate::rules::site_name)"),
        ("Groups.first", "range(max = 255)"),
        ("Groups.last", "range(max = 255), custom(crate::rules::not_below(\"first\", Some(self.first)))"),
        ("Link.heartbeat_ms", "range(min = 10, max = 60_000)"),
        (
            "Link.silence_ms",
            "range(min = 20, max = 600_000), custom(crate::rules::twice(\"heartbeat_ms\", self.heartbeat_ms.or(Some(crate::defaults::HEARTBEAT_MS))))",
        ),
        ("Link.reattach_ms", "range(max = 600_000)"),
        ("Link.chunk_kb", "range(min = 1, max = 256)"),
        (
            "Link.credit_kb",
            "range(min = 1, max = 16_384), custom(crate::rules::not_below(\"chunk_kb\", self.chunk_kb.or(Some(crate::defaults::CHUNK_KB))))",
        ),
        ("Link.most_crossings", "range(min = 1, max = 1_000_000)"),
        ("Link.waiters", "range(max = 65_536)"),
        ("Link.retain_kb", "range(min = 64, max = 1_048_576)"),
        ("Link.ramp_ms", "range(max = 600_000)"),
        ("Link.hold_ms", "range(max = 10_000)"),
        ("Trust.known_ms", "range(max = 86_400_000)"),
        ("Link.repeats_share", "range(min = 0.0, max = 1.0)"),
        ("Trust.grace_ms", "range(min = 50, max = 600_000)"),
        ("Trust.lease_ms", "range(min = 20, max = 600_000)"),
        ("Trust.skew_ms", "range(max = 600_000)"),
        ("Trust.copy_life_ms", "range(max = 86_400_000)"),
    ];
    for (path, rule) in rules {
        config.field_attribute(path, format!("#[garde({rule})]"));
    }
    config.compile_fds(files)?;
    Ok(())
}
