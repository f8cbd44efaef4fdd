//! From a plan that breaks a promise to a smaller one that still does.

use crate::plan::Plan;

/// Leaves faults out, as long as what is left still breaks; each fault alone at the end is needed. Gives the smallest plan
/// found and how many were played. `breaks` plays one; where that is not the same each time, it plays it more than once.
pub fn shrink(plan: &Plan, most: usize, mut breaks: impl FnMut(&Plan) -> bool) -> (Plan, usize) {
    let mut best = plan.clone();
    let mut played = 0;
    let mut piece = best.faults.len().div_ceil(2).max(1);
    while played < most && !best.faults.is_empty() {
        let mut smaller = None;
        for start in (0..best.faults.len()).step_by(piece) {
            if played >= most {
                break;
            }
            let mut without = best.clone();
            without.faults.drain(start..(start + piece).min(best.faults.len()));
            played += 1;
            if breaks(&without) {
                smaller = Some(without);
                break;
            }
        }
        match smaller {
            Some(without) => {
                best = without;
                piece = piece.min(best.faults.len().max(1));
            }
            None if piece == 1 => break,
            None => piece = piece.div_ceil(2),
        }
    }
    (best, played)
}
