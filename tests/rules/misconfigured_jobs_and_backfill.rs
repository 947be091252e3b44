//! Tests of situations that the operators' on-call staff has met: backfill jobs of a guest team
//! beside urgent jobs, misconfigured jobs, and machines that boot late or never.

use crate::world::{Fault, KnownState, World};
use crate::{LEADER, draw_fault, run_to_completion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sumacbend::wire::{JobSpec, Priority};

/// Returns a best-effort job of low priority whose tasks save checkpoints.
fn backfill_spec(tasks: u32) -> JobSpec {
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

/// Returns a job of high priority whose tasks are as large as those of [`backfill_spec`].
fn urgent_spec(tasks: u32) -> JobSpec {
    JobSpec {
        tasks,
        cpus: 4.0,
        ..World::plain_spec()
    }
}

/// Guards against urgent jobs that wait for minutes while best-effort jobs occupy the machines
/// (inc-98dc, inc-a48c, inc-7b1f, see docs/incidents).
#[test]
fn urgent_jobs_start_soon_when_backfill_fills_all_machines() {
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
        // Tasks run for 45 to 315 s, and each machine has room for one or two.
        world.run_time_factor = 30;
        for _ in 0..3 {
            world.submit(2_000, backfill_spec(40));
        }
        world.run(58_000);
        assert!(world.starts > 4, "seed {seed}: {} starts", world.starts);
        let urgent_jobs: Vec<usize> = (0..4)
            .map(|index| world.submit(60_000 + index * 500, urgent_spec(1)))
            .collect();
        world.run(100_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        for index in urgent_jobs {
            let job = &world.jobs[index];
            let start_delay_ms = job.first_start.map(|at| at - job.submit_at);
            assert!(
                start_delay_ms.is_some_and(|delay_ms| delay_ms < 20_000),
                "seed {seed}: job {index} started after {start_delay_ms:?} ms"
            );
        }
    }
}

/// Guards against misconfigured jobs that take machines, capacity and writes to the state service
/// from other jobs. The machines on which their tasks fail must not be replaced, their restarts
/// must be limited, and the other jobs must finish.
#[test]
fn misconfigured_jobs_do_not_affect_other_jobs_and_machines() {
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
            ..urgent_spec(tasks)
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
        // Ten jobs of eight tasks fail for up to 85 s, one task at a time and with growing delays.
        assert!(
            world.always_failing_starts < 400,
            "seed {seed}: {} failures",
            world.always_failing_starts
        );
        let rented = world.machines_rented();
        assert!(rented < 30, "seed {seed}: {rented} machines rented");
    }
}

/// Slow and failed boots, misconfigured jobs and backfill jobs combined with random faults.
#[test]
fn random_faults_with_slow_boots_misconfigured_jobs_and_backfill() {
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
            world.submit_always_failing(at, at + rng.random_range(1_000..80_000), urgent_spec(6));
        }
        for _ in 0..rng.random_range(0..3) {
            let at = rng.random_range(2_000..60_000);
            world.submit(at, backfill_spec(6));
        }
        run_to_completion(world, seed, &faults);
    }
}
