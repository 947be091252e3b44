//! Tests of concurrent faults ("meetings"): every combination that the operators have named.
//!
//! A few seeds run by default; `MEETING_SEEDS=0..400 cargo test --release --test rules meetings`
//! runs the seeds from 0 to 399.

mod cancellations;
mod close_looks;
mod leader_changes;
mod random_faults;
mod repeated_messages;
mod state_service_outages;
mod unreachable_machines;

use crate::run_to_completion;
use crate::world::{Fault, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Faults, each with the time in milliseconds at which it is injected.
type Faults = Vec<(u64, Fault)>;

/// Runs the faults that `faults` draws from the generator of each seed, and returns the clusters
/// after their runs.
///
/// There are 3, 5 or 7 controllers and 24 random jobs. With even seeds, tasks run `run_time_factor`
/// times as long as usual.
fn run_concurrent_faults(run_time_factor: u64, faults: impl Fn(&mut StdRng) -> Faults) -> Vec<World> {
    run_concurrent_faults_with_seeds(&[], run_time_factor, faults)
}

/// Like [`run_concurrent_faults`], with additional seeds that have exposed a defect.
fn run_concurrent_faults_with_seeds(
    regression_seeds: &[u64],
    run_time_factor: u64,
    faults: impl Fn(&mut StdRng) -> Faults,
) -> Vec<World> {
    let mut worlds = Vec::new();
    for seed in seeds(regression_seeds) {
        for copies in copies_to_add(seed) {
            worlds.push(run_with_copies(seed, run_time_factor, &faults, copies));
        }
    }
    worlds
}

/// Returns the copies of messages with which to run a seed: first none, then those that are drawn for
/// it, if any. Each kind is drawn for half of the seeds.
fn copies_to_add(seed: u64) -> Vec<Faults> {
    let drawn = draw_copies(seed);
    let mut runs = vec![Vec::new()];
    if !drawn.is_empty() {
        runs.push(drawn);
    }
    runs
}

/// Draws copies of messages, which arrive in addition to the faults of a meeting.
fn draw_copies(seed: u64) -> Faults {
    let mut rng = StdRng::seed_from_u64(19_000 + seed);
    let kinds: [fn(u64) -> Fault; 3] = [
        |ms| Fault::RepeatedCommands { ms },
        |ms| Fault::RepeatedRequests { ms },
        |ms| Fault::RepeatedMessages { ms },
    ];
    let mut copies = Vec::new();
    for kind in kinds {
        let at = rng.random_range(3_000..30_000);
        let ms = rng.random_range(20_000..100_000);
        if rng.random_bool(0.5) {
            copies.push((at, kind(ms)));
        }
    }
    copies
}

/// Runs the faults that `faults` draws from the generator of one seed.
fn run_concurrent_faults_of_seed(seed: u64, run_time_factor: u64, faults: impl Fn(&mut StdRng) -> Faults) -> World {
    run_with_copies(seed, run_time_factor, faults, Vec::new())
}

/// Like [`run_concurrent_faults_of_seed`], with copies of messages in addition.
fn run_with_copies(seed: u64, run_time_factor: u64, faults: impl Fn(&mut StdRng) -> Faults, copies: Faults) -> World {
    let mut rng = StdRng::seed_from_u64(7_000 + seed);
    let mut faults = faults(&mut rng);
    faults.extend(copies);
    let nodes = [3, 5, 7][seed as usize % 3];
    let mut world = World::new(seed, nodes, 24, faults.clone());
    world.run_time_factor = if seed.is_multiple_of(2) { run_time_factor } else { 1 };
    run_to_completion(world, seed, &faults)
}

/// Returns the seeds from FROM up to but excluding TO if the environment variable `MEETING_SEEDS`
/// is `FROM..TO`, and otherwise the seeds 0 to 5 and `regression_seeds`.
fn seeds(regression_seeds: &[u64]) -> Vec<u64> {
    let range = std::env::var("MEETING_SEEDS").unwrap_or_default();
    let bounds = range.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
    match bounds {
        Some((Ok(from), Ok(to))) => (from..to).collect(),
        _ => (0..6).chain(regression_seeds.iter().copied()).collect(),
    }
}

/// Draws one of the values.
fn pick(rng: &mut StdRng, values: &[u64]) -> u64 {
    values[rng.random_range(0..values.len())]
}
