//! How the members of a site behave: their number, delays, capacities and faults.

/// The kind of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// A cache, which clients' requests reach first.
    Cache,
    /// A parent cache, from which caches fill.
    Parent,
    /// The origin, which has every object.
    Origin,
}

impl NodeKind {
    /// The machine type that the control feed names for this kind.
    pub(super) fn machine_type(self) -> &'static str {
        match self {
            NodeKind::Cache => "box",
            NodeKind::Parent => "parent",
            NodeKind::Origin => "origin",
        }
    }
}

/// How a site behaves.
#[derive(Clone, Copy, Debug)]
pub struct SiteConfig {
    /// Caches of each zone.
    pub caches: usize,
    /// Parents of the site.
    pub parents: usize,
    /// Time for a hit, ms.
    pub hit_ms: u64,
    /// Additional time for a fill from a parent, ms.
    pub parent_fill_ms: u64,
    /// Additional time for a fill from the origin, ms.
    pub origin_fill_ms: u64,
    /// Objects that a cache keeps at most.
    pub cache_capacity: usize,
    /// Time until a purged copy is no longer served, ms.
    pub purge_delay_ms: u64,
    /// Requests that the origin processes concurrently, 0 for no limit. Others queue, also those that were cancelled.
    pub origin_concurrency: usize,
    /// Zones of caches.
    pub zones: usize,
    /// All members listen at one port, each at an IP address of its own. One listener then serves thousands of them, but
    /// a member that has ended closes connections and doesn't refuse them.
    pub shared_listener: bool,
}

impl Default for SiteConfig {
    fn default() -> Self {
        SiteConfig {
            caches: 3,
            parents: 1,
            hit_ms: 1,
            parent_fill_ms: 6,
            origin_fill_ms: 18,
            cache_capacity: 4096,
            purge_delay_ms: 4000,
            origin_concurrency: 0,
            zones: 1,
            shared_listener: false,
        }
    }
}

/// A fault of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NodeFault {
    /// It works.
    #[default]
    None,
    /// It accepts everything and answers nothing.
    Hangs,
    /// It fails this share (0 to 1) of its requests and health checks.
    Fails(f64),
    /// It answers later by this time, ms.
    Slow(u64),
}

/// The name of the zone of caches with this index, in a site of so many zones.
pub fn zone_name(zones: usize, index: usize) -> String {
    if zones == 1 { "edge".to_string() } else { format!("edge-{}", index + 1) }
}

/// The size of an object in bytes: most are small, a few are large.
pub fn object_size(object: u64) -> usize {
    match object % 61 {
        0 => 180_000,
        1..5 => 60_000,
        // At most 60.
        n => 600 + 90 * n as usize,
    }
}
