//! Names, addresses and settings of simulated instances.

use deckproxy_fleet::fleet::Settings;
use deckproxy_fleet::health::Thresholds;
use deckproxy_fleet::instance::{Instance, Name};
use deckproxy_fleet::swim::SwimTiming;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Port of all instances.
const PORT: u16 = 7100;
/// Instances in each network of 256 addresses.
const INSTANCES_PER_NETWORK: usize = 250;
/// The network that all instances are in.
const NETWORK: &str = "10.0.0.0/8";

/// An instance's address.
pub fn address(instance: usize) -> SocketAddr {
    // A fleet has 2048 instances at most, in 9 networks; the hosts of one are numbered from 1 to 250.
    let network = u8::try_from(instance / INSTANCES_PER_NETWORK).unwrap_or(u8::MAX);
    let host = u8::try_from(instance % INSTANCES_PER_NETWORK + 1).unwrap_or(u8::MAX);
    (Ipv4Addr::new(10, 0, network, host), PORT).into()
}

/// The instance at an address; none for addresses of another family.
pub(super) fn instance_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let [_, _, network, host] = v4.ip().octets();
    Some(usize::from(network) * INSTANCES_PER_NETWORK + usize::from(host) - 1)
}

/// An instance's name.
pub fn name(instance: usize) -> Name {
    Name::from(format!("i{instance:03}"))
}

/// The settings of an instance, in one of so many zones.
///
/// # Panics
///
/// Never: the network is a constant.
pub fn settings(instance: usize, zones: usize, incarnation: u64) -> Settings {
    let own = Instance {
        name: name(instance),
        zone: Name::from(format!("z{}", instance % zones)),
        address: address(instance),
        incarnation,
        renewals: 0,
        weight: 1,
    };
    Settings {
        fleet: "test".to_string(),
        own,
        prefixes: vec![NETWORK.parse().expect("a network")],
        seeds: vec![address(0), address(1)],
        addresses: BTreeMap::new(),
        expected_instances: 0,
        bytes_per_second: 16_384.0,
        heartbeat_interval: 500.0,
        digest_interval: 250.0,
        pause_threshold: 1000.0,
        forget_after: 600_000.0,
        swim: SwimTiming::default(),
        observers: 2,
        health_check_interval: 1000.0,
        max_ejected_share: 0.34,
        reinstatement_spread: 2000.0,
        thresholds: Thresholds::default(),
        overload: None,
    }
}
