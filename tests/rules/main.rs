//! The rules of the protocol under seeded faults: real controllers against a simulated
//! cluster. Every run uses the same seeds.

mod fleet_at_size;
mod guests;
mod meetings;
mod reports;
mod scheduling;
mod single_faults;
mod takeover_from_stored_state;
mod world;

use rand::Rng;
use rand::rngs::StdRng;
use world::{Told, Trouble, World};

/// Whoever leads the shard when the trouble begins.
const LEADER: usize = 9;

fn check(seed: u64, troubles: Vec<(u64, Trouble)>) {
    check_with(seed, 3, troubles);
}

fn check_with(seed: u64, nodes: usize, troubles: Vec<(u64, Trouble)>) {
    play(World::new(seed, nodes, 24, troubles.clone()), seed, &troubles);
}

/// To the end of all troubles and well beyond: no rule broken, no job left over.
fn play(mut world: World, seed: u64, troubles: &[(u64, Trouble)]) -> World {
    world.run(world.calm_at.max(100_000) + 200_000 * world.run_times.min(3));
    world.check_largest();
    assert!(
        world.broken.is_empty(),
        "seed {seed}: {:?}\n{troubles:#?}",
        world.broken
    );
    let open: Vec<_> = world
        .jobs
        .iter()
        .filter(|job| !matches!(job.told, Told::Done | Told::Cancelled))
        .collect();
    let open: Vec<_> = open.iter().map(|job| (&job.spec.id, job.told)).collect();
    assert!(open.is_empty(), "seed {seed}: never finished {open:?}\n{troubles:#?}");
    assert!(world.starts > 0);
    world
}

fn draw(rng: &mut StdRng, nodes: usize) -> Trouble {
    let node = if rng.random_bool(0.5) {
        LEADER
    } else {
        rng.random_range(0..nodes)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..19) {
        0 | 1 => Trouble::Crash { node },
        2 => Trouble::CutFromStore { node, ms },
        3 => Trouble::CutFromPeers { node, ms },
        4 => Trouble::CutFromWorkers { node, ms },
        5 => Trouble::StoreOutage { ms: ms / 2 },
        6 => Trouble::CloudOutage { ms },
        7 => Trouble::MachineCut { ms },
        8 => Trouble::MachineDeaf { ms },
        9 => Trouble::LateCopies { ms },
        10 => Trouble::CutFromAllButWorkers { node, ms },
        11 | 12 => Trouble::Blink { node },
        13 => Trouble::PeersRefuse { ms },
        14 => Trouble::StoreSlow { ms },
        15 | 16 => Trouble::Freeze { node, ms },
        17 => Trouble::ZoneCut { ms: ms * 2 },
        _ => match rng.random_range(0..3) {
            0 => Trouble::MachineTaken,
            1 => Trouble::MachineSick,
            _ => Trouble::MachineBlinks,
        },
    }
}
