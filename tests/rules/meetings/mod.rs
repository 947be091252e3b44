//! Concurrent faults ("meetings"): several faults that overlap, each combination that the
//! operators name, run against the simulated cluster. A few seeds run by default;
//! `MEETING_SEEDS=0..400 cargo test --release --test rules meetings` runs more.

mod cancellations;
mod leader_changes;
mod random_faults;
mod state_service_outages;
mod unreachable_machines;

use crate::run_to_completion;
use crate::world::{Fault, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

type Faults = Vec<(u64, Fault)>;

/// Runs the faults that are drawn from each seed, with 3 to 7 controllers and tasks up to
/// `run_time_factor` times as long as usual.
fn run_meeting(run_time_factor: u64, faults: impl Fn(&mut StdRng) -> Faults) -> Vec<World> {
    run_meeting_with_seeds(&[], run_time_factor, faults)
}

/// Also with the seeds that once found a defect.
fn run_meeting_with_seeds(found: &[u64], run_time_factor: u64, faults: impl Fn(&mut StdRng) -> Faults) -> Vec<World> {
    let played = seeds(found).into_iter();
    played
        .map(|seed| run_meeting_of_seed(seed, run_time_factor, &faults))
        .collect()
}

fn run_meeting_of_seed(seed: u64, run_time_factor: u64, faults: impl Fn(&mut StdRng) -> Faults) -> World {
    let mut rng = StdRng::seed_from_u64(7_000 + seed);
    let faults = faults(&mut rng);
    let nodes = [3, 5, 7][seed as usize % 3];
    let mut world = World::new(seed, nodes, 24, faults.clone());
    world.run_time_factor = if seed.is_multiple_of(2) { run_time_factor } else { 1 };
    run_to_completion(world, seed, &faults)
}

/// `MEETING_SEEDS=FROM..TO`, or a few and those given.
fn seeds(found: &[u64]) -> Vec<u64> {
    let given = std::env::var("MEETING_SEEDS").unwrap_or_default();
    let bounds = given.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
    match bounds {
        Some((Ok(from), Ok(to))) => (from..to).collect(),
        _ => (0..6).chain(found.iter().copied()).collect(),
    }
}

fn pick(rng: &mut StdRng, of: &[u64]) -> u64 {
    of[rng.random_range(0..of.len())]
}
