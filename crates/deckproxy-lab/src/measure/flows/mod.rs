//! Flow export: what metering costs a request, what the meter and the sketch cost compared with a plain map, how fast flows
//! are exported.

mod export;
mod metering;

use super::{Options, cpu};
use crate::output::print_line;
use deckproxy_standins::collector::Collector;
use deckproxy_standins::free_address;
use deckproxy_standins::record::Record;
use deckproxy_standins::site::{Site, SiteConfig};
use std::net::{IpAddr, Ipv4Addr};

/// Runs all parts.
pub fn run(options: &Options) {
    cpu_per_request(options);
    metering::run(options);
    export::run();
}

fn cpu_per_request(options: &Options) {
    print_line!(
        "\nCPU of the gateway's loop per request, metered and exported or not, side by side; 1,000 requests a second each"
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let collector = Collector::tcp();
    let operator_file = format!(
        "flows {{ collectors {{ address: \"{}\" transport: TCP }} meter {{ active_ms: 1000 idle_ms: 500 }} }}",
        collector.address
    );
    let gateways =
        [site.gateway("off", free_address(), None), site.gateway("on", free_address(), Some(&operator_file))];
    let pair = cpu::Pair { names: ["off", "on"], gateways: &gateways, record: &record };
    pair.compare_cpu(options);
    pair.print_memory();
}

/// The address of the n-th client: spread out as clients of many networks are.
fn client_address(n: usize) -> IpAddr {
    // A multiplication modulo 2^32, for which the lower bits are enough.
    Ipv4Addr::from((n as u32).wrapping_mul(0x9e37_79b1)).into()
}
