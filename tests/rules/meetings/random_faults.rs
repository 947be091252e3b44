//! Combinations of faults drawn at random from all that can be simulated.

use super::run_meeting_with_seeds;
use crate::world::Fault;
use crate::{LEADER, draw_fault};
use rand::Rng;
use rand::rngs::StdRng;

/// Anything with anything, from all faults that can be injected.
#[test]
fn drawn_meetings() {
    run_meeting_with_seeds(&[216], 4, |rng| {
        let count = rng.random_range(4..14);
        let mut drawn = Vec::new();
        for _ in 0..count {
            drawn.push((rng.random_range(5_000..110_000), draw_any_fault(rng)));
        }
        drawn
    });
}

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
