//! What a field that is left out stands for; the schema's comments name the same values, which a test compares.

/// `Sites.most_hops`.
pub const MOST_HOPS: u32 = 2;
/// `Sites.cooldown_ms`.
pub const COOLDOWN_MS: u32 = 200;
/// `Peer.connections`.
pub const CONNECTIONS: u32 = 2;
/// `Link.heartbeat_ms`.
pub const HEARTBEAT_MS: u32 = 150;
/// `Link.silence_ms`.
pub const SILENCE_MS: u32 = 600;
/// `Link.reattach_ms`.
pub const REATTACH_MS: u32 = 5000;
/// `Link.chunk_kb`.
pub const CHUNK_KB: u32 = 16;
/// `Link.credit_kb`.
pub const CREDIT_KB: u32 = 64;
/// `Link.most_crossings`.
pub const MOST_CROSSINGS: u32 = 10_000;
/// `Link.waiters`.
pub const WAITERS: u32 = 512;
/// `Link.retain_kb`.
pub const RETAIN_KB: u32 = 8192;
/// `Link.ramp_ms`.
pub const RAMP_MS: u32 = 2000;
/// `Link.hold_ms`.
pub const HOLD_MS: u32 = 300;
/// `Link.repeats_share`.
pub const REPEATS_SHARE: f64 = 0.1;
/// `Trust.grace_ms`.
pub const GRACE_MS: u32 = 1000;
/// `Trust.lease_ms`.
pub const LEASE_MS: u32 = 700;
/// `Trust.skew_ms`.
pub const SKEW_MS: u32 = 250;
/// `Trust.copy_life_ms`.
pub const COPY_LIFE_MS: u32 = 60_000;
/// `Flows.domain`.
pub const DOMAIN: u32 = 1;
/// `Flows.enterprise`: the number kept for documentation (RFC 5612).
pub const ENTERPRISE: u32 = 32_473;
/// `Flows.message_bytes`.
pub const MESSAGE_BYTES: u32 = 1400;
/// `Flows.rate`.
pub const RATE: u32 = 0;
/// `Flows.refresh_ms`.
pub const REFRESH_MS: u32 = 60_000;
/// `Flows.spool_kb`.
pub const SPOOL_KB: u32 = 4096;
/// `Flows.stall_ms`.
pub const STALL_MS: u32 = 5000;
/// `Flows.flush_ms`.
pub const FLUSH_MS: u32 = 1000;
/// `Meter.entries`.
pub const ENTRIES: u32 = 16_384;
/// `Meter.v4_bits`.
pub const V4_BITS: u32 = 32;
/// `Meter.v6_bits`.
pub const V6_BITS: u32 = 64;
/// `Meter.folded_v4_bits`.
pub const FOLDED_V4_BITS: u32 = 16;
/// `Meter.folded_v6_bits`.
pub const FOLDED_V6_BITS: u32 = 40;
/// `Meter.active_ms`.
pub const ACTIVE_MS: u32 = 60_000;
/// `Meter.idle_ms`.
pub const IDLE_MS: u32 = 15_000;
/// `Recovery.share_of_repeats`.
pub const SHARE_OF_REPEATS: f64 = 0.2;
/// `Recovery.repeats_saved`.
pub const REPEATS_SAVED: u32 = 20;
/// `Recovery.remembered`.
pub const REMEMBERED: u32 = 65_536;
/// `Recovery.least_back_ms`.
pub const LEAST_BACK_MS: u32 = 50;
/// `Recovery.window_ms`.
pub const WINDOW_MS: u32 = 250;
/// `Recovery.bad_share`.
pub const BAD_SHARE: f64 = 0.6;
/// `Recovery.good_share`.
pub const GOOD_SHARE: f64 = 0.9;
/// `Recovery.storm_repeats`.
pub const STORM_REPEATS: f64 = 0.3;
/// `Overload.share_of_repeats`.
pub const FLEET_SHARE_OF_REPEATS: f64 = 0.2;
/// `Overload.remembered`.
pub const FLEET_REMEMBERED: u32 = 65_536;
/// `Overload.least_back_ms`.
pub const FLEET_LEAST_BACK_MS: u32 = 50;
/// `Overload.bad_share`.
pub const FLEET_BAD_SHARE: f64 = 0.85;
/// `Overload.good_share`.
pub const FLEET_GOOD_SHARE: f64 = 0.95;
/// `Overload.vain_share`.
pub const VAIN_SHARE: f64 = 0.05;
/// `Overload.repeats`.
pub const REPEATS: f64 = 0.3;
/// `Overload.least_per_s`.
pub const LEAST_PER_S: u32 = 10;
/// `Fleet.instances`.
pub const INSTANCES: u32 = 0;
/// `Fleet.kb_per_s`.
pub const KB_PER_S: u32 = 16;
/// `Fleet.beat_ms`.
pub const BEAT_MS: u32 = 500;
/// `Fleet.pause_ms`.
pub const PAUSE_MS: u32 = 1000;
/// `Fleet.forget_ms`.
pub const FORGET_MS: u32 = 600_000;
/// `Fleet.weight`.
pub const WEIGHT: u32 = 1;
/// `Probes.observers`.
pub const OBSERVERS: u32 = 2;
/// `Probes.interval_ms`.
pub const INTERVAL_MS: u32 = 1000;
/// `Probes.fails`.
pub const FAILS: u32 = 3;
/// `Probes.most_held`.
pub const MOST_HELD: f64 = 0.34;
/// `Probes.spread_ms`.
pub const SPREAD_MS: u32 = 2000;
