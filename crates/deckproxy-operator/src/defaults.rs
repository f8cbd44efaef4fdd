//! Default values of omitted fields, by message. The comments of the schema state the same values, which a test
//! compares.
//!
//! Each constant's comment begins with the field of the operator file; the constant is named by the standard term.

/// This gateway's site.
pub mod sites {
    /// `Sites.most_hops`: most sites that a request may pass through.
    pub const MAX_HOPS: u32 = 2;
    /// `Sites.cooldown_ms`: Retry-After where the gateway has no better estimate, ms.
    pub const RETRY_AFTER_MS: u32 = 200;
}

/// A site to which links are opened.
pub mod peer {
    /// `Peer.connections`: connections to each of its addresses.
    pub const CONNECTIONS: u32 = 2;
}

/// Links between gateways.
pub mod link {
    /// `Link.heartbeat_ms`: time between heartbeats, ms.
    pub const HEARTBEAT_INTERVAL_MS: u32 = 150;
    /// `Link.silence_ms`: time without received data after which a connection counts as lost, ms.
    pub const SILENCE_TIMEOUT_MS: u32 = 600;
    /// `Link.reattach_ms`: time after a disconnect for which a session can be resumed, ms.
    pub const RESUME_TIMEOUT_MS: u32 = 5000;
    /// `Link.chunk_kb`: size of a chunk of a body, KB.
    pub const CHUNK_SIZE_KB: u32 = 16;
    /// `Link.credit_kb`: data of one body that may be in flight, KB.
    pub const CREDIT_WINDOW_KB: u32 = 64;
    /// `Link.most_crossings`: most open requests to other sites.
    pub const MAX_EXCHANGES: u32 = 10_000;
    /// `Link.waiters`: most requests that wait for one open request to another site.
    pub const MAX_WAITERS: u32 = 512;
    /// `Link.retain_kb`: size of all retained answers above which some are evicted, KB.
    pub const MAX_RETAINED_KB: u32 = 8192;
    /// `Link.ramp_ms`: recovery ramp of a restored link, ms.
    pub const RECOVERY_RAMP_MS: u32 = 2000;
    /// `Link.hold_ms`: time for which a request waits for a link that is down, ms.
    pub const QUEUE_TIMEOUT_MS: u32 = 300;
    /// `Link.repeats_share`: retries over a link for each first attempt.
    pub const RETRY_RATIO: f64 = 0.1;
}

/// Trust in copies of another site's objects.
pub mod trust {
    /// `Trust.grace_ms`: time after a purge's arrival in which older copies may be served, ms.
    pub const PURGE_GRACE_MS: u32 = 1000;
    /// `Trust.lease_ms`: validity of the home site's confirmation that no purge is missing, ms.
    pub const LEASE_MS: u32 = 700;
    /// `Trust.skew_ms`: largest difference between clocks at which copies are trusted, ms.
    pub const MAX_CLOCK_SKEW_MS: u32 = 250;
    /// `Trust.copy_life_ms`: time after which a purged copy has expired everywhere, ms.
    pub const COPY_LIFETIME_MS: u32 = 60_000;
    /// `Trust.known_ms`: time before the start for which the configuration lists all purges, ms.
    pub const KNOWN_PURGE_HISTORY_MS: u32 = 0;
}

/// Export of flows.
pub mod flows {
    /// `Flows.domain`: observation domain or source id.
    pub const OBSERVATION_DOMAIN: u32 = 1;
    /// `Flows.enterprise`: private enterprise number; the default is the one reserved for documentation (RFC 5612).
    pub const ENTERPRISE_NUMBER: u32 = 32_473;
    /// `Flows.message_bytes`: largest message, bytes.
    pub const MAX_MESSAGE_BYTES: u32 = 1400;
    /// `Flows.rate`: most messages a second to one collector; 0: no limit.
    pub const MAX_MESSAGE_RATE: u32 = 0;
    /// `Flows.refresh_ms`: time between templates over UDP, ms.
    pub const TEMPLATE_INTERVAL_MS: u32 = 60_000;
    /// `Flows.spool_kb`: flows that wait for a collector, KB.
    pub const SPOOL_SIZE_KB: u32 = 4096;
    /// `Flows.stall_ms`: time after which a collector that accepts no data counts as failed, ms.
    pub const STALL_TIMEOUT_MS: u32 = 5000;
    /// `Flows.flush_ms`: time that a graceful shutdown waits for the export, ms.
    pub const FLUSH_TIMEOUT_MS: u32 = 1000;
}

/// Metering of flows.
pub mod meter {
    /// `Meter.entries`: most flows in memory.
    pub const MAX_ENTRIES: u32 = 16_384;
    /// `Meter.v4_bits`: leading bits of an IPv4 address that identify a client.
    pub const IPV4_BITS: u32 = 32;
    /// `Meter.v6_bits`: leading bits of an IPv6 address that identify a client.
    pub const IPV6_BITS: u32 = 64;
    /// `Meter.folded_v4_bits`: leading bits of an IPv4 address in a folded flow.
    pub const FOLDED_IPV4_BITS: u32 = 16;
    /// `Meter.folded_v6_bits`: leading bits of an IPv6 address in a folded flow.
    pub const FOLDED_IPV6_BITS: u32 = 40;
    /// `Meter.active_ms`: time after which a flow that continues is exported, ms.
    pub const ACTIVE_TIMEOUT_MS: u32 = 60_000;
    /// `Meter.idle_ms`: time without traffic after which a flow has ended, ms.
    pub const IDLE_TIMEOUT_MS: u32 = 15_000;
}

/// Admission control of one instance.
pub mod recovery {
    /// `Recovery.share_of_repeats`: retries admitted for each first attempt.
    pub const RETRY_SHARE: f64 = 0.2;
    /// `Recovery.repeats_saved`: most unused retries saved up for a class.
    pub const MAX_SAVED_RETRIES: u32 = 20;
    /// `Recovery.remembered`: rejected or failed requests remembered.
    pub const REMEMBERED_REQUESTS: u32 = 65_536;
    /// `Recovery.least_back_ms`: shortest Retry-After, ms.
    pub const MIN_RETRY_AFTER_MS: u32 = 50;
    /// `Recovery.window_ms`: window in which requests are counted, ms.
    pub const WINDOW_MS: u32 = 250;
    /// `Recovery.bad_share`: served share below which a window is bad.
    pub const BAD_SHARE: f64 = 0.6;
    /// `Recovery.good_share`: served share from which a window is good.
    pub const GOOD_SHARE: f64 = 0.9;
    /// `Recovery.storm_repeats`: retries for each first attempt from which bad windows count as a retry storm.
    pub const STORM_RETRY_RATIO: f64 = 0.3;
}

/// Admission control of the whole fleet.
pub mod overload {
    /// `Overload.share_of_repeats`: retries admitted for each first attempt.
    pub const RETRY_SHARE: f64 = 0.2;
    /// `Overload.remembered`: rejected or failed requests remembered, and as many served objects.
    pub const REMEMBERED_REQUESTS: u32 = 65_536;
    /// `Overload.least_back_ms`: shortest Retry-After, ms.
    pub const MIN_RETRY_AFTER_MS: u32 = 50;
    /// `Overload.bad_share`: served share below which the fleet is overloaded.
    pub const BAD_SHARE: f64 = 0.85;
    /// `Overload.good_share`: served share from which the fleet has recovered.
    pub const GOOD_SHARE: f64 = 0.95;
    /// `Overload.vain_share`: wasted share from which load is shed.
    pub const WASTED_SHARE: f64 = 0.05;
    /// `Overload.repeats`: retries for each first attempt from which load is shed.
    pub const RETRY_RATIO: f64 = 0.3;
    /// `Overload.least_per_s`: completed requests a second below which no overload is detected, always admitted.
    pub const MIN_RATE: u32 = 10;
}

/// The fleet.
pub mod fleet {
    /// `Fleet.instances`: expected number of instances; 0: as many as are known.
    pub const EXPECTED_INSTANCES: u32 = 0;
    /// `Fleet.kb_per_s`: send rate limit, KB a second.
    pub const SEND_RATE_KB_PER_S: u32 = 16;
    /// `Fleet.beat_ms`: time between heartbeats, ms.
    pub const HEARTBEAT_INTERVAL_MS: u32 = 500;
    /// `Fleet.pause_ms`: pause of the process after which its view of the fleet is stale, ms.
    pub const PAUSE_THRESHOLD_MS: u32 = 1000;
    /// `Fleet.forget_ms`: time after which a lost instance is no longer expected to return, ms.
    pub const FORGET_AFTER_MS: u32 = 600_000;
    /// `Fleet.weight`: this instance's weight in shared tasks.
    pub const WEIGHT: u32 = 1;
}

/// Health checks by the fleet.
pub mod health_checks {
    /// `Probes.observers`: instances that check one member.
    pub const OBSERVERS: u32 = 2;
    /// `Probes.interval_ms`: time between checks, ms.
    pub const INTERVAL_MS: u32 = 1000;
    /// `Probes.fails`: consecutive failed checks from which a member is reported as failed.
    pub const FAILURES: u32 = 3;
    /// `Probes.most_held`: largest share of a kind's members that is ejected at the same time.
    pub const MAX_EJECTED_SHARE: f64 = 0.34;
    /// `Probes.spread_ms`: time over which instances reinstate a member, ms.
    pub const REINSTATEMENT_SPREAD_MS: u32 = 2000;
}
