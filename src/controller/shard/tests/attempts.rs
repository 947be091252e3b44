//! Where the next attempt at a task goes, and what a closed one leaves behind.

use super::worker_fixture::*;
use crate::Millis;
use crate::controller::{Shard, shard_with};
use crate::ids::{ChunkId, MachineIx};
use crate::wire::{ExitReason, Report, TaskState};
use crate::workers::{Outcome, ReportPath};

/// Guards against a start that arrives late, after a later attempt of the
/// same task ran on the same machine: the task ran once more, beyond its
/// team's limit (drawn troubles, seed 249).
#[test]
fn a_task_does_not_go_where_its_earlier_attempt_is_still_listed() {
    let (mut shard, machine) = shard();
    shard.merge_report(
        10,
        &report(1, 2, 5, vec![task(TaskState::Exited, Some(ExitReason::Stopped))]),
        ReportPath::Heartbeat,
    );
    assert_eq!(open(&shard), 0);
    shard.place(10);
    assert_eq!(open(&shard), 0);
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    let job = shard.jobs.table.find("j-1").expect("known");
    shard.jobs.table.get_mut(job).expect("there").failed_on.clear();
    shard.place(20);
    assert_eq!(machine_of(&shard, machine).open.len(), 1);
}

/// Guards against a job that waited for ever beside an idle machine: the one that
/// held its image listed an earlier attempt, and was tried first every time
/// (jobs bound to a zone, seed 199).
#[test]
fn a_machine_that_lists_an_earlier_attempt_does_not_hide_the_others() {
    let mut shard = shard_with(5, &[("small", 8.0), ("small", 8.0)], 1, false);
    let stale = |name: &str, seq, tasks| Report {
        machine: name.into(),
        ..report(1, seq, 5, tasks)
    };
    for name in ["host-1", "host-2"] {
        shard.merge_report(0, &stale(name, 1, Vec::new()), ReportPath::CommandReply);
        let machine = shard.workers.machines.find(name).expect("known");
        let known = machine_of_mut(&mut shard, machine);
        known.is_persisted = true;
        known.report_due = Millis::MAX;
    }
    let job = shard.jobs.table.find("j-1").expect("known");
    let image = shard.jobs.table.get(job).expect("there").image;
    let listing = shard.workers.machines.find("host-1").expect("known");
    machine_of_mut(&mut shard, listing).touch_image(image, 1.0, 50.0);
    let ended = task(TaskState::Exited, Some(ExitReason::Stopped));
    shard.merge_report(10, &stale("host-1", 2, vec![ended]), ReportPath::Heartbeat);
    // Three machines that are long gone fill what it remembers.
    shard.jobs.table.get_mut(job).expect("there").failed_on = [90, 91, 92].map(MachineIx).to_vec();
    shard.place(20);
    let other = shard.workers.machines.find("host-2").expect("known");
    assert_eq!(machine_of(&shard, other).open.len(), 1);
}

/// Guards against a job that keeps off the only machines that fit it: it had
/// failed on each while they were sick.
#[test]
fn a_job_goes_back_to_the_machines_it_failed_on_when_no_other_fits() {
    let (mut shard, machine) = shard();
    let attempt = machine_of(&shard, machine).open[0];
    shard.close_attempt(0, attempt, Outcome::Error);
    for now in [6_000, 12_000] {
        shard.place(now);
        assert_eq!(open(&shard), 0);
    }
    shard.place(17_000);
    shard.place(17_500);
    assert_eq!(open(&shard), 1);
}

/// Guards against an index that a job leaves behind in the pending writes: it was
/// given to a smaller job, and writing its chunk ended the process.
#[test]
fn a_removed_job_leaves_nothing_to_write() {
    let (mut shard, _) = shard();
    shard.merge_report(
        10,
        &report(1, 2, 5, vec![task(TaskState::Exited, Some(ExitReason::Error))]),
        ReportPath::Heartbeat,
    );
    let job = shard.jobs.table.find("j-1").expect("known");
    shard.pending_writes.queue_deferrable_chunk(ChunkId { job, number: 7 });
    shard.pending_writes.queue_clean_up(job);
    shard.jobs.note_deleted("j-1".into());
    shard.forget_deleted_jobs();
    assert!(shard.jobs.table.is_empty());
    assert!(!shard.pending_writes.has_job_changes());
}

/// The first machine reports that the task's attempt there was stopped, and stays in reach.
fn lists_its_attempt(shard: &mut Shard) {
    let ended = task(TaskState::Exited, Some(ExitReason::Stopped));
    shard.merge_report(10, &report(1, 2, 5, vec![ended]), ReportPath::Heartbeat);
    let machine = shard.workers.machines.find("host-1").expect("known");
    machine_of_mut(shard, machine).report_due = Millis::MAX;
}

/// Guards against a job that waits beside idle machines for as long as a term lasts
/// (all machines sick for a while, seed 193: j-000021 from 93.7 s to 183.8 s). It had
/// failed on three of the four machines that fit it. The fourth listed the earlier attempt of
/// its next task, so each round chose that machine and did not use it; choosing it counted as
/// having found room, and the time after which the other three are tried again began anew
/// in every round. The trace, a line each 20 s, with the machines' state beside it:
///
/// ```text
/// [100026] waiting 2 failed_on [1, 2, 0] shortage_since 2058934 now 2058980
/// [120040] waiting 2 failed_on [1, 2, 0] shortage_since 2078642 now 2079002
/// [140000] waiting 2 failed_on [1, 2, 0] shortage_since 2098700 now 2098970
/// host-000003 heard 311 ms ago, usable, open 0, 12 tasks listed that are not open
/// ```
#[test]
fn a_machine_that_lists_an_earlier_attempt_is_no_room_found() {
    let mut shard = shard_with(5, &[("small", 8.0)], 1, false);
    for name in ["host-1", "host-2"] {
        let heard = Report {
            machine: name.into(),
            ..report(1, 1, 5, Vec::new())
        };
        shard.merge_report(0, &heard, ReportPath::CommandReply);
        let machine = shard.workers.machines.find(name).expect("known");
        let known = machine_of_mut(&mut shard, machine);
        known.is_persisted = true;
        known.report_due = Millis::MAX;
    }
    lists_its_attempt(&mut shard);
    let avoided = shard.workers.machines.find("host-2").expect("known");
    let job = shard.jobs.table.find("j-1").expect("known");
    shard.jobs.table.get_mut(job).expect("there").failed_on = vec![avoided];
    for now in (1_000..=12_000).step_by(500) {
        shard.place(now);
    }
    assert_eq!(machine_of(&shard, avoided).open.len(), 1);
}

/// Guards against a job that waits for the only machine that fits it for as long as a term
/// lasts: the machine lists an earlier attempt, and is not told to forget it while a start
/// that went unanswered may still arrive there. Only a higher term ends that.
#[test]
fn a_job_that_waits_for_a_start_in_doubt_asks_for_a_higher_term() {
    let (mut shard, machine) = shard();
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 5;
    lists_its_attempt(&mut shard);
    shard.place(20);
    shard.place(9_000);
    assert!(!shard.workers.needs_higher_term, "not for a short wait");
    shard.place(11_000);
    assert!(std::mem::take(&mut shard.workers.needs_higher_term));
    // Not once more while the worker has yet to see the new term.
    shard.term = 6;
    shard.place(12_000);
    assert!(!shard.workers.needs_higher_term);
    // Not where the worker has seen a later term, under which it is told to forget.
    let (mut shard, machine) = self::shard();
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 4;
    lists_its_attempt(&mut shard);
    for now in [20, 11_000, 22_000] {
        shard.place(now);
    }
    assert!(!shard.workers.needs_higher_term);
}
