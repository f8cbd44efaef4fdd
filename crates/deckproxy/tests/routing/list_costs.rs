//! What lists cost by the number of members, at two sizes side by side.

use crate::{NOW, entry, numbered, router};
use deckproxy::protocol::feed::{FeedEvent, Lifecycle, MemberEntry};
use deckproxy::routing::Router;
use deckproxy_standins::thread_cpu_ns;

/// Members of the usual size, and sixteen times as many.
const SIZES: [usize; 2] = [200, 3200];
const ROUNDS: u64 = 12;
/// An entry may cost so many times as much in the larger pool: trees are deeper, and caches of the processor are missed.
const COST_MULTIPLE: f64 = 2.0;

fn entries(count: usize) -> Vec<MemberEntry> {
    let listed = |id| MemberEntry { id: format!("s-{id:08x}").into(), ..entry(0, Lifecycle::Ready, None) };
    (0..count).map(listed).collect()
}

/// A router with a pool, and the CPU time that its lists took.
struct Costs {
    router: Router,
    last_event: u64,
    cpu_ns: i64,
}

impl Costs {
    fn new(size: usize) -> Self {
        let mut costs = Costs { router: router(), last_event: 1, cpu_ns: 0 };
        costs.publish(true, entries(size));
        costs.cpu_ns = 0;
        costs
    }

    fn publish(&mut self, complete: bool, entries: Vec<MemberEntry>) {
        self.last_event += 1;
        let event = numbered(self.last_event, FeedEvent::Members { complete, entries, unreadable: 0 });
        let start = thread_cpu_ns();
        assert!(self.router.feed_event(NOW, event, false));
        while self.router.next_effect().is_some() {}
        self.cpu_ns += thread_cpu_ns() - start;
    }
}

/// Guards against a cost of the square of a pool's size for each complete list.
#[test]
fn complete_list_costs_in_proportion_to_its_entries() {
    let mut costs = SIZES.map(Costs::new);
    for _ in 0..ROUNDS {
        for (costs, size) in costs.iter_mut().zip(SIZES) {
            costs.publish(true, entries(size));
        }
    }
    let [usual, large] = [0, 1].map(|i| costs[i].cpu_ns as f64 / (ROUNDS as usize * SIZES[i]) as f64);
    println!("ns for an entry of a complete list: {usual:.0} and {large:.0}");
    assert!(large <= COST_MULTIPLE * usual, "{usual:.0} and {large:.0} ns an entry");
}

/// Guards against a cost of a pool's size for each changed entry.
#[test]
fn changed_entry_costs_the_same_in_a_large_pool() {
    let mut costs = SIZES.map(Costs::new);
    for round in 0..ROUNDS * 50 {
        let id = usize::try_from(round).expect("a short run") % SIZES[0];
        let lifecycle = if round % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Ready };
        let changed = MemberEntry { lifecycle, ..entries(id + 1).remove(id) };
        for costs in &mut costs {
            costs.publish(false, vec![changed.clone()]);
        }
    }
    let [usual, large] = [0, 1].map(|i| costs[i].cpu_ns as f64 / (ROUNDS * 50) as f64);
    println!("ns for a changed entry: {usual:.0} and {large:.0}");
    assert!(large <= COST_MULTIPLE * usual, "{usual:.0} and {large:.0} ns");
}

/// Guards against a cost of all members, and of members and ejected members together, for each change of the ejected ones.
#[test]
fn ejection_costs_the_same_in_a_large_pool() {
    let mut costs = SIZES.map(Costs::new);
    let ids: Vec<u32> = costs[0].router.listed_members().map(|(member, _)| member.id).collect();
    for round in 0..ids.len() {
        for costs in &mut costs {
            let start = thread_cpu_ns();
            costs.router.set_ejected(NOW, &ids[round / 2..round]);
            costs.cpu_ns += thread_cpu_ns() - start;
        }
    }
    let [usual, large] = [0, 1].map(|i| costs[i].cpu_ns as f64 / ids.len() as f64);
    println!("ns for a change of the ejected members: {usual:.0} and {large:.0}");
    assert!(large <= COST_MULTIPLE * usual, "{usual:.0} and {large:.0} ns");
}
