//! A fleet of gateway processes with faults between them. The judged figures are counted at members, relays and
//! clients; which peers an instance considers dead and the state of its gossip store are read from its log.

mod cache_ejection;
mod datagrams;
mod membership;
mod partitions;
mod reload;

use deckproxy_rig::judge::{FleetFigures, judge};
use deckproxy_rig::plan::Plan;
use deckproxy_rig::rig::Rig;
use deckproxy_rig::run::RunRecord;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use rand::RngExt;
use std::sync::Arc;

fn request_generator() -> RequestGenerator {
    Arc::new(|rng| {
        let object = rng.random_range(0..200u64) * 0x0101_0101_0101;
        let class = if rng.random_bool(0.05) { "post" } else { "page" };
        RequestSpec { class, object, group: 3, home_site: 0, timeout_ms: 1400 }
    })
}

fn plan(instances: usize, seed: u64) -> Plan {
    Plan {
        instances,
        zones: 2,
        caches: 2,
        rate: 60.0,
        clients: 12,
        seed,
        health_check_interval_ms: 500,
        ..Plan::default()
    }
}

fn start(instances: usize, seed: u64) -> Rig {
    Rig::start(&plan(instances, seed), &request_generator())
}

/// Waits until each cache has received `times` further health checks.
fn wait_for_health_checks(rig: &Rig, times: usize) {
    let before: Vec<usize> = rig.caches().iter().map(|c| rig.health_checks(c)).collect();
    rig.until("each cache receives further health checks", |rig| {
        rig.caches().iter().zip(&before).all(|(c, before)| rig.health_checks(c) >= before + times)
    });
}

fn count_live_peers(rig: &Rig, i: usize) -> usize {
    rig.view(i).map_or(0, |view| view.heard.len())
}

/// Ends all processes; expects that no rule was violated and no member received twice the intended health checks.
fn finish_and_check(rig: Rig) -> (RunRecord, FleetFigures) {
    let run = rig.finish();
    let figures = judge(&run);
    assert!(figures.verdict.holds(), "{:#?}", figures.verdict.violations);
    assert!(figures.verdict.served > 0, "clients were served");
    assert_eq!(run.process_faults, Vec::<String>::new());
    assert!(figures.check_ratio_max < 2.0, "{} times the intended health checks", figures.check_ratio_max);
    (run, figures)
}
