//! A fleet: health checks of a member however many gateways there are, gossip by size, convergence under loss, CPU of a
//! request with and without it.

mod convergence;
mod health_checks;

use super::{Options, cpu};
use crate::output::print_line;
use deckproxy_rig::simulated_fleet::{NetworkConditions, SimulatedFleet};
use deckproxy_standins::free_address;
use deckproxy_standins::record::Record;
use deckproxy_standins::site::{Site, SiteConfig};
use std::net::SocketAddr;

/// Zones of a simulated fleet.
const SIMULATED_ZONES: usize = 4;
/// Members that a simulated fleet checks.
const SIMULATED_MEMBERS: usize = 64;
/// The longest time until all instances of a simulated fleet hear each other after its start, ms.
const JOIN_TIMEOUT_MS: f64 = 120_000.0;
/// Time for the duties to be divided after that, ms.
const SETTLE_MS: f64 = 10_000.0;
/// Instances of the fleet whose CPU time is measured.
const CPU_INSTANCES: usize = 5;

/// Runs all parts.
pub fn run(options: &Options) {
    health_checks::measure_processes(options);
    health_checks::simulate(options);
    convergence::simulate(options);
    cpu_per_request(options);
}

/// A simulated fleet whose instances all hear each other; none where they do not in time.
fn joined_fleet(instances: usize, seed: u64, network: NetworkConditions) -> Option<SimulatedFleet> {
    let mut fleet = SimulatedFleet::new(instances, SIMULATED_ZONES, SIMULATED_MEMBERS, network, seed);
    fleet.until(JOIN_TIMEOUT_MS, SimulatedFleet::hears_all)?;
    fleet.run(SETTLE_MS);
    Some(fleet)
}

fn cpu_per_request(options: &Options) {
    print_line!(
        "\nCPU of the gateway's loop per request, alone and as one of a fleet of five; 1,000 requests a second each"
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let addresses: Vec<SocketAddr> = (0..CPU_INSTANCES).map(|_| free_address()).collect();
    let start = |name: &str, i| site.gateway(name, free_address(), Some(&operator_file(&addresses, i)));
    let others: Vec<_> = (1..CPU_INSTANCES).map(|i| start(&format!("n{i}"), i)).collect();
    let gateways = [site.gateway("off", free_address(), None), start("on", 0)];
    let pair = cpu::Pair { names: ["off", "on"], gateways: &gateways, record: &record };
    pair.compare_cpu(options);
    pair.print_memory();
    drop(others);
}

/// The operator file of an instance.
fn operator_file(addresses: &[SocketAddr], instance: usize) -> String {
    let seeds: Vec<String> = addresses.iter().take(2).map(|address| format!("\"{address}\"")).collect();
    format!(
        "fleet {{ name: \"cpu\" listen: \"{}\" seeds: [{}] prefixes: \"127.0.0.0/8\" instance: \"n{instance}\" instances: {} }}",
        addresses[instance],
        seeds.join(", "),
        addresses.len()
    )
}
