//! Shrinking a plan: unneeded faults are dropped, and where all are needed none is.

use deckproxy_rig::plan::generator::membership_faults;
use deckproxy_rig::plan::shrink::{Shrunk, shrink};
use deckproxy_rig::plan::{FaultKind, Plan};

#[test]
fn shrinking_drops_unneeded_faults() {
    let mut plan = Plan { seconds: 120.0, ..Plan::default() };
    plan.faults = membership_faults(3, plan.seconds, plan.instances);
    assert!(plan.faults.len() > 12);
    // It takes a kill with a split after it.
    let fails = |plan: &Plan| {
        let kill = plan.faults.iter().position(|f| matches!(f.kind, FaultKind::Kill(_)));
        let split = plan.faults.iter().rposition(|f| matches!(f.kind, FaultKind::Split(_)));
        matches!((kill, split), (Some(kill), Some(split)) if kill < split)
    };
    let Shrunk { plan: small, runs } = shrink(&plan, 200, fails);
    assert!(fails(&small));
    assert_eq!(small.faults.len(), 2, "{}", small.text());
    assert!(runs < 100);
    let Shrunk { plan: complete, .. } =
        shrink(&plan, 200, |candidate| candidate.faults.len() == plan.faults.len());
    assert_eq!(complete, plan, "where all are needed none goes");
}
