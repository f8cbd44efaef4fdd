use super::*;
use crate::overload::priority::BUCKETS;
use crate::overload::shed_level::ResourceShedLevel;

/// The rates at a given arrival rate of first attempts, capacity, admitted rate and arrival rate of retries.
fn rates(arriving: f64, capacity: f64, admitted_rate: Option<f64>, retries: f64) -> Rates {
    let admitted = admitted_rate.unwrap_or(arriving).min(arriving);
    Rates {
        arrivals: [arriving / BUCKETS as f64; BUCKETS],
        retries,
        admitted_firsts: admitted,
        admitted,
        served: admitted.min(capacity),
        rejected: (admitted - capacity).max(0.0),
        ..Rates::default()
    }
}

fn admitted_rate(level: &ShedLevel) -> Option<f64> {
    level.resources[1].map(|resource_level| f64::from(resource_level.admitted_rate))
}

#[test]
fn overload_is_shed_to_the_capacity_and_shedding_ends_when_capacity_returns() {
    let mut controller = ShedController::new(Limits::default());
    let mut level = ShedLevel::default();
    let mut now = 0.0;
    let mut run_evaluations = |count: usize, arriving: f64, capacity: f64| {
        for _ in 0..count {
            now += EVALUATION_INTERVAL;
            let rates = rates(arriving, capacity, admitted_rate(&level), 0.5 * arriving);
            level = controller.evaluate(now, &[Rates::default(), rates]);
        }
        level
    };
    assert_eq!(admitted_rate(&run_evaluations(20, 300.0, 400.0)), None);
    let admitted = admitted_rate(&run_evaluations(60, 900.0, 300.0)).expect("load is shed");
    assert!((250.0..370.0).contains(&admitted), "{admitted}");
    assert_eq!(run_evaluations(1, 900.0, 300.0).resources[0], None, "the caches are not overloaded");
    // The capacity returns: all requests are admitted again within some seconds.
    assert_eq!(admitted_rate(&run_evaluations(80, 900.0, 1200.0)), None);
    assert_eq!(controller.activations, 1);
}

#[test]
fn shedding_ends_at_a_resource_that_is_always_slow() {
    let mut controller = ShedController::new(Limits::default());
    let mut level = ShedLevel::default();
    let mut shedding_evaluations = 0;
    for i in 0..100 {
        let mut rates = rates(300.0, 1e9, admitted_rate(&level), 0.0);
        rates.slow = rates.served;
        level = controller.evaluate(f64::from(i) * EVALUATION_INTERVAL, &[Rates::default(), rates]);
        shedding_evaluations += u32::from(level.resources[1].is_some());
    }
    assert!((1..30).contains(&shedding_evaluations), "{shedding_evaluations} of 100 evaluations");
}

#[test]
fn rejections_by_the_decision_module_alone_do_not_start_shedding() {
    let mut controller = ShedController::new(Limits::default());
    for i in 0..20 {
        let rates = [Rates::default(), rates(900.0, 300.0, None, 0.0)];
        let level = controller.evaluate(f64::from(i) * EVALUATION_INTERVAL, &rates);
        assert_eq!(level.resources, [None; RESOURCES]);
    }
}

#[test]
fn parts_of_a_split_together_admit_what_the_undivided_fleet_did() {
    let resource_level = ResourceShedLevel {
        min_priority: 9,
        admitted_rate: 300.0,
        offered_rate: 900.0,
        reserved_share: 0,
        retry_rate: 0.0,
    };
    let undivided = ShedLevel { epoch: 9, epoch_age: 100, resources: [None, Some(resource_level)] };
    let mut sum = 0.0;
    for part in [0.3, 0.7] {
        let mut controller = ShedController::new(Limits::default());
        controller.take_over(1000.0, &undivided, 50.0, [1.0, part]);
        let rates = rates(900.0 * part, 300.0 * part, Some(300.0 * part), 0.0);
        let level = controller.evaluate(1001.0, &[Rates::default(), rates]);
        assert_eq!(level.epoch, 9);
        sum += admitted_rate(&level).unwrap();
    }
    assert!((290.0..320.0).contains(&sum), "{sum}");
}

#[test]
fn reservations_fit_the_retry_budget() {
    let mut controller = ShedController::new(Limits::default());
    let mut level = ShedLevel::default();
    let mut evaluations_with_reservations = 0;
    for i in 0..40 {
        let rates = rates(900.0, 300.0, admitted_rate(&level), 400.0);
        level = controller.evaluate(f64::from(i) * EVALUATION_INTERVAL, &[Rates::default(), rates]);
        let Some(resource_level) =
            level.resources[1].filter(|resource_level| resource_level.reserved_share > 0)
        else {
            continue;
        };
        let admitted = f64::from(resource_level.admitted_rate);
        let reserved = (900.0 - admitted) * f64::from(resource_level.reserved_share) / 65_535.0;
        assert!(
            reserved <= f64::from(resource_level.retry_rate) * 1.3 + 1.0,
            "{reserved} {resource_level:?}"
        );
        assert!(f64::from(resource_level.retry_rate) <= 0.25 * admitted, "{resource_level:?}");
        evaluations_with_reservations += 1;
    }
    assert!(
        evaluations_with_reservations > 5,
        "{evaluations_with_reservations} evaluations reserved capacity"
    );
}
