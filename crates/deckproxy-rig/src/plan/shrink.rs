//! From a plan that breaks a promise to a smaller one that still does.

use super::Plan;

/// A plan that still fails, and the work it took to find it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shrunk {
    /// The smallest plan found; each of its faults is needed, unless the runs were used up.
    pub plan: Plan,
    /// Runs that it took.
    pub runs: usize,
}

/// Leaves faults out of a failing plan as long as it still fails, in at most `most_runs` runs: first half of them at a
/// time, then ever fewer.
///
/// `fails` runs a plan. Where a plan does not fail each time, it has to run it more than once.
pub fn shrink(plan: &Plan, most_runs: usize, mut fails: impl FnMut(&Plan) -> bool) -> Shrunk {
    let mut best = plan.clone();
    let mut runs = 0;
    let mut chunk = best.faults.len().div_ceil(2).max(1);
    while runs < most_runs && !best.faults.is_empty() {
        let mut smaller = None;
        for start in (0..best.faults.len()).step_by(chunk) {
            if runs >= most_runs {
                break;
            }
            let candidate = without(&best, start, chunk);
            runs += 1;
            if fails(&candidate) {
                smaller = Some(candidate);
                break;
            }
        }
        match smaller {
            Some(candidate) => {
                best = candidate;
                chunk = chunk.min(best.faults.len().max(1));
            }
            None if chunk == 1 => break,
            None => chunk = chunk.div_ceil(2),
        }
    }
    Shrunk { plan: best, runs }
}

/// The plan without some faults in a row.
fn without(plan: &Plan, start: usize, count: usize) -> Plan {
    let mut smaller = plan.clone();
    let end = (start + count).min(plan.faults.len());
    smaller.faults.drain(start..end);
    smaller
}
