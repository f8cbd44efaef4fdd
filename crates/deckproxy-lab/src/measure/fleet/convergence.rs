//! How long a simulated fleet takes to agree on a lost instance, and to converge after a split, by the loss of datagrams.

use super::joined_fleet;
use crate::measure::{Options, show};
use crate::output::print_line;
use deckproxy_fleet::liveness::PeerStatus;
use deckproxy_rig::simulated_fleet::{NetworkConditions, SimulatedFleet, name};

const INSTANCES: usize = 16;
const RUNS: u64 = 20;
/// Shares of datagrams that are lost.
const LOST_SHARES: [f64; 3] = [0.0, 0.1, 0.3];
/// The instance that is killed.
const KILLED: usize = 5;
/// Instances of the smaller part of the split.
const SMALLER_PART: usize = 6;
/// Duration of the split, ms.
const SPLIT_MS: f64 = 6000.0;
/// The longest time that a run waits for the fleet to agree, ms.
const TIMEOUT_MS: f64 = 60_000.0;

/// Times of one run, ms; none where the fleet did not agree in time.
struct Times {
    /// Until all instances take the killed one for lost.
    lost: Option<f64>,
    /// From the end of the split until all hear each other.
    heard: Option<f64>,
    /// From the end of the split until all have the same board.
    same_board: Option<f64>,
}

/// Runs the simulations.
pub fn simulate(options: &Options) {
    print_line!(
        "\nSimulated: {INSTANCES} instances, {RUNS} runs; ms until all take a killed one for lost, hear each other after \
         a split of 6 s, and have the same board after it"
    );
    let row = |lost_share: f64| {
        let network = NetworkConditions { lost_share, duplicated_share: 0.0, max_delay: 10.0 };
        let seeds = (0..RUNS).map(|run| options.seed.wrapping_add(run));
        let runs: Vec<Times> = seeds.filter_map(|seed| run(seed, network)).collect();
        vec![
            format!("{:.0}%", lost_share * 100.0),
            cell(runs.iter().filter_map(|times| times.lost)),
            cell(runs.iter().filter_map(|times| times.heard)),
            cell(runs.iter().filter_map(|times| times.same_board)),
        ]
    };
    show(
        &["datagrams lost", "killed: median / most (runs)", "heard again", "same board"],
        &LOST_SHARES.map(row),
    );
}

/// Kills an instance, splits the fleet and ends the split; none where the fleet did not join.
fn run(seed: u64, network: NetworkConditions) -> Option<Times> {
    let mut fleet = joined_fleet(INSTANCES, seed, network)?;
    fleet.kill(KILLED);
    let lost = fleet.until(TIMEOUT_MS, is_killed_lost);
    let instances: Vec<usize> = (0..INSTANCES).collect();
    let (smaller, larger) = instances.split_at(SMALLER_PART);
    fleet.split(&[smaller.to_vec(), larger.to_vec()]);
    fleet.run(SPLIT_MS);
    fleet.blocked_pairs.clear();
    let split_end = fleet.now;
    let heard = fleet.until(TIMEOUT_MS, SimulatedFleet::hears_all).map(|_| fleet.now - split_end);
    let has_converged = |fleet: &SimulatedFleet| fleet.hears_all() && fleet.has_same_stores();
    let same_board = fleet.until(TIMEOUT_MS, has_converged).map(|_| fleet.now - split_end);
    Some(Times { lost, heard, same_board })
}

/// Whether all running instances take the killed one for lost.
fn is_killed_lost(fleet: &SimulatedFleet) -> bool {
    let killed = name(KILLED);
    fleet.running().into_iter().all(|i| fleet.fleet(i).status_of(&killed) == Some(PeerStatus::Lost))
}

/// The median, the longest and the number of times.
fn cell(times: impl Iterator<Item = f64>) -> String {
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
    let longest = times.last().copied().unwrap_or(f64::NAN);
    format!("{median:.0} / {longest:.0} ({})", times.len())
}

#[cfg(test)]
mod tests;
