//! Transactions of the shard: their content, and the effects of their results.

use super::*;
use crate::fleet::{DueGroups, MachineRequestRecord};
use crate::ids::AttemptIx;
use crate::persistence::AnsweredRequest;
use crate::store::Keys;
use crate::wire::{Change, Condition, JobState, Transaction};
use crate::workers::Outcome;
use std::sync::Arc;

const MAX_CHANGES: usize = 48;

fn keys() -> Keys {
    Keys::new("pool")
}

/// Returns a shard with one machine, whose inventory group is written, and a job whose tasks are all
/// placed.
fn shard_with_open_tasks(tasks: u32) -> Shard {
    let mut shard = shard_with(5, &[("large", 64.0)], tasks, true);
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    let machine = shard.workers.machines.get_mut(machine).expect("known machine");
    machine.is_persisted = true;
    machine.last_report_at = Some(0);
    machine.report_due = Millis::MAX;
    for group in shard.fleet.inventory.due(DueGroups::Urgent) {
        shard.fleet.inventory.write_started(group);
    }
    shard.place(0);
    assert_eq!(open_attempts(&shard).len(), tasks as usize);
    shard
}

fn open_attempts(shard: &Shard) -> Vec<AttemptIx> {
    shard.workers.attempts.iter().map(|(ix, _)| ix).collect()
}

fn next_transaction(shard: &mut Shard, max_changes: usize) -> Option<Arc<Transaction>> {
    let claim = Condition {
        key: keys().leader(),
        version: 1,
    };
    shard.next_transaction(10_000, &keys(), claim, max_changes, max_changes)
}

fn put_keys(transaction: &Transaction) -> Vec<&str> {
    let changes = transaction.changes.iter();
    let keys = changes.filter_map(|change| match change {
        Change::Put { put, .. } => Some(put.as_str()),
        Change::Delete { .. } => None,
    });
    keys.collect()
}

fn deleted_keys(transaction: &Transaction) -> Vec<&str> {
    let changes = transaction.changes.iter();
    let keys = changes.filter_map(|change| match change {
        Change::Delete { delete } => Some(delete.as_str()),
        Change::Put { .. } => None,
    });
    keys.collect()
}

#[test]
fn attempts_may_start_once_their_chunk_is_written() {
    let mut shard = shard_with_open_tasks(2);
    assert!(shard.has_urgent_writes());
    let transaction = next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    assert_eq!(put_keys(&transaction), [keys().task_chunk("j-1", 0)]);
    assert!(next_transaction(&mut shard, MAX_CHANGES).is_none(), "one is in flight");
    assert!(
        shard
            .workers
            .attempts
            .iter()
            .all(|(_, attempt)| !attempt.record.is_written())
    );
    shard.workers.delivery_due.clear();
    shard.committed(10_000, 7);
    assert!(
        shard
            .workers
            .attempts
            .iter()
            .all(|(_, attempt)| attempt.record.is_written())
    );
    assert_eq!(shard.workers.delivery_due.len(), 1);
    assert!(!shard.has_urgent_writes());
}

#[test]
fn changes_that_were_not_applied_are_written_again() {
    let mut shard = shard_with_open_tasks(2);
    let first = next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    shard.not_applied(10_000);
    assert!(shard.has_urgent_writes());
    let second = next_transaction(&mut shard, MAX_CHANGES).expect("another transaction");
    assert_eq!(first, second);
}

/// Returns the CPUs that the only team uses, as the leader counts them.
fn used_cpus(shard: &Shard) -> f64 {
    shard.jobs.team_quotas[0].used.cpus
}

/// Guards against attempts of a cancelled job that keep their room until the leader writes something
/// else: the job was cancelled while the transaction with their starts was in flight, and the
/// transaction conflicted (see docs/incidents/room-of-a-job-cancelled-during-its-starts.md).
#[test]
fn attempts_in_a_transaction_that_a_cancellation_prevents_are_closed() {
    for was_rejected in [false, true] {
        let mut shard = shard_with_open_tasks(2);
        next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
        let job = shard.jobs.table.find("j-1").expect("known job");
        let cancelled = JobKey {
            spec: shard.jobs.table.get(job).expect("known job").spec.clone(),
            accepted_ms: 0,
            ended: Some(JobState::Cancelled),
        };
        shard.job_changed(10_000, "j-1", &cancelled, 8);
        assert_eq!(open_attempts(&shard).len(), 2, "they may be written");
        if was_rejected {
            shard.rejected(10_100);
        } else {
            shard.not_applied(10_100);
        }
        assert!(open_attempts(&shard).is_empty());
        assert_eq!(used_cpus(&shard), 0.0);
        assert!(shard.pending_writes.is_clean_up_queued(job));
    }
}

/// Returns a shard with a finished job whose end is not written yet. Chunks 1 to 3 of the job are
/// stored in the state service.
fn shard_with_finished_job() -> Shard {
    let mut shard = shard_with_open_tasks(1);
    let job = shard.jobs.table.find("j-1").expect("known job");
    let attempt = open_attempts(&shard)[0];
    shard.close_attempt(0, attempt, Outcome::Done);
    let job = shard.jobs.table.get_mut(job).expect("known job");
    let mut chunk = job.chunks[0].clone();
    for version in [3, 4, 5] {
        chunk.version = version;
        job.chunks.push(chunk.clone());
    }
    shard
}

#[test]
fn the_end_of_a_job_is_written_before_the_job_is_cleaned_up_and_removed() {
    let mut shard = shard_with_finished_job();
    let end = next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    assert_eq!(put_keys(&end), [keys().end("j-1"), keys().job("j-1")]);
    assert!(deleted_keys(&end).is_empty());
    shard.committed(10_000, 9);
    let job = shard.jobs.table.find("j-1").expect("not cleaned up yet");
    let job = shard.jobs.table.get(job).expect("known job");
    assert_eq!((job.ended, job.key_version), (Some(JobState::Done), 9));
    let clean_up = next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    let chunks = [1, 2, 3].map(|number| keys().task_chunk("j-1", number));
    assert_eq!(deleted_keys(&clean_up)[..3], chunks);
    assert_eq!(deleted_keys(&clean_up)[3..], [keys().job("j-1")]);
    shard.committed(10_000, 10);
    assert!(shard.jobs.table.is_empty());
    assert!(next_transaction(&mut shard, MAX_CHANGES).is_none());
}

/// A clean-up gets up to half of the changes to which deferrable changes are limited, here two of
/// four.
#[test]
fn a_clean_up_continues_where_the_last_transaction_stopped() {
    let mut shard = shard_with_finished_job();
    next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    shard.committed(10_000, 9);
    let first = next_transaction(&mut shard, 4).expect("a transaction");
    assert_eq!(
        deleted_keys(&first),
        [1, 2].map(|number| keys().task_chunk("j-1", number))
    );
    shard.not_applied(10_000);
    assert_eq!(next_transaction(&mut shard, 4).expect("another transaction"), first);
    shard.committed(10_000, 10);
    let second = next_transaction(&mut shard, 4).expect("a transaction");
    assert_eq!(deleted_keys(&second), [keys().task_chunk("j-1", 3), keys().job("j-1")]);
    shard.committed(10_000, 11);
    assert!(shard.jobs.table.is_empty());
}

#[test]
fn a_machine_request_is_sent_once_it_is_written() {
    let mut shard = shard_with(5, &[("small", 8.0)], 1, true);
    let record = MachineRequestRecord {
        request: "pool-5-0".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: true,
        count: 2,
    };
    shard.pending_writes.queue_machine_request(record.clone());
    assert!(shard.has_urgent_writes());
    let transaction = next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    assert_eq!(
        put_keys(&transaction),
        [keys().machine_request("pool-5-0"), keys().newest_machine_request()]
    );
    assert!(shard.fleet.machine_requests().is_empty());
    shard.committed(10_000, 7);
    let pending = shard.fleet.machine_requests();
    assert_eq!(pending.len(), 1);
    assert_eq!((&pending[0].value, pending[0].version), (&record, 7));
}

#[test]
fn an_answered_request_is_not_removed_before_its_machines_are_written() {
    let mut shard = shard_with(5, &[("small", 8.0)], 1, true);
    let machine = shard.add_machine(0, "host-1", "small", "north", true);
    shard.pending_writes.queue_answered_request(AnsweredRequest {
        request: "pool-5-0".into(),
        version: 6,
    });
    // The transaction has no room for the inventory group of the machine.
    assert!(next_transaction(&mut shard, 0).is_none());
    let both = next_transaction(&mut shard, MAX_CHANGES).expect("a transaction");
    assert_eq!(put_keys(&both), [keys().machine_group("5-0")]);
    assert_eq!(deleted_keys(&both), [keys().machine_request("pool-5-0")]);
    shard.not_applied(10_000);
    assert_eq!(
        next_transaction(&mut shard, MAX_CHANGES).expect("another transaction"),
        both
    );
    shard.committed(10_000, 7);
    assert!(shard.workers.machines.get(machine).expect("known machine").is_persisted);
    assert!(next_transaction(&mut shard, MAX_CHANGES).is_none());
}
