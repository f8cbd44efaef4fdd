//! Complete runs: the same for the same seed, without violated invariants, and with sums that add up.

use deckproxy_model::record::Record;
use deckproxy_model::scenario::{BalancerKind, Fault, FaultKind, Load, RetryPolicy, Scenario};
use deckproxy_model::simulation::Simulation;

fn run(scenario: &Scenario) -> Record {
    assert_eq!(scenario.validate(), []);
    Simulation::new(scenario).run(|_| ())
}

fn small(balancer: BalancerKind) -> Scenario {
    Scenario {
        duration_seconds: 10.0,
        balancer,
        load: Load { requests_per_second: 800.0, ..Load::default() },
        ..Scenario::default()
    }
}

#[test]
fn a_run_without_faults_serves_and_violates_no_invariant() {
    let record = run(&small(BalancerKind::Gateway));
    assert_eq!(record.violations.total(), 0, "{:?} {:#?}", record.violations, record.first_violation);
    assert!(record.goodput(2000.0, 9000.0) > 0.99, "{}", record.goodput(2000.0, 9000.0));
    let (hits, origin) = (record.sum(|p| p.hits), record.sum(|p| p.origin_fills));
    assert!(hits > 3000 && origin > 1000, "{hits} hits, {origin} from the origin");
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_seed_does_not() {
    let mut scenario = small(BalancerKind::GatewayWithRecovery);
    scenario.duration_seconds = 4.0;
    scenario.faults.push(Fault {
        start_ms: 1000.0,
        duration_ms: 800.0,
        kind: FaultKind::Crash { share: 0.5 },
    });
    let [a, b] = [run(&scenario), run(&scenario)];
    assert_eq!(
        (a.points.clone(), a.events, a.attempts_per_cache),
        (b.points, b.events, b.attempts_per_cache)
    );
    scenario.seed = 2;
    assert_ne!(run(&scenario).points, a.points);
}

/// Every kind of fault.
fn fault_kinds() -> Vec<FaultKind> {
    vec![
        FaultKind::Crash { share: 0.5 },
        FaultKind::Hang { share: 0.3 },
        FaultKind::Slow { share: 0.3, slowdown: 5.0 },
        FaultKind::Gray { share: 0.2, error_share: 0.5 },
        FaultKind::SiteLoss { site: 0 },
        FaultKind::SlowOrigin { slowdown: 5.0 },
        FaultKind::GatewayRestarts,
        FaultKind::FlashCrowd { load_factor: 3.0, hot_share: 0.2 },
        FaultKind::SilentFeed,
        FaultKind::FrozenReports,
        FaultKind::LinkFlap { share: 0.05, phase_ms: 400.0 },
    ]
}

#[test]
fn gateways_violate_no_invariant_under_any_fault_and_recover_after_it() {
    for (i, kind) in fault_kinds().into_iter().enumerate() {
        for balancer in [BalancerKind::Gateway, BalancerKind::GatewayWithRecovery] {
            let mut scenario = Scenario { seed: 7 + i as u64, duration_seconds: 12.0, ..small(balancer) };
            scenario.load.requests_per_second = 1200.0;
            // Gateways also restart while the fault lasts.
            scenario.faults.push(Fault { start_ms: 3000.0, duration_ms: 2000.0, kind: kind.clone() });
            scenario.faults.push(Fault {
                start_ms: 4000.0,
                duration_ms: 500.0,
                kind: FaultKind::GatewayRestarts,
            });
            let record = run(&scenario);
            let context =
                format!("{kind:?} {balancer:?}: {:?} {:#?}", record.violations, record.first_violation);
            assert_eq!((record.violations.total(), record.gateway_violations), (0, 0), "{context}");
            assert!(
                record.goodput(9000.0, 11_500.0) > 0.97,
                "{context} {}",
                record.goodput(9000.0, 11_500.0)
            );
        }
    }
}

#[test]
fn a_baseline_overloads_restarted_caches_and_the_checker_reports_it() {
    let mut scenario = small(BalancerKind::BoundedHash);
    scenario.load = Load { requests_per_second: 3500.0, retry: RetryPolicy::Immediate, ..Load::default() };
    scenario.faults.push(Fault {
        start_ms: 3000.0,
        duration_ms: 3000.0,
        kind: FaultKind::SiteLoss { site: 0 },
    });
    let record = run(&scenario);
    assert!(record.violations.overloaded > 0, "{:?}", record.violations);
    // The first violation is described with the events that led to it.
    let first = record.first_violation.unwrap();
    assert!(first.starts_with("at ") && first.contains(" ms: ") && first.lines().count() > 1, "{first}");
}
