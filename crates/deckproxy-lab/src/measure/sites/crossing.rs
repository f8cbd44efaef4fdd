//! The cost of a request that crosses to the other site, compared with one that stays.

use super::{LinkPath, SitePair, is_small, page};
use crate::measure::{Options, show};
use crate::output::print_line;
use crate::traffic;
use deckproxy_standins::load_client::RequestGenerator;
use rand::RngExt;
use std::sync::Arc;

/// Objects of each site among which the small ones are requested.
const OBJECTS: usize = 60;

/// Reads of small objects of a site.
fn small_objects(site: u32) -> RequestGenerator {
    Arc::new(move |rng| {
        let object = loop {
            let object = traffic::object(site, rng.random_range(0..OBJECTS));
            if is_small(object) {
                break object;
            }
        };
        page(object, site)
    })
}

/// Runs the measurement.
pub fn run(options: &Options) {
    print_line!("\nCrossing and staying, 800 requests a second, objects of under 8 KB, no delay on the link");
    let pair = SitePair::start("", LinkPath::Direct);
    // Both sites' caches are filled first.
    for site in 0..2 {
        pair.load(options, 400.0, &small_objects(site));
    }
    let mut rows = Vec::new();
    let mut served_per_cpu = Vec::new();
    for (name, site) in [("own site's", 0), ("crossing", 1)] {
        let result = pair.load(options, 800.0, &small_objects(site));
        let (verdict, cpu_ms) = (&result.verdict, result.cpu_ms);
        let latencies = [&verdict.home_latencies, &verdict.cross_site_latencies][site as usize];
        let cpu_seconds = (cpu_ms[0] + cpu_ms[1]).max(1) as f64 / 1000.0;
        let per_cpu = verdict.served as f64 / cpu_seconds;
        served_per_cpu.push(per_cpu);
        rows.push(vec![
            name.to_string(),
            verdict.served.to_string(),
            format!("{:.2}", latencies.quantile(0.5)),
            format!("{:.2}", latencies.quantile(0.99)),
            format!("{} + {}", cpu_ms[0], cpu_ms[1]),
            format!("{per_cpu:.0}"),
        ]);
    }
    show(&["requests", "served", "p50 ms", "p99 ms", "CPU ms, near + far", "served a CPU second"], &rows);
    print_line!(
        "a crossing request takes {:.2} times the CPU of one that stays",
        served_per_cpu[0] / served_per_cpu[1]
    );
}
