//! CPU time of a gateway's loop for each request, of two gateways side by side under the same load.

use super::{Options, show};
use crate::output::print_line;
use crate::traffic;
use deckproxy_standins::load_client::{Load, LoadClients, RequestGenerator};
use deckproxy_standins::record::{Fact, Record};
use deckproxy_standins::site::{Site, SiteConfig};
use deckproxy_standins::{Gateway, free_address};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Rounds of load that count.
const ROUNDS: usize = 12;
/// Requests a second at each gateway.
const RATE: f64 = 1000.0;
/// Clients of each gateway.
const CLIENTS: usize = 40;
/// Objects that they request.
const OBJECTS: usize = 60;

/// Two gateways that are compared, and their names in the results.
pub struct Pair<'a> {
    pub names: [&'a str; 2],
    pub gateways: &'a [Gateway; 2],
    /// The record of their site, which is emptied between rounds.
    pub record: &'a Record,
}

impl Pair<'_> {
    /// Has both serve the same load at the same time, so that what else the machine does meets both, and prints what a
    /// request costs. The first round fills the caches and does not count.
    pub fn compare_cpu(&self, options: &Options) {
        let requests = traffic::requests(0, 1, OBJECTS, 0.0, 0.0);
        let mut rounds = Vec::with_capacity(ROUNDS);
        for round in 0..=ROUNDS {
            let seed = options.seed.wrapping_add(round as u64);
            let costs = self.run_round(options.seconds, seed, &requests);
            if round > 0 {
                rounds.push(costs);
            }
            self.record.take();
        }
        self.print_costs(&rounds);
        self.print_ratio(&rounds);
    }

    /// CPU time of a request at each gateway in one round of load, µs.
    fn run_round(&self, seconds: u64, seed: u64, requests: &RequestGenerator) -> [f64; 2] {
        let records = [Record::default(), Record::default()];
        let before_ns = self.gateways.each_ref().map(Gateway::cpu_ns);
        let loads = [0, 1].map(|i| {
            let load = Load::new(0, self.gateways[i].address, CLIENTS, RATE, seed, requests);
            LoadClients::start(&load, &records[i])
        });
        thread::sleep(Duration::from_secs(seconds));
        loads.into_iter().for_each(LoadClients::finish);
        [0, 1].map(|i| {
            let answered = records[i].count(|fact| matches!(fact, Fact::Answered { .. })).max(1);
            (self.gateways[i].cpu_ns() - before_ns[i]) as f64 / 1000.0 / answered as f64
        })
    }

    fn print_costs(&self, rounds: &[[f64; 2]]) {
        let row = |i: usize| {
            let costs = sorted(rounds.iter().map(|costs| costs[i]));
            let [least, median, most] = [costs[0], costs[costs.len() / 2], costs[costs.len() - 1]];
            vec![
                self.names[i].to_string(),
                format!("{least:.1}"),
                format!("{median:.1}"),
                format!("{most:.1}"),
            ]
        };
        show(&["", "µs a request, least", "median", "most"], &[row(0), row(1)]);
    }

    fn print_ratio(&self, rounds: &[[f64; 2]]) {
        let ratios = sorted(rounds.iter().map(|[first, second]| second / first));
        let [first, second] = self.names;
        print_line!(
            "{second} relative to {first}, round by round: {:.3} in the median of {ROUNDS}, {:.3} to {:.3}",
            ratios[ROUNDS / 2],
            ratios[0],
            ratios[ROUNDS - 1]
        );
    }

    /// Prints the most memory that each used.
    pub fn print_memory(&self) {
        let [first, second] = self.names;
        let [first_kb, second_kb] = self.gateways.each_ref().map(|gateway| gateway.usage().peak_memory_kb);
        print_line!("resident KB, {first} and {second}: {first_kb} and {second_kb}");
    }

    /// Prints the descriptors that each has open.
    fn print_descriptors(&self) {
        let [first, second] = self.names;
        let [of_first, of_second] = self.gateways.each_ref().map(|gateway| gateway.usage().descriptors);
        print_line!("descriptors, {first} and {second}: {of_first} and {of_second}");
    }
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

/// This build of the gateway and another one.
pub fn run(options: &Options, other: &Path) {
    print_line!(
        "CPU of the gateway's loop per request, {} and this build; {RATE} requests a second each",
        other.display()
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let gateways = [
        site.gateway_with_program(Some(other), "other", free_address(), None),
        site.gateway("this", free_address(), None),
    ];
    let pair = Pair { names: ["other", "this"], gateways: &gateways, record: &record };
    pair.compare_cpu(options);
    pair.print_memory();
    pair.print_descriptors();
}
