use super::*;
use crate::controller::shard_with;
use crate::ids::{Index, MachineIx};
use crate::store::JobKey;
use crate::workers::Outcome;

const MACHINES: usize = 6;
const FIRST_MACHINE: MachineIx = MachineIx(0);

/// Six machines, and six jobs of one task each.
fn shard() -> Shard {
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
    let mut shard = shard();
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
            .filter(|(_, machine)| machine.is_sick())
            .count();
        assert_eq!(sick, 0, "in round {round}");
    }
    assert!(shard.jobs.table.iter().all(|(_, job)| job.fails_everywhere()));
    assert!(
        shard
            .workers
            .machines
            .iter()
            .all(|(_, machine)| machine.failing.is_empty())
    );
}

#[test]
fn a_machine_on_which_three_jobs_fail_is_sick() {
    let mut shard = shard();
    let jobs = shard.jobs.table.indices();
    for (count, &job) in jobs.iter().enumerate().take(FAILING_JOBS) {
        assert!(
            !shard.workers.machines.get(FIRST_MACHINE).expect("there").is_sick(),
            "after {count}"
        );
        fail(&mut shard, count as Millis * 10_000, job, FIRST_MACHINE);
    }
    assert!(shard.workers.machines.get(FIRST_MACHINE).expect("there").is_sick());
    assert!(!shard.jobs.table.get(jobs[0]).expect("there").fails_everywhere());
}

/// Tasks that a sick machine fails together are no proof against their job.
#[test]
fn failures_at_one_time_on_one_machine_count_once() {
    let mut shard = shard();
    let job = shard.jobs.table.find("j-1").expect("known");
    for _ in 0..8 {
        fail(&mut shard, 1_000, job, FIRST_MACHINE);
    }
    assert_eq!(shard.jobs.table.get(job).expect("there").errors, 1);
    assert!(shard.workers.machines.get(FIRST_MACHINE).expect("there").cordoned_until > 1_000);
}
