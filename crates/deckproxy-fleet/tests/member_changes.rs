//! Changes of single members: the same observers as by complete lists, at a cost that does not depend on the other members.

use deckproxy_fleet::fleet::ListedMember;
use deckproxy_rig::simulated_fleet::{NetworkConditions, SimulatedFleet};
use deckproxy_standins::thread_cpu_ns;
use proptest::prelude::*;
use std::collections::BTreeMap;

const INSTANCES: usize = 4;
const MEMBERS: usize = 24;
/// Members of the usual size, and sixteen times as many.
const SIZES: [usize; 2] = [200, 3200];
const CALLS: usize = 20_000;
/// A call may cost so many times as much with the larger number of members.
const COST_MULTIPLE: f64 = 2.0;

/// A change of one member.
#[derive(Clone, Copy, Debug)]
enum Change {
    Ready(bool),
    Zone(usize),
    Removed,
    Listed,
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        any::<bool>().prop_map(Change::Ready),
        (0usize..2).prop_map(Change::Zone),
        Just(Change::Removed),
        Just(Change::Listed),
    ]
}

fn fleet(members: usize, instances: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(instances, 2, members, NetworkConditions::default(), 3);
    fleet.run(9000.0);
    fleet
}

/// Applies a change to a list.
fn apply(list: &mut BTreeMap<u32, ListedMember>, initial: &ListedMember, change: Change) {
    let id = initial.id;
    match (change, list.get_mut(&id)) {
        (Change::Ready(ready), Some(member)) => member.ready = ready,
        (Change::Zone(zone), Some(member)) => member.zone = format!("z{zone}").as_str().into(),
        (Change::Removed, Some(_)) => drop(list.remove(&id)),
        (Change::Listed, None) => drop(list.insert(id, initial.clone())),
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against other observers and health checks after single changes than after complete lists.
    #[test]
    fn changed_members_are_observed_as_after_complete_lists(
        changes in proptest::collection::vec((0..MEMBERS, any_change(), 0.0..900.0), 1..30),
        killed_at in 0usize..30,
    ) {
        let [mut complete, mut single] = [(); 2].map(|()| fleet(MEMBERS, INSTANCES));
        let initial = complete.members.clone();
        let mut list: BTreeMap<u32, ListedMember> = initial.iter().map(|m| (m.id, m.clone())).collect();
        for (step, (index, change, elapsed)) in changes.into_iter().enumerate() {
            apply(&mut list, &initial[index], change);
            let id = initial[index].id;
            for instance in complete.running() {
                complete.fleet_mut(instance).unwrap().set_members(list.values().cloned());
            }
            for instance in single.running() {
                let fleet = single.fleet_mut(instance).unwrap();
                match list.get(&id) {
                    Some(member) => fleet.set_member(member.clone()),
                    None => drop(fleet.remove_member(id)),
                }
            }
            if step == killed_at {
                complete.kill(2);
                single.kill(2);
            }
            complete.run(elapsed);
            single.run(elapsed);
            for instance in complete.running() {
                let (complete, single) = (complete.fleet(instance), single.fleet(instance));
                for member in &initial {
                    prop_assert_eq!(complete.observes(member.id), single.observes(member.id));
                }
                prop_assert_eq!(complete.ejected(), single.ejected());
                prop_assert_eq!(complete.counters, single.counters);
                prop_assert_eq!(complete.next_due(), single.next_due());
            }
        }
        prop_assert_eq!(format!("{:?}", complete.logs), format!("{:?}", single.logs));
    }
}

/// Guards against a look at all observed members in each turn of the event loop, and for each attempt.
#[test]
fn turn_and_attempt_cost_the_same_with_many_members() {
    let fleets = SIZES.map(|members| fleet(members, 1));
    for (fleet, members) in fleets.iter().zip(SIZES) {
        assert_eq!(fleet.fleet(0).observed_count(), members);
    }
    let mut cpu_ns = [0; 2];
    for _ in 0..CALLS {
        for (fleet, cpu_ns) in fleets.iter().zip(&mut cpu_ns) {
            let start = thread_cpu_ns();
            assert!(fleet.fleet(0).next_due() > 0.0 && !fleet.fleet(0).has_trials());
            *cpu_ns += thread_cpu_ns() - start;
        }
    }
    let [usual, large] = cpu_ns.map(|cpu_ns| cpu_ns as f64 / CALLS as f64);
    println!("ns a call: {usual:.0} and {large:.0}");
    assert!(large <= COST_MULTIPLE * usual, "{usual:.0} and {large:.0} ns");
}
