//! CPU of a gateway's loop for each request, of two gateways side by side under the same load.

use super::{Options, show};
use crate::output::print_line;
use crate::traffic;
use deckproxy_standins::Gateway;
use deckproxy_standins::free_address;
use deckproxy_standins::load_client::{Load, LoadClients};
use deckproxy_standins::record::{Fact, Record};
use deckproxy_standins::site::{Site, SiteConfig};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Rounds of load that count.
const ROUNDS: usize = 12;
/// Requests a second at each gateway.
const RATE: f64 = 1000.0;

/// Has both serve the same load at the same time, so that what else the machine does meets both, and shows what a request
/// costs. The first round fills the caches and counts for nothing. `record` is the site's, emptied between rounds.
pub fn beside(names: [&str; 2], gateways: &[Gateway; 2], seconds: u64, seed: u64, record: &Record) {
    let draw = traffic::requests(0, 1, 60, 0.0, 0.0);
    let mut took: [Vec<f64>; 2] = Default::default();
    for round in 0..=ROUNDS {
        let seed = seed.wrapping_add(round as u64);
        let records = [Record::default(), Record::default()];
        let before = gateways.each_ref().map(deckproxy_standins::Gateway::cpu_ns);
        let loads = [0, 1].map(|i| {
            LoadClients::start(&Load::new(0, gateways[i].address, 40, RATE, seed, &draw), &records[i])
        });
        thread::sleep(Duration::from_secs(seconds));
        loads.into_iter().for_each(LoadClients::finish);
        for (i, gateway) in gateways.iter().enumerate() {
            let answered = records[i].count(|f| matches!(f, Fact::Answered { .. })).max(1);
            if round > 0 {
                took[i].push((gateway.cpu_ns() - before[i]) as f64 / 1000.0 / answered as f64);
            }
        }
        record.take();
    }
    let mut ratios: Vec<f64> = took[0].iter().zip(&took[1]).map(|(first, second)| second / first).collect();
    let mut rows = Vec::new();
    for (name, all) in names.iter().zip(&mut took) {
        all.sort_by(f64::total_cmp);
        rows.push(vec![
            (*name).to_string(),
            format!("{:.1}", all[0]),
            format!("{:.1}", all[all.len() / 2]),
            format!("{:.1}", all[all.len() - 1]),
        ]);
    }
    show(&["", "µs a request, least", "median", "most"], &rows);
    ratios.sort_by(f64::total_cmp);
    let (first, second) = (names[0], names[1]);
    print_line!(
        "{second} beside {first}, round by round: {:.3} in the median of {ROUNDS}, {:.3} to {:.3}",
        ratios[ROUNDS / 2],
        ratios[0],
        ratios[ROUNDS - 1]
    );
}

/// This build beside another one of the gateway.
pub fn run(options: &Options, other: &Path) {
    print_line!(
        "CPU of the gateway's loop per request, {} beside this build; {RATE} requests a second each",
        other.display()
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let gateways = [
        site.gateway_with_program(Some(other), "other", free_address(), None),
        site.gateway("this", free_address(), None),
    ];
    beside(["other", "this"], &gateways, options.seconds, options.seed, &record);
    print_line!(
        "resident KB, other and this: {} and {}",
        gateways[0].usage().peak_memory_kb,
        gateways[1].usage().peak_memory_kb
    );
    print_line!(
        "descriptors, other and this: {} and {}",
        gateways[0].usage().descriptors,
        gateways[1].usage().descriptors
    );
}
