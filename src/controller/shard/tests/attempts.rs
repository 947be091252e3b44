//! Placement of a task's next attempt, and what remains of a closed attempt.

use super::worker_fixture::*;
use crate::Millis;
use crate::controller::{Shard, shard_with};
use crate::ids::{ChunkId, MachineIx};
use crate::wire::{Command, ExitReason, Report, TaskState};
use crate::workers::{Outcome, ReportPath};

/// Guards against a start command that arrives late, after a later attempt of the same task has run
/// on the same machine. The task then ran once more, in excess of its team's quota (random faults,
/// seed 249).
#[test]
fn a_task_is_not_placed_on_a_machine_that_lists_its_earlier_attempt() {
    let (mut shard, machine) = shard_with_worker();
    shard.merge_report(
        10,
        &report(1, 2, 5, vec![task_report(TaskState::Exited, Some(ExitReason::Stopped))]),
        ReportPath::Heartbeat,
    );
    assert_eq!(open_attempt_count(&shard), 0);
    shard.place(10);
    assert_eq!(open_attempt_count(&shard), 0);
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    let job = shard.jobs.table.find("j-1").expect("known job");
    shard.jobs.table.get_mut(job).expect("known job").failed_on.clear();
    shard.place(20);
    assert_eq!(machine_of(&shard, machine).open.len(), 1);
}

/// Guards against a job that waits forever although a machine is idle. Another machine, which had
/// the job's image cached but listed an earlier attempt, was tried first in every round
/// (`meetings` with jobs restricted to one zone, seed 199).
#[test]
fn a_machine_that_lists_an_earlier_attempt_does_not_block_the_others() {
    let mut shard = shard_with(5, &[("small", 8.0), ("small", 8.0)], 1, false);
    let report_of = |name: &str, seq, tasks| Report {
        machine: name.into(),
        ..report(1, seq, 5, tasks)
    };
    for name in ["host-1", "host-2"] {
        shard.merge_report(
            0,
            &report_of(name, 1, Vec::new()),
            ReportPath::CommandReply { commands_sent_at: 0 },
        );
        let machine = shard.workers.machines.find(name).expect("known machine");
        let machine_state = machine_of_mut(&mut shard, machine);
        machine_state.is_persisted = true;
        machine_state.report_due = Millis::MAX;
    }
    let job = shard.jobs.table.find("j-1").expect("known job");
    let image = shard.jobs.table.get(job).expect("known job").image;
    let listing_machine = shard.workers.machines.find("host-1").expect("known machine");
    machine_of_mut(&mut shard, listing_machine).touch_image(image, 1.0, 50.0);
    let ended = task_report(TaskState::Exited, Some(ExitReason::Stopped));
    shard.merge_report(10, &report_of("host-1", 2, vec![ended]), ReportPath::Heartbeat);
    // Three machines that no longer exist fill the job's list of machines to avoid.
    shard.jobs.table.get_mut(job).expect("known job").failed_on = [90, 91, 92].map(MachineIx).to_vec();
    shard.place(20);
    let other_machine = shard.workers.machines.find("host-2").expect("known machine");
    assert_eq!(machine_of(&shard, other_machine).open.len(), 1);
}

/// Guards against a job that keeps avoiding the only machines that fit it, after it failed on each
/// of them while they were unhealthy.
#[test]
fn a_job_returns_to_the_machines_it_failed_on_when_no_other_fits() {
    let (mut shard, machine) = shard_with_worker();
    let attempt = machine_of(&shard, machine).open[0];
    shard.close_attempt(0, attempt, Outcome::Error);
    for now in [6_000, 12_000] {
        shard.place(now);
        assert_eq!(open_attempt_count(&shard), 0);
    }
    shard.place(17_000);
    shard.place(17_500);
    assert_eq!(open_attempt_count(&shard), 1);
}

/// Guards against leaving the index of a removed job in the pending writes. The index was reused for
/// a smaller job, and writing a chunk that this job does not have ended the process.
#[test]
fn a_removed_job_leaves_no_pending_writes() {
    let (mut shard, _) = shard_with_worker();
    shard.merge_report(
        10,
        &report(1, 2, 5, vec![task_report(TaskState::Exited, Some(ExitReason::Error))]),
        ReportPath::Heartbeat,
    );
    let job = shard.jobs.table.find("j-1").expect("known job");
    shard.pending_writes.queue_deferrable_chunk(ChunkId { job, number: 7 });
    shard.pending_writes.queue_clean_up(job);
    shard.jobs.note_deleted("j-1".into());
    shard.forget_deleted_jobs();
    assert!(shard.jobs.table.is_empty());
    assert!(!shard.pending_writes.has_job_changes());
}

/// Merges a report of `host-1` that lists the task's attempt there as stopped. Also sets
/// `report_due` so that no later report of this machine counts as overdue.
fn report_stopped_attempt(shard: &mut Shard) {
    let ended = task_report(TaskState::Exited, Some(ExitReason::Stopped));
    shard.merge_report(10, &report(1, 2, 5, vec![ended]), ReportPath::Heartbeat);
    let machine = shard.workers.machines.find("host-1").expect("known machine");
    machine_of_mut(shard, machine).report_due = Millis::MAX;
}

/// Guards against a job that waits until the end of the term although machines are idle
/// (`meetings` with all machines unhealthy for a while, seed 193: job j-000021 waited from 93.7 s
/// to 183.8 s).
///
/// The job had failed on three of the four machines that fit it. The fourth machine listed the
/// earlier attempt of the job's next task, so every round chose this machine without using it.
/// Choosing it counted as having found room and so reset `shortage_since` in every round. The job
/// therefore never stopped avoiding the other three machines.
#[test]
fn choosing_a_machine_that_lists_an_earlier_attempt_does_not_end_a_shortage() {
    let mut shard = shard_with(5, &[("small", 8.0)], 1, false);
    for name in ["host-1", "host-2"] {
        let first_report = Report {
            machine: name.into(),
            ..report(1, 1, 5, Vec::new())
        };
        shard.merge_report(0, &first_report, ReportPath::CommandReply { commands_sent_at: 0 });
        let machine = shard.workers.machines.find(name).expect("known machine");
        let machine_state = machine_of_mut(&mut shard, machine);
        machine_state.is_persisted = true;
        machine_state.report_due = Millis::MAX;
    }
    report_stopped_attempt(&mut shard);
    let avoided_machine = shard.workers.machines.find("host-2").expect("known machine");
    let job = shard.jobs.table.find("j-1").expect("known job");
    shard.jobs.table.get_mut(job).expect("known job").failed_on = vec![avoided_machine];
    for now in (1_000..=12_000).step_by(500) {
        shard.place(now);
    }
    assert_eq!(machine_of(&shard, avoided_machine).open.len(), 1);
}

/// Guards against a job that waits until the end of the term for the only machine that fits it.
#[test]
fn a_direct_start_that_may_still_arrive_blocks_a_job_until_the_next_answer_only() {
    let (mut shard, machine) = shard_with_worker();
    machine_of_mut(&mut shard, machine).tokens.note_direct_start(5);
    report_stopped_attempt(&mut shard);
    let job = shard.jobs.table.find("j-1").expect("known job");
    shard.jobs.table.get_mut(job).expect("known job").chunks[0].discard_changes();
    shard.place(20);
    assert_eq!(open_attempt_count(&shard), 0);
    let answer = shard.commands_for_answer(30, machine);
    assert!(matches!(answer[..], [Command::Forget { .. }]));
    assert!(!shard.workers.needs_higher_term);
    shard.merge_report(40, &report(1, 3, 6, Vec::new()), ReportPath::Heartbeat);
    shard.place(500);
    assert_eq!(open_attempt_count(&shard), 1);
}
