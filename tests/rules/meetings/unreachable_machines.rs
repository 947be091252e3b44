//! Machines hang, fail tasks, are reclaimed or are unreachable, during other faults.

use super::{Faults, copies_to_add, run_concurrent_faults, run_concurrent_faults_of_seed, seeds};
use crate::world::{Fault, LEASE_MS, World};
use crate::{LEADER, run_to_completion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The machines of one zone and one controller are isolated while jobs are cancelled, and the
/// leader or the isolated controller crashes or the state service becomes unavailable.
#[test]
fn a_zone_is_isolated_with_its_machines_and_a_controller() {
    run_concurrent_faults(8, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = rng.random_range(LEASE_MS / 2..3 * LEASE_MS);
        let mut faults = vec![
            (at, Fault::SouthIsolated { ms }),
            (at + rng.random_range(0..9_000), Fault::CancelRunningJobs { hang_ms: 0 }),
        ];
        match rng.random_range(0..3) {
            0 => faults.push((at + 5_000, Fault::Crash { node: LEADER })),
            1 => faults.push((at + 2_000, Fault::StoreOutage { ms: LEASE_MS + 5_000 })),
            _ => faults.push((at + 2_000, Fault::Crash { node: 1 })),
        }
        faults
    });
}

/// The leader crashes while machines with long tasks are unreachable, hang, or don't receive the
/// answers of the new leader.
#[test]
fn the_leader_crashes_while_machines_are_unreachable() {
    run_concurrent_faults(12, |rng| {
        let at = rng.random_range(40_000..60_000);
        let mut faults = Vec::new();
        for _ in 0..6 {
            let ms = rng.random_range(3_000..2 * LEASE_MS);
            let from = at - rng.random_range(0..5_000);
            faults.push((
                from,
                match rng.random_range(0..4) {
                    0 => Fault::MachineCut { ms },
                    1 => Fault::MachineReceivesNothing { ms },
                    2 => Fault::MachineReachesNoController { ms },
                    _ => Fault::MachineHangs { ms },
                },
            ));
        }
        faults.push((at, Fault::Crash { node: LEADER }));
        faults.push((at + rng.random_range(3_000..20_000), Fault::Crash { node: LEADER }));
        faults
    });
}

/// Direct commands arrive seconds late or get no answer while machines hang and resume, jobs are
/// cancelled and leaders crash.
#[test]
fn commands_are_delayed_while_machines_hang() {
    run_concurrent_faults(6, delayed_commands_and_hangs);
}

/// Guards against an older answer, "running", to a poll after the cancellation of the job was
/// reported, which broke the rule `went_back` with seed 146 (see
/// docs/incidents/older-answer-after-cancellation.md).
#[test]
fn a_job_reported_as_cancelled_stays_cancelled_while_commands_are_delayed() {
    run_concurrent_faults_of_seed(146, 6, delayed_commands_and_hangs);
}

/// Direct commands are delayed while machines hang, jobs are cancelled and leaders crash.
fn delayed_commands_and_hangs(rng: &mut StdRng) -> Faults {
    let mut faults = vec![(20_000, Fault::DelayedCommands { ms: 90_000 })];
    for step in 0..8 {
        let at = 22_000 + step * 11_000 + rng.random_range(0..4_000);
        let ms = rng.random_range(2_000..LEASE_MS);
        faults.push((at, Fault::MachineHangs { ms }));
        if step % 3 == 0 {
            faults.push((at + 1_000, Fault::CancelRunningJobs { hang_ms: ms }));
        }
        if step % 4 == 1 {
            faults.push((at + 500, Fault::Crash { node: LEADER }));
        }
    }
    faults
}

/// Answers to reports arrive seconds late while one-task jobs are submitted and cancelled and
/// machines fail their tasks. The start commands in these answers outlive the attempts that were
/// started directly; with seed 56, a worker that had forgotten such an attempt ran it beside its
/// successor (see docs/incidents/start-in-a-late-answer.md).
#[test]
fn answers_to_reports_are_delayed_while_tasks_fail_and_are_cancelled() {
    for seed in seeds(&[56]) {
        let mut rng = StdRng::seed_from_u64(8_100 + seed);
        let mut faults: Faults = vec![(20_000, Fault::DelayedAnswers { ms: 60_000 })];
        for at in (25_000..75_000).step_by(5_000) {
            let at = at + rng.random_range(0..4_000);
            let ms = rng.random_range(500..4_000);
            faults.push((at, Fault::AllMachinesFailTasks { ms }));
            faults.push((at + rng.random_range(0..4_000), Fault::CancelRunningJobs { hang_ms: 0 }));
        }
        for copies in copies_to_add(seed) {
            let faults = [faults.clone(), copies].concat();
            let mut world = World::new(seed, 3, 0, faults.clone());
            for index in 0..200 {
                let mut spec = World::plain_spec();
                spec.team = if index % 2 == 0 { "red" } else { "blue" }.into();
                spec.cpus = 0.5;
                world.submit(15_000 + index * 300, spec);
            }
            run_to_completion(world, seed, &faults);
        }
    }
}

/// Machines reach no controller while direct commands reach them. Their leases expire although
/// they answer the commands.
#[test]
fn machines_reach_no_controller_but_receive_commands() {
    run_concurrent_faults(10, |rng| {
        let mut faults = Vec::new();
        for _ in 0..8 {
            let ms = rng.random_range(3_000..3 * LEASE_MS);
            faults.push((
                rng.random_range(20_000..80_000),
                Fault::MachineReachesNoController { ms },
            ));
        }
        faults.push((
            rng.random_range(25_000..70_000),
            Fault::CancelRunningJobs { hang_ms: 0 },
        ));
        faults.push((rng.random_range(25_000..70_000), Fault::Crash { node: LEADER }));
        faults
    });
}

/// Array jobs that are limited to a zone or spread over zones lose machines. With seed 199, a job
/// waited forever beside an idle machine.
#[test]
fn jobs_with_zone_constraints_lose_machines() {
    for seed in seeds(&[199]) {
        let mut rng = StdRng::seed_from_u64(8_000 + seed);
        let mut faults: Faults = (0..8)
            .map(|step| {
                let at = 20_000 + step * 9_000 + rng.random_range(0..5_000);
                let ms = rng.random_range(4_000..2 * LEASE_MS);
                let fault = match rng.random_range(0..5) {
                    0 => Fault::MachineReclaimed,
                    1 => Fault::MachineCut { ms },
                    2 => Fault::MachineFailsTasks,
                    3 => Fault::AgentRestarts,
                    _ => Fault::MachineReceivesNothing { ms },
                };
                (at, fault)
            })
            .collect();
        faults.push((rng.random_range(30_000..80_000), Fault::Crash { node: LEADER }));
        for copies in copies_to_add(seed) {
            run_jobs_with_zone_constraints(seed, [faults.clone(), copies].concat());
        }
    }
}

/// Runs eight random jobs and ten array jobs that are limited to a zone or spread over zones.
fn run_jobs_with_zone_constraints(seed: u64, faults: Faults) {
    let mut world = World::new(seed, 3, 8, faults.clone());
    world.run_time_factor = 3;
    for index in 0..10 {
        let mut spec = World::plain_spec();
        spec.team = if index % 2 == 0 { "red" } else { "blue" }.into();
        spec.tasks = 2 + index % 7;
        spec.cpus = f64::from(1 + index % 4);
        spec.one_zone = index % 3 != 0;
        spec.spread = index % 3 == 0;
        spec.zone = (index % 5 == 0).then(|| "south".into());
        spec.spot = index % 4 != 0;
        world.submit(5_000 + u64::from(index) * 5_000, spec);
    }
    run_to_completion(world, seed, &faults);
}

/// All machines fail every task for a while and then recover. Jobs that failed on every machine
/// that fits them must not avoid these machines forever.
#[test]
fn all_machines_fail_tasks_for_a_while() {
    run_concurrent_faults(2, all_machines_fail_and_the_leader_crashes);
}

/// Guards against a job that starved beside idle machines because a shortage was counted again
/// in each round, which happened with seed 193 (see docs/incidents/shortage-counted-anew.md).
#[test]
fn no_job_starves_after_all_machines_failed_tasks() {
    run_concurrent_faults_of_seed(193, 2, all_machines_fail_and_the_leader_crashes);
}

/// All machines fail every task for 5 to 30 s, and the leader crashes meanwhile or afterwards.
fn all_machines_fail_and_the_leader_crashes(rng: &mut StdRng) -> Faults {
    let at = rng.random_range(20_000..50_000);
    vec![
        (
            at,
            Fault::AllMachinesFailTasks {
                ms: rng.random_range(5_000..30_000),
            },
        ),
        (at + rng.random_range(0..30_000), Fault::Crash { node: LEADER }),
    ]
}
