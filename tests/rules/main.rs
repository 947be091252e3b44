//! The rules of the protocol under seeded faults: real controllers against a simulated
//! cluster. Every run uses the same seeds.

mod large_fleet;
mod meetings;
mod mistaken_jobs_and_backfill;
mod rule_checks;
mod scheduling;
mod single_faults;
mod takeover_from_stored_state;
mod world;

use rand::Rng;
use rand::rngs::StdRng;
use world::{Fault, KnownState, World};

/// Whoever leads the shard when the fault begins.
const LEADER: usize = 9;

fn check(seed: u64, faults: Vec<(u64, Fault)>) {
    check_with(seed, 3, faults);
}

fn check_with(seed: u64, nodes: usize, faults: Vec<(u64, Fault)>) {
    run_to_completion(World::new(seed, nodes, 24, faults.clone()), seed, &faults);
}

/// To the end of all faults and well beyond: no rule broken, no job left over.
fn run_to_completion(mut world: World, seed: u64, faults: &[(u64, Fault)]) -> World {
    world.run(world.faults_end_at.max(100_000) + 200_000 * world.run_time_factor.min(3));
    // A broken rule ends the run: what had not begun by then would be called late.
    assert_no_violations(&world, seed, faults);
    world.check_largest_jobs();
    assert_no_violations(&world, seed, faults);
    let open: Vec<_> = world
        .jobs
        .iter()
        .filter(|job| !matches!(job.known_state, KnownState::Done | KnownState::Cancelled))
        .collect();
    let open: Vec<_> = open.iter().map(|job| (&job.spec.id, job.known_state)).collect();
    assert!(open.is_empty(), "seed {seed}: never finished {open:?}\n{faults:#?}");
    assert!(world.starts > 0);
    world
}

fn assert_no_violations(world: &World, seed: u64, faults: &[(u64, Fault)]) {
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}\n{faults:#?}",
        world.violations
    );
}

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
