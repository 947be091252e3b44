//! Tests that the rules of the protocol hold under faults. Real controllers run against the
//! simulated cluster of the module `world`.
//!
//! All faults and random choices come from seeds, which are fixed by default, so that each run of
//! the tests is the same.

mod large_fleet;
mod meetings;
mod misconfigured_jobs_and_backfill;
mod rule_checks;
mod scheduling;
mod single_faults;
mod takeover_from_stored_state;
mod world;
mod write_limits;

use rand::Rng;
use rand::rngs::StdRng;
use world::{Fault, KnownState, World};

/// A controller index that is out of range, which stands for the leader at the time of the fault.
const LEADER: usize = 9;

/// Runs three controllers and 24 random jobs with the given faults, each with the time in
/// milliseconds at which it is injected.
fn run_with_faults(seed: u64, faults: Vec<(u64, Fault)>) {
    run_nodes_with_faults(seed, 3, faults);
}

/// Like [`run_with_faults`], with `nodes` controllers.
fn run_nodes_with_faults(seed: u64, nodes: usize, faults: Vec<(u64, Fault)>) {
    run_to_completion(World::new(seed, nodes, 24, faults.clone()), seed, &faults);
}

/// Runs until at least 200 s after the end of all faults. Asserts that no rule is broken, that
/// every job is done or cancelled, and that tasks were started.
fn run_to_completion(mut world: World, seed: u64, faults: &[(u64, Fault)]) -> World {
    world.run(world.faults_end_at.max(100_000) + 200_000 * world.run_time_factor.min(3));
    // Asserted before the largest jobs are checked: a violation ends the run early, and jobs that
    // had not started by then would be reported as late as well.
    assert_no_violations(&world, seed, faults);
    world.check_largest_jobs();
    assert_no_violations(&world, seed, faults);
    let unfinished: Vec<_> = world
        .jobs
        .iter()
        .filter(|job| !matches!(job.known_state, KnownState::Done | KnownState::Cancelled))
        .collect();
    let unfinished: Vec<_> = unfinished.iter().map(|job| (&job.spec.id, job.known_state)).collect();
    assert!(
        unfinished.is_empty(),
        "seed {seed}: never finished {unfinished:?}\n{faults:#?}"
    );
    assert!(world.starts > 0);
    world
}

/// Asserts that no rule was broken.
fn assert_no_violations(world: &World, seed: u64, faults: &[(u64, Fault)]) {
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}\n{faults:#?}",
        world.violations
    );
}

/// Draws a fault; one that affects a controller affects the leader in at least half of the cases.
fn draw_fault(rng: &mut StdRng, nodes: usize) -> Fault {
    let node = if rng.random_bool(0.5) {
        LEADER
    } else {
        rng.random_range(0..nodes)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..19) {
        0 | 1 => Fault::Crash { node },
        2 => Fault::CutFromStore { node, ms },
        3 => Fault::CutFromPeers { node, ms },
        4 => Fault::CutFromWorkers { node, ms },
        5 => Fault::StoreOutage { ms: ms / 2 },
        6 => Fault::CloudOutage { ms },
        7 => Fault::MachineCut { ms },
        8 => Fault::MachineReceivesNothing { ms },
        9 => Fault::DelayedDuplicateReports { ms },
        10 => Fault::CutFromAllButWorkers { node, ms },
        11 | 12 => Fault::QuickRestart { node },
        13 => Fault::PeerMessagesDropped { ms },
        14 => Fault::StoreSlow { ms },
        15 | 16 => Fault::Freeze { node, ms },
        17 => Fault::ZoneCut { ms: ms * 2 },
        _ => match rng.random_range(0..3) {
            0 => Fault::MachineReclaimed,
            1 => Fault::MachineFailsTasks,
            _ => Fault::AgentRestarts,
        },
    }
}
