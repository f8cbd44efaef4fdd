//! A fleet: probes of a member however many gateways there are, bytes beside size, time to agree under loss, CPU of a
//! request with and without it.

use super::{Options, cpu, show};
use crate::output::print_line;
use deckproxy_fleet::liveness::PeerStatus;
use deckproxy_rig::plan::Plan;
use deckproxy_rig::rig::Rig;
use deckproxy_rig::simulated_fleet::{NetworkConditions, SimulatedFleet, name};
use deckproxy_standins::free_address;
use deckproxy_standins::record::Record;
use deckproxy_standins::site::{Site, SiteConfig};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Runs all parts.
pub fn run(options: &Options) {
    processes(options);
    simulated(options);
    agreement(options);
    request(options);
}

/// Probes a second of one member, intended: two observers' with one each.
const MEANT: f64 = 2.0;

fn processes(options: &Options) {
    print_line!(
        "\nProbes a second of a cache, counted there, two observers wanted; processes on sockets, {} s each",
        options.seconds
    );
    let mut rows = Vec::new();
    for instances in [1, 4, 16] {
        let plan = Plan {
            instances,
            seconds: options.seconds as f64,
            rate: 20.0,
            clients: 4,
            seed: options.seed,
            ..Plan::default()
        };
        let draw = crate::traffic::requests(0, 1, 100, 0.0, 0.0);
        let each = |plan: &Plan| {
            let rig = Rig::start(plan, &draw);
            rig.until("all do their duties", |rig| {
                (0..plan.instances).all(|i| rig.view(i).is_some_and(|v| !v.is_stale))
            });
            // The first round after a start is slower.
            thread::sleep(Duration::from_secs(3));
            let count = |rig: &Rig| rig.caches().iter().map(|c| rig.health_checks(c)).sum::<usize>();
            let (from, before) = (rig.now(), count(&rig));
            thread::sleep(Duration::from_secs(options.seconds));
            let (span, probes) = (rig.now() - from, count(&rig) - before);
            let caches = rig.caches().len() as f64;
            drop(rig.finish());
            probes as f64 / caches / (span / 1000.0)
        };
        let shared = each(&plan);
        let alone = each(&Plan { isolated: true, ..plan.clone() });
        rows.push(vec![
            instances.to_string(),
            format!("{shared:.2}"),
            format!("{alone:.2}"),
            format!("{:.1}", alone / shared.max(1e-9)),
        ]);
    }
    show(&["gateways", "shared", "each for itself", "times"], &rows);
}

fn met(instances: usize, seed: u64, net: NetworkConditions) -> Option<SimulatedFleet> {
    let mut sim = SimulatedFleet::new(instances, 4, 64, net, seed);
    sim.until(120_000.0, SimulatedFleet::hears_all)?;
    sim.run(10_000.0);
    Some(sim)
}

fn simulated(options: &Options) {
    print_line!(
        "\nSimulated: 64 members, two observers each; what each instance sends, and probes beside those meant"
    );
    let mut rows = Vec::new();
    for instances in [1, 2, 4, 16, 64, 128] {
        let Some(mut sim) = met(instances, options.seed, NetworkConditions::default()) else {
            rows.push(vec![instances.to_string(), "did not meet".to_string()]);
            continue;
        };
        let (from, before) = (sim.now, sim.sent_bytes.iter().sum::<u64>());
        sim.run(20_000.0);
        let bytes = (sim.sent_bytes.iter().sum::<u64>() - before) as f64 / instances as f64 / 20.0;
        let probes = sim.check_ratio(from, sim.now) * MEANT;
        rows.push(vec![
            instances.to_string(),
            format!("{bytes:.0}"),
            format!("{probes:.2}"),
            format!("{:.2}", instances as f64),
        ]);
    }
    show(&["instances", "bytes/s each", "probes/s of a member", "each for itself"], &rows);
}

fn agreement(options: &Options) {
    print_line!(
        "\nSimulated: 16 instances, 20 runs; ms until all have taken a killed one for gone, hear each other after a split \
              of 6 s, and have the same board after it"
    );
    let mut rows = Vec::new();
    for loss in [0.0, 0.1, 0.3] {
        let net = NetworkConditions { lost_share: loss, duplicated_share: 0.0, max_delay: 10.0 };
        let mut took: [Vec<f64>; 3] = Default::default();
        for run in 0..20 {
            let Some(mut sim) = met(16, options.seed.wrapping_add(run), net) else { continue };
            sim.kill(5);
            let lost = |s: &SimulatedFleet| {
                s.running().into_iter().all(|i| s.fleet(i).status_of(&name(5)) == Some(PeerStatus::Lost))
            };
            took[0].extend(sim.until(60_000.0, lost));
            let all: Vec<usize> = (0..16).collect();
            sim.split(&[all[..6].to_vec(), all[6..].to_vec()]);
            sim.run(6000.0);
            sim.blocked_pairs.clear();
            let healed = sim.now;
            if sim.until(60_000.0, SimulatedFleet::hears_all).is_some() {
                took[1].push(sim.now - healed);
            }
            if sim.until(60_000.0, |s| s.hears_all() && s.has_same_stores()).is_some() {
                took[2].push(sim.now - healed);
            }
        }
        let mut row = vec![format!("{:.0}%", loss * 100.0)];
        for all in &mut took {
            all.sort_by(f64::total_cmp);
            let last = all.last().copied().unwrap_or(f64::NAN);
            row.push(format!(
                "{:.0} / {last:.0} ({})",
                all.get(all.len() / 2).copied().unwrap_or(f64::NAN),
                all.len()
            ));
        }
        rows.push(row);
    }
    show(&["lost", "killed: median / most (runs)", "heard again", "same board"], &rows);
}

fn operator(at: &[SocketAddr], own: usize) -> String {
    let seeds: Vec<String> = at.iter().take(2).map(|a| format!("\"{a}\"")).collect();
    format!(
        "fleet {{ name: \"cpu\" listen: \"{}\" seeds: [{}] prefixes: \"127.0.0.0/8\" instance: \"n{own}\" instances: {} }}",
        at[own],
        seeds.join(", "),
        at.len()
    )
}

fn request(options: &Options) {
    print_line!(
        "\nCPU of the gateway's loop per request, alone and as one of a fleet of five; 1,000 requests a second each"
    );
    let record = Record::default();
    let site = Site::start(0, SiteConfig::default(), &record);
    let at: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
    let others: Vec<_> =
        (1..5).map(|i| site.gateway(&format!("n{i}"), free_address(), Some(&operator(&at, i)))).collect();
    let gateways = [
        site.gateway("off", free_address(), None),
        site.gateway("on", free_address(), Some(&operator(&at, 0))),
    ];
    cpu::beside(["off", "on"], &gateways, options.seconds, options.seed, &record);
    print_line!(
        "resident KB, off and on: {} and {}",
        gateways[0].usage().peak_memory_kb,
        gateways[1].usage().peak_memory_kb
    );
    drop(others);
}
