//! Health checks of a member by fleets of several sizes, and the gossip that divides them.

use super::joined_fleet;
use crate::measure::{Options, show};
use crate::output::print_line;
use crate::traffic;
use deckproxy_rig::plan::Plan;
use deckproxy_rig::rig::Rig;
use deckproxy_rig::simulated_fleet::NetworkConditions;
use deckproxy_standins::load_client::RequestGenerator;
use std::thread;
use std::time::Duration;

/// Health checks of one member in a second that are intended: those of two observers, one each.
const INTENDED_PER_SECOND: f64 = 2.0;
/// Sizes of the fleets of processes.
const PROCESSES: [usize; 3] = [1, 4, 16];
/// Time after a start that does not count: its first round of health checks is slower.
const WARM_UP: Duration = Duration::from_secs(3);
/// Sizes of the simulated fleets.
const SIMULATED: [usize; 6] = [1, 2, 4, 16, 64, 128];
/// Simulated time, s.
const SIMULATED_SECONDS: f64 = 20.0;

/// Fleets of processes on sockets; the health checks are counted at the caches.
pub fn measure_processes(options: &Options) {
    print_line!(
        "\nHealth checks a second of a cache, counted there, two observers intended; processes on sockets, {} s each",
        options.seconds
    );
    let requests = traffic::requests(0, 1, 100, 0.0, 0.0);
    let row = |instances: usize| {
        let plan = Plan {
            instances,
            seconds: options.seconds as f64,
            rate: 20.0,
            clients: 4,
            seed: options.seed,
            ..Plan::default()
        };
        let shared = checks_per_second(&plan, &requests);
        let isolated = checks_per_second(&Plan { isolated: true, ..plan }, &requests);
        vec![
            instances.to_string(),
            format!("{shared:.2}"),
            format!("{isolated:.2}"),
            format!("{:.1}", isolated / shared.max(1e-9)),
        ]
    };
    show(&["gateways", "shared", "each for itself", "times"], &PROCESSES.map(row));
}

/// Health checks of a cache in a second.
fn checks_per_second(plan: &Plan, requests: &RequestGenerator) -> f64 {
    let rig = Rig::start(plan, requests);
    rig.until("all instances have a current view", |rig| {
        (0..plan.instances).all(|i| rig.view(i).is_some_and(|view| !view.is_stale))
    });
    thread::sleep(WARM_UP);
    let count = || rig.caches().iter().map(|cache| rig.health_checks(cache)).sum::<usize>();
    let (start_ms, before) = (rig.now(), count());
    thread::sleep(Duration::from_secs(plan.seconds as u64));
    let (duration_ms, checks) = (rig.now() - start_ms, count() - before);
    let caches = rig.caches().len() as f64;
    drop(rig.finish());
    checks as f64 / caches / (duration_ms / 1000.0)
}

/// Simulated fleets of more instances than a machine has room for.
pub fn simulate(options: &Options) {
    print_line!(
        "\nSimulated: 64 members, two observers each; what each instance sends, and health checks of a member"
    );
    let row = |instances: usize| {
        let Some(mut fleet) = joined_fleet(instances, options.seed, NetworkConditions::default()) else {
            return vec![instances.to_string(), "did not join".to_string()];
        };
        let (start, bytes_before) = (fleet.now, fleet.sent_bytes.iter().sum::<u64>());
        fleet.run(SIMULATED_SECONDS * 1000.0);
        let bytes = fleet.sent_bytes.iter().sum::<u64>() - bytes_before;
        let bytes_per_second = bytes as f64 / instances as f64 / SIMULATED_SECONDS;
        let checks_per_second = fleet.check_ratio(start, fleet.now) * INTENDED_PER_SECOND;
        vec![
            instances.to_string(),
            format!("{bytes_per_second:.0}"),
            format!("{checks_per_second:.2}"),
            format!("{:.2}", instances as f64),
        ]
    };
    show(&["instances", "bytes/s each", "checks/s of a member", "each for itself"], &SIMULATED.map(row));
}
