//! Merging reports: their order, and what they prove.

use super::worker_fixture::*;
use crate::Millis;
use crate::controller::Shard;
use crate::store::Keys;
use crate::wire::{Change, Command, Condition, ExitReason, Report, TaskState};
use crate::workers::{MergeOutcome, ReportPath};

const MINUTE: Millis = 60_000;

#[test]
fn absence_from_a_report_proves_nothing_while_a_start_may_arrive() {
    let (mut shard, machine) = shard();
    let attempt = machine_of(&shard, machine).open[0];
    shard.workers.attempts.get_mut(attempt).expect("open").stop_grace_s = Some(0.0);
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 5;
    shard.merge_report(MINUTE, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 1);
    assert!(shard.workers.needs_higher_term);
    // A higher fencing token seen by the worker withdraws whatever is on its way.
    shard.term = 6;
    shard.merge_report(MINUTE, &report(1, 3, 6, Vec::new()), ReportPath::Heartbeat);
    closes_once_its_record_is_gone(&mut shard);
}

/// The only attempt never starts. Guards against giving its room to others while
/// its record is still there: the leader ended just then, the next one started
/// both, and a team went beyond its limit (controllers that hand over and back,
/// seed 46).
fn closes_once_its_record_is_gone(shard: &mut Shard) {
    let keys = Keys::new("pool");
    let claim = Condition {
        key: keys.leader(),
        version: 1,
    };
    assert_eq!(open(shard), 1);
    let used = shard.jobs.team_quotas[0].used.cpus;
    assert!(used > 0.0 && shard.starts_wait());
    let written = shard
        .next_transaction(MINUTE, &keys, claim.clone(), 48, 48)
        .expect("due");
    let record = written.changes.iter().find_map(|change| match change {
        Change::Put { put, value, .. } if *put == keys.task_chunk("j-1", 0) => Some(value["open"].clone()),
        _ => None,
    });
    assert_eq!(record, Some(serde_json::json!([])));
    // Not applied: considered again, and the room stays taken.
    shard.not_applied();
    assert_eq!((open(shard), shard.jobs.team_quotas[0].used.cpus), (1, used));
    shard.next_transaction(MINUTE, &keys, claim, 48, 48).expect("due again");
    assert_eq!((open(shard), shard.jobs.team_quotas[0].used.cpus), (1, used));
    shard.committed(MINUTE, 9);
    assert_eq!((open(shard), shard.jobs.team_quotas[0].used.cpus), (0, 0.0));
}

/// Guards against raising the term again and again after a take-over, each
/// time at the price of a fresh start.
#[test]
fn starts_of_earlier_terms_need_no_higher_term() {
    let (mut shard, machine) = shard();
    let attempt = machine_of(&shard, machine).open[0];
    shard.workers.attempts.get_mut(attempt).expect("open").stop_grace_s = Some(0.0);
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 4;
    shard.merge_report(MINUTE, &report(1, 2, 4, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 1);
    assert!(!shard.workers.needs_higher_term);
    shard.merge_report(MINUTE, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(!shard.workers.needs_higher_term);
    closes_once_its_record_is_gone(&mut shard);
}

#[test]
fn reports_are_ordered_by_agent_epoch_and_sequence() {
    let (mut shard, _) = shard();
    shard.merge_report(
        10,
        &report(1, 5, 5, vec![task(TaskState::Running, None)]),
        ReportPath::Heartbeat,
    );
    let old = report(1, 4, 5, vec![task(TaskState::Exited, Some(ExitReason::Done))]);
    assert_eq!(shard.merge_report(20, &old, ReportPath::Heartbeat), MergeOutcome::Stale);
    assert_eq!(open(&shard), 1);
    assert_eq!(
        shard.merge_report(20, &report(1, 9, 7, Vec::new()), ReportPath::Heartbeat),
        MergeOutcome::HigherFencingToken
    );
    shard.merge_report(30, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 0);
}

/// Guards against reckoning a new agent epoch's lease from the last answer to
/// the agent epoch before: its tasks were taken for lost while they ran.
#[test]
fn a_new_agent_epoch_has_its_whole_lease() {
    let (mut shard, _) = shard();
    let late = shard.workers.lease_expiry_ms - 10;
    shard.merge_report(late, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    shard.place(late);
    assert_eq!(open(&shard), 1);
    shard.close_expired(late + 1_000);
    assert_eq!(open(&shard), 1);
    shard.close_expired(late + shard.workers.lease_expiry_ms + 1);
    assert_eq!(open(&shard), 0);
}

/// Guards against late copies of reports: a new leader took a machine that was
/// gone for one in use, and placed tasks on it.
#[test]
fn only_a_report_of_this_term_shows_that_a_machine_is_there() {
    let (mut shard, machine) = shard();
    machine_of_mut(&mut shard, machine).last_report_at = None;
    shard.merge_report(10, &report(1, 2, 4, Vec::new()), ReportPath::Heartbeat);
    assert!(!usable(&shard, machine, 10));
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(usable(&shard, machine, 20));
}

/// Guards against bringing back a machine returned so long ago that it was
/// forgotten: a report alone, even of this term, does not put it in the
/// inventory, and machine requests don't count on it.
#[test]
fn a_machine_known_only_from_late_reports_counts_for_nothing() {
    let (mut shard, _) = shard();
    let copy = |seq| Report {
        machine: "host-9".into(),
        ..report(1, seq, 5, Vec::new())
    };
    shard.merge_report(10, &copy(7), ReportPath::Heartbeat);
    let ix = shard.workers.machines.find("host-9").expect("noted");
    assert_eq!(machine_of(&shard, ix).group, None);
    assert!(!usable(&shard, ix, 10));
    // It is asked; its answer shows that it is there.
    assert!(shard.workers.delivery_due.contains(&ix));
    shard.merge_report(20, &copy(8), ReportPath::CommandReply);
    assert!(machine_of(&shard, ix).group.is_some());
}

/// Guards against closing an attempt twice, and against leaving a task to run that no
/// open attempt stands for.
#[test]
fn an_attempt_listed_twice_ends_once_and_is_then_unmatched() {
    let (mut shard, machine) = shard();
    let twice = vec![
        task(TaskState::Exited, Some(ExitReason::Error)),
        task(TaskState::Running, None),
    ];
    shard.merge_report(10, &report(1, 2, 5, twice.clone()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 0);
    let job = shard.jobs.table.find("j-1").expect("known");
    assert_eq!(shard.jobs.table.get(job).expect("there").consecutive_failures, 1);
    assert_eq!(machine_of(&shard, machine).unmatched_tasks, twice);
    assert!(matches!(shard.commands(20, machine)[..], [Command::Stop { .. }]));
}
