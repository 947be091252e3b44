//! Messages that were carried out and answered are carried out once more later.

use super::{Faults, seeds};
use crate::world::{Fault, World};
use crate::{LEADER, run_to_completion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Copies of answered direct commands arrive while tasks are moved and cancelled and leaders restart.
#[test]
fn commands_are_repeated_while_tasks_are_moved_and_cancelled() {
    run_small_jobs(|rng, faults| {
        faults.push((10_000, Fault::RepeatedCommands { ms: 90_000 }));
        for at in (20_000..80_000).step_by(15_000) {
            let fault = match rng.random_range(0..3) {
                0 => Fault::QuickRestart { node: LEADER },
                1 => Fault::Crash { node: LEADER },
                _ => Fault::MachineHangs { ms: 1_000 },
            };
            faults.push((at + rng.random_range(0..10_000), fault));
        }
    });
}

/// Copies of requests to the services and of messages between controllers arrive while leaders change.
#[test]
fn requests_and_messages_are_repeated_while_leaders_change() {
    run_small_jobs(|rng, faults| {
        faults.push((5_000, Fault::RepeatedRequests { ms: 90_000 }));
        faults.push((5_000, Fault::RepeatedMessages { ms: 90_000 }));
        for at in (15_000..80_000).step_by(10_000) {
            let node = if rng.random_bool(0.7) {
                LEADER
            } else {
                rng.random_range(0..3)
            };
            let fault = match rng.random_range(0..3) {
                0 => Fault::Crash { node },
                1 => Fault::MachineReclaimed,
                _ => Fault::QuickRestart { node },
            };
            faults.push((at + rng.random_range(0..8_000), fault));
        }
    });
}

/// Runs 150 one-task jobs while machines fail their tasks and users cancel, with the faults that
/// `add_faults` draws in addition.
fn run_small_jobs(add_faults: impl Fn(&mut StdRng, &mut Faults)) {
    for seed in seeds(&[]) {
        let mut rng = StdRng::seed_from_u64(9_200 + seed);
        let mut faults = Faults::new();
        for at in (20_000..80_000).step_by(6_000) {
            let at = at + rng.random_range(0..4_000);
            let ms = rng.random_range(500..4_000);
            faults.push((at, Fault::AllMachinesFailTasks { ms }));
            faults.push((at + rng.random_range(0..4_000), Fault::CancelRunningJobs { hang_ms: 0 }));
        }
        add_faults(&mut rng, &mut faults);
        let mut world = World::new(seed, 3, 0, faults.clone());
        for index in 0..150 {
            let mut spec = World::plain_spec();
            spec.team = if index % 2 == 0 { "red" } else { "blue" }.into();
            spec.cpus = 0.5;
            world.submit(12_000 + index * 400, spec);
        }
        run_to_completion(world, seed, &faults);
    }
}
