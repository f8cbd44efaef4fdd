//! Shrinking a plan: faults that are not needed go, and where all are needed none goes.

use deckproxy_rig::draw;
use deckproxy_rig::plan::{Plan, What};
use deckproxy_rig::shrink::shrink;

#[test]
fn what_is_not_needed_goes() {
    let mut plan = Plan { seconds: 120.0, ..Plan::default() };
    plan.faults = draw::partings(3, plan.seconds, plan.instances);
    assert!(plan.faults.len() > 12);
    // It takes a kill with a split after it.
    let breaks = |p: &Plan| {
        let kill = p.faults.iter().position(|f| matches!(f.what, What::Kill(_)));
        let split = p.faults.iter().rposition(|f| matches!(f.what, What::Split(_)));
        matches!((kill, split), (Some(kill), Some(split)) if kill < split)
    };
    let (small, played) = shrink(&plan, 200, breaks);
    assert!(breaks(&small));
    assert_eq!(small.faults.len(), 2, "{}", small.text());
    assert!(played < 100);
    let (whole, _) = shrink(&plan, 200, |p| p.faults.len() == plan.faults.len());
    assert_eq!(whole, plan, "where all are needed none goes");
}
