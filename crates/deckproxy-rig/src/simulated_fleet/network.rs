//! How datagrams fare in the simulated network.

use deckproxy_fleet::Millis;

/// How datagrams fare.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Share that is lost, 0 to 1.
    pub lost_share: f64,
    /// Share that comes twice, 0 to 1.
    pub duplicated_share: f64,
    /// The most that a datagram takes, ms: more than the gap between two sends puts them out of order.
    pub max_delay: Millis,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions { lost_share: 0.0, duplicated_share: 0.0, max_delay: 2.0 }
    }
}
