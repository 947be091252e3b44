//! What the operators' on-call staff met: backfill of a guest team beside urgent
//! work, jobs submitted with a mistake, and machines that boot late or never.

use crate::world::{Fault, KnownState, World};
use crate::{LEADER, draw_fault, run_to_completion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sumacbend::wire::{JobSpec, Priority};

/// Low-priority work without an aim whose tasks save.
fn backfill(tasks: u32) -> JobSpec {
    JobSpec {
        class: "backfill".into(),
        team: "blue".into(),
        priority: Priority::Low,
        tasks,
        cpus: 4.0,
        estimate_s: 480.0,
        checkpoint_s: 30.0,
        save_s: 2.0,
        ..World::plain_spec()
    }
}

fn urgent(tasks: u32) -> JobSpec {
    JobSpec {
        tasks,
        cpus: 4.0,
        ..World::plain_spec()
    }
}

/// Guards against urgent work that waits for minutes beside idle work (inc-98dc,
/// inc-a48c, inc-7b1f).
#[test]
fn urgent_jobs_begin_soon_beside_backfill_that_fills_all_machines() {
    for (seed, faults) in [
        (1, Vec::new()),
        (2, vec![(62_000, Fault::Crash { node: LEADER })]),
        (
            3,
            vec![(
                59_500,
                Fault::CutFromPeers {
                    node: LEADER,
                    ms: 15_000,
                },
            )],
        ),
    ] {
        let mut world = World::new(seed, 3, 0, faults);
        // Tasks run for up to five minutes, and each machine holds one or two.
        world.run_time_factor = 30;
        for _ in 0..3 {
            world.submit(2_000, backfill(40));
        }
        world.run(58_000);
        assert!(world.starts > 4, "seed {seed}: {} starts", world.starts);
        let urgent: Vec<usize> = (0..4)
            .map(|index| world.submit(60_000 + index * 500, urgent(1)))
            .collect();
        world.run(100_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for index in urgent {
            let job = &world.jobs[index];
            let begun = job.first_start.map(|at| at - job.submit_at);
            assert!(
                begun.is_some_and(|after| after < 20_000),
                "seed {seed}: job {index} began after {begun:?} ms"
            );
        }
    }
}

/// Guards against mistaken jobs that take machines, room and writes from others: the
/// machines on which they fail are not given up, and the others' jobs get done.
#[test]
fn mistaken_jobs_fail_alone_until_their_users_cancel_them() {
    for (seed, faults) in [
        (4, Vec::new()),
        (5, vec![(30_000, Fault::Crash { node: LEADER })]),
        (
            6,
            vec![(25_000, Fault::MachineFailsTasks), (40_000, Fault::MachineFailsTasks)],
        ),
    ] {
        let mut world = World::new(seed, 3, 24, faults.clone());
        let spec = |team: &str, tasks| JobSpec {
            team: team.into(),
            ..urgent(tasks)
        };
        for index in 0..10 {
            let team = if index % 2 == 0 { "red" } else { "blue" };
            world.submit_always_failing(5_000 + index * 700, 90_000, spec(team, 8));
        }
        let world = run_to_completion(world, seed, &faults);
        let cancelled = world
            .jobs
            .iter()
            .filter(|job| job.known_state == KnownState::Cancelled)
            .count();
        assert!(cancelled >= 10, "seed {seed}: {cancelled} cancelled");
        // Alone and ever more rarely: ten jobs of eight tasks for 85 s.
        assert!(
            world.always_failing_starts < 400,
            "seed {seed}: {} failures",
            world.always_failing_starts
        );
        let rented = world.machines_rented();
        assert!(rented < 30, "seed {seed}: {rented} machines rented");
    }
}

/// Late and failed boots, mistaken jobs and backfill beside any other faults.
#[test]
fn random_faults_with_slow_boots_mistaken_jobs_and_backfill() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(7_000 + seed);
        let nodes = [3, 5, 7][seed as usize % 3];
        let mut faults: Vec<_> = (0..rng.random_range(2..6))
            .map(|_| (rng.random_range(5_000..110_000), draw_fault(&mut rng, nodes)))
            .collect();
        faults.push((
            rng.random_range(0..60_000),
            Fault::SlowBoots {
                ms: rng.random_range(20_000..100_000),
            },
        ));
        let mut world = World::new(seed, nodes, 16, faults.clone());
        for _ in 0..rng.random_range(0..5) {
            let at = rng.random_range(2_000..60_000);
            world.submit_always_failing(at, at + rng.random_range(1_000..80_000), urgent(6));
        }
        for _ in 0..rng.random_range(0..3) {
            let at = rng.random_range(2_000..60_000);
            world.submit(at, backfill(6));
        }
        run_to_completion(world, seed, &faults);
    }
}
