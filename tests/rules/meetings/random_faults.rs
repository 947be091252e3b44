//! Random combinations of all simulated faults except slow boots.

use super::run_concurrent_faults_with_seeds;
use crate::world::Fault;
use crate::{LEADER, draw_fault};
use rand::Rng;
use rand::rngs::StdRng;

/// Four to thirteen random faults begin at random times. With seed 216, a machine whose lease had
/// expired stayed idle forever.
#[test]
fn random_concurrent_faults_break_no_rule() {
    run_concurrent_faults_with_seeds(&[216], 4, |rng| {
        let count = rng.random_range(4..14);
        let mut faults = Vec::new();
        for _ in 0..count {
            faults.push((rng.random_range(5_000..110_000), draw_any_fault(rng)));
        }
        faults
    });
}

/// Draws any fault except [`Fault::SlowBoots`]. One that affects a controller usually affects the
/// leader, and otherwise one of the first three controllers.
fn draw_any_fault(rng: &mut StdRng) -> Fault {
    let node = if rng.random_bool(0.6) {
        LEADER
    } else {
        rng.random_range(0..3)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..22) {
        0 | 1 => Fault::StoreRefuses { node, ms },
        2 => Fault::ReadsLost { node, ms },
        3 | 4 => Fault::DelayedTransactions { ms },
        5 => Fault::MachineReachesNoController { ms },
        6 => Fault::MachineHangs { ms },
        7 => Fault::DelayedCommands { ms },
        8 | 9 => Fault::CancelRunningJobs { hang_ms: ms / 2 },
        10 => Fault::CancelAtEnd { ms },
        11 => Fault::AllControllersDown { ms },
        12 => Fault::SouthIsolated { ms },
        13 => Fault::InvalidRequests { ms },
        14 => Fault::AllMachinesFailTasks { ms: ms / 2 },
        15 => Fault::StoreOutage { ms: 2 * ms },
        _ => draw_fault(rng, 3),
    }
}
