//! Attribution of task failures to a machine or to a job.

use super::worker_fixture::{machine_of, machine_of_mut, shard_with_worker_and_tasks};
use crate::Millis;
use crate::controller::{Shard, shard_with};
use crate::ids::{Index, JobIx, MachineIx};
use crate::store::JobKey;
use crate::workers::{Outcome, UNHEALTHY_AFTER_FAILING_JOBS};

const MACHINES: usize = 6;
const FIRST_MACHINE: MachineIx = MachineIx(0);

/// Returns a shard with six machines and six jobs of one task each.
fn shard_with_six_machines() -> Shard {
    let mut shard = shard_with(1, &[("small", 8.0)], 1, true);
    let first = shard.jobs.table.find("j-1").expect("known job");
    let spec = shard.jobs.table.get(first).expect("known job").spec.clone();
    for number in 2..=MACHINES {
        let id = format!("j-{number}");
        let mut spec = spec.clone();
        spec.id = id.clone();
        let key = JobKey {
            spec,
            accepted_ms: 0,
            ended: None,
        };
        shard.job_changed(0, &id, &key, number as u64);
    }
    for number in 0..MACHINES {
        shard.add_machine(0, &format!("host-{number}"), "small", "north", true);
    }
    shard
}

/// Opens an attempt of the job's first task on the machine and closes it as failed.
fn open_and_fail(shard: &mut Shard, now: Millis, job: JobIx, machine: MachineIx) {
    shard.open_attempt(job, 0, machine);
    let attempt = *shard
        .workers
        .machines
        .get(machine)
        .expect("known machine")
        .open
        .last()
        .expect("an open attempt");
    shard.close_attempt(now, attempt, Outcome::Error);
}

/// Guards against decommissioning machines because of jobs that were submitted with a mistake. Many
/// such jobs arrive at once, and each of them fails on one machine after the other.
#[test]
fn machines_stay_healthy_when_many_jobs_fail_on_all_of_them() {
    let mut shard = shard_with_six_machines();
    for round in 0..MACHINES {
        for job in shard.jobs.table.indices() {
            let machine = (job.usize() + round) % MACHINES;
            open_and_fail(
                &mut shard,
                round as Millis * 10_000,
                job,
                MachineIx::from_usize(machine),
            );
        }
        let unhealthy = shard
            .workers
            .machines
            .iter()
            .filter(|(_, machine)| machine.is_unhealthy())
            .count();
        assert_eq!(unhealthy, 0, "in round {round}");
    }
    assert!(shard.jobs.table.iter().all(|(_, job)| job.is_likely_misconfigured()));
    assert!(
        shard
            .workers
            .machines
            .iter()
            .all(|(_, machine)| machine.failures.is_clean())
    );
}

#[test]
fn a_machine_on_which_three_jobs_fail_is_unhealthy() {
    let mut shard = shard_with_six_machines();
    let jobs = shard.jobs.table.indices();
    for (count, &job) in jobs.iter().enumerate().take(UNHEALTHY_AFTER_FAILING_JOBS) {
        assert!(
            !shard
                .workers
                .machines
                .get(FIRST_MACHINE)
                .expect("known machine")
                .is_unhealthy(),
            "after {count}"
        );
        open_and_fail(&mut shard, count as Millis * 10_000, job, FIRST_MACHINE);
    }
    assert!(
        shard
            .workers
            .machines
            .get(FIRST_MACHINE)
            .expect("known machine")
            .is_unhealthy()
    );
    assert!(
        !shard
            .jobs
            .table
            .get(jobs[0])
            .expect("known job")
            .is_likely_misconfigured()
    );
}

/// Guards against considering a job misconfigured because an unhealthy machine fails several of its
/// tasks at once.
#[test]
fn simultaneous_failures_on_one_machine_count_once_against_the_job() {
    let mut shard = shard_with_six_machines();
    let job = shard.jobs.table.find("j-1").expect("known job");
    for _ in 0..8 {
        open_and_fail(&mut shard, 1_000, job, FIRST_MACHINE);
    }
    assert_eq!(shard.jobs.table.get(job).expect("known job").consecutive_failures, 1);
    assert!(
        shard
            .workers
            .machines
            .get(FIRST_MACHINE)
            .expect("known machine")
            .cordoned_until
            > 1_000
    );
}

/// Runs a placement round and closes the machine's first open attempt as failed.
fn place_and_fail(shard: &mut Shard, machine: MachineIx, now: Millis) {
    shard.place(now);
    let attempt = machine_of(shard, machine).open[0];
    shard.close_attempt(now, attempt, Outcome::Error);
}

/// Guards against attributing the failures on unhealthy machines to the jobs (inc-c6c5, see
/// docs/incidents). Every job backed off for up to a minute while machines were idle, and no
/// machine was decommissioned.
#[test]
fn a_machine_is_decommissioned_when_tasks_of_successful_jobs_fail_on_it() {
    let (mut shard, machine) = shard_with_worker_and_tasks(40);
    let job = shard.jobs.table.find("j-1").expect("known job");
    let first_attempts = machine_of(&shard, machine).open.clone();
    shard.close_attempt(0, first_attempts[0], Outcome::Done);
    for attempt in machine_of(&shard, machine).open.clone() {
        shard.close_attempt(0, attempt, Outcome::Lost);
    }
    for round in 1..=3 {
        shard.jobs.table.get_mut(job).expect("known job").failed_on.clear();
        place_and_fail(&mut shard, machine, round * 10_000);
        for attempt in machine_of(&shard, machine).open.clone() {
            shard.close_attempt(0, attempt, Outcome::Lost);
        }
    }
    assert_eq!(shard.jobs.table.get(job).expect("known job").consecutive_failures, 0);
    shard.plan_fleet(40_000);
    assert!(machine_of(&shard, machine).decommissioned);
}

#[test]
fn a_job_that_always_fails_runs_one_task_at_a_time_and_its_machine_is_kept() {
    let (mut shard, machine) = shard_with_worker_and_tasks(40);
    let job = shard.jobs.table.find("j-1").expect("known job");
    for round in 0..6 {
        for attempt in machine_of(&shard, machine).open.clone() {
            shard.close_attempt(round * 70_000, attempt, Outcome::Error);
        }
        shard.jobs.table.get_mut(job).expect("known job").failed_on.clear();
        shard.place(round * 70_000 + 65_000);
    }
    assert!(shard.jobs.table.get(job).expect("known job").is_likely_misconfigured());
    assert!(machine_of(&shard, machine).open.len() <= 1);
    machine_of_mut(&mut shard, machine).last_report_at = Some(500_000);
    shard.plan_fleet(500_000);
    assert!(!machine_of(&shard, machine).decommissioned);
}
