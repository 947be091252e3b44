//! Whose fault failed tasks are taken to be.

use super::worker_fixture::{machine_of, machine_of_mut, shard_of};
use crate::Millis;
use crate::controller::{Shard, shard_with};
use crate::ids::{Index, JobIx, MachineIx};
use crate::store::JobKey;
use crate::workers::{Outcome, UNHEALTHY_AFTER_FAILING_JOBS};

const MACHINES: usize = 6;
const FIRST_MACHINE: MachineIx = MachineIx(0);

/// Six machines, and six jobs of one task each.
fn six_machines() -> Shard {
    let mut shard = shard_with(1, &[("small", 8.0)], 1, true);
    let first = shard.jobs.table.find("j-1").expect("known");
    let spec = shard.jobs.table.get(first).expect("there").spec.clone();
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

fn fail(shard: &mut Shard, now: Millis, job: JobIx, machine: MachineIx) {
    shard.open_attempt(job, 0, machine);
    let attempt = *shard
        .workers
        .machines
        .get(machine)
        .expect("there")
        .open
        .last()
        .expect("one");
    shard.close(now, attempt, Outcome::Error);
}

/// Guards against machines given up for jobs submitted with a mistake, many of which
/// come at once: each fails on each machine in turn.
#[test]
fn machines_are_spared_when_many_jobs_fail_everywhere() {
    let mut shard = six_machines();
    for round in 0..MACHINES {
        for job in shard.jobs.table.indices() {
            let machine = (job.usize() + round) % MACHINES;
            fail(
                &mut shard,
                round as Millis * 10_000,
                job,
                MachineIx::from_usize(machine),
            );
        }
        let sick = shard
            .workers
            .machines
            .iter()
            .filter(|(_, machine)| machine.is_unhealthy())
            .count();
        assert_eq!(sick, 0, "in round {round}");
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
fn a_machine_on_which_three_jobs_fail_is_sick() {
    let mut shard = six_machines();
    let jobs = shard.jobs.table.indices();
    for (count, &job) in jobs.iter().enumerate().take(UNHEALTHY_AFTER_FAILING_JOBS) {
        assert!(
            !shard.workers.machines.get(FIRST_MACHINE).expect("there").is_unhealthy(),
            "after {count}"
        );
        fail(&mut shard, count as Millis * 10_000, job, FIRST_MACHINE);
    }
    assert!(shard.workers.machines.get(FIRST_MACHINE).expect("there").is_unhealthy());
    assert!(!shard.jobs.table.get(jobs[0]).expect("there").is_likely_misconfigured());
}

/// Tasks that a sick machine fails together are no proof against their job.
#[test]
fn failures_at_one_time_on_one_machine_count_once() {
    let mut shard = six_machines();
    let job = shard.jobs.table.find("j-1").expect("known");
    for _ in 0..8 {
        fail(&mut shard, 1_000, job, FIRST_MACHINE);
    }
    assert_eq!(shard.jobs.table.get(job).expect("there").consecutive_failures, 1);
    assert!(shard.workers.machines.get(FIRST_MACHINE).expect("there").cordoned_until > 1_000);
}

/// One more task of the only job is placed, and fails.
fn fail_once(shard: &mut Shard, machine: MachineIx, now: Millis) {
    shard.place(now);
    let attempt = machine_of(shard, machine).open[0];
    shard.close(now, attempt, Outcome::Error);
}

/// Guards against blaming jobs for sick machines (inc-c6c5): every job was
/// paused for up to a minute while machines stood idle, and no machine went.
#[test]
fn a_machine_is_blamed_for_jobs_that_got_on_elsewhere() {
    let (mut shard, machine) = shard_of(40);
    let job = shard.jobs.table.find("j-1").expect("known");
    let first = machine_of(&shard, machine).open.clone();
    shard.close(0, first[0], Outcome::Done);
    for attempt in machine_of(&shard, machine).open.clone() {
        shard.close(0, attempt, Outcome::Lost);
    }
    for round in 1..=3 {
        shard.jobs.table.get_mut(job).expect("there").failed_on.clear();
        fail_once(&mut shard, machine, round * 10_000);
        for attempt in machine_of(&shard, machine).open.clone() {
            shard.close(0, attempt, Outcome::Lost);
        }
    }
    assert_eq!(shard.jobs.table.get(job).expect("there").consecutive_failures, 0);
    shard.plan_fleet(40_000);
    assert!(machine_of(&shard, machine).decommissioned);
}

#[test]
fn a_job_that_fails_everywhere_is_tried_alone_and_spares_the_machines() {
    let (mut shard, machine) = shard_of(40);
    let job = shard.jobs.table.find("j-1").expect("known");
    for round in 0..6 {
        for attempt in machine_of(&shard, machine).open.clone() {
            shard.close(round * 70_000, attempt, Outcome::Error);
        }
        shard.jobs.table.get_mut(job).expect("there").failed_on.clear();
        shard.place(round * 70_000 + 65_000);
    }
    assert!(shard.jobs.table.get(job).expect("there").is_likely_misconfigured());
    assert!(machine_of(&shard, machine).open.len() <= 1);
    machine_of_mut(&mut shard, machine).last_report_at = Some(500_000);
    shard.plan_fleet(500_000);
    assert!(!machine_of(&shard, machine).decommissioned);
}
