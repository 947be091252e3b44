//! Transactions that the state service rejects, and transactions of large values.

use super::*;
use crate::ids::{AttemptIx, ChunkId, JobIx};
use crate::persistence::QueuedWrite;
use crate::store::{Keys, MAX_TRANSACTION_BYTES, encoded_size};
use crate::wire::{Change, Condition, Transaction};
use crate::workers::Outcome;
use std::sync::Arc;

const MAX_CHANGES: usize = 48;
const JOBS: u32 = 26;

fn keys() -> Keys {
    Keys::new("pool")
}

fn next_transaction(shard: &mut Shard, now: Millis) -> Option<Arc<Transaction>> {
    let claim = Condition {
        key: keys().leader(),
        version: 1,
    };
    shard.next_transaction(now, &keys(), claim, MAX_CHANGES, MAX_CHANGES)
}

/// Returns the names of the keys that a transaction changes.
fn changed_keys(transaction: &Transaction) -> Vec<&str> {
    let changes = transaction.changes.iter();
    let keys = changes.map(|change| match change {
        Change::Put { put, .. } => put.as_str(),
        Change::Delete { delete } => delete.as_str(),
    });
    keys.collect()
}

fn job_id(number: u32) -> String {
    format!("j-{number}")
}

/// Returns a shard with one machine, and [`JOBS`] jobs of one task from number 100 on. Each allows
/// 200 machine types, and its task is placed.
fn shard_with_long_descriptions() -> Shard {
    let mut shard = shard_with(5, &[("large", 64.0)], 1, true);
    let mut key = JobKey {
        spec: shard.jobs.table.iter().next().expect("a job").1.spec.clone(),
        accepted_ms: 0,
        ended: None,
    };
    key.spec.cpus = 1.0;
    key.spec.memory_gb = 1.0;
    let names = (0..200).map(|number| format!("yard-hauler-{number:03}"));
    key.spec.types = Some(names.chain(["large".into()]).collect());
    for number in 100..100 + JOBS {
        key.spec.id = job_id(number);
        shard.job_changed(0, &job_id(number), &key, 1);
    }
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    let machine = shard.workers.machines.get_mut(machine).expect("known machine");
    machine.is_persisted = true;
    machine.last_report_at = Some(0);
    machine.report_due = Millis::MAX;
    shard.place(0);
    assert_eq!(open_attempts(&shard).len(), JOBS as usize + 1);
    // The machine, and the starts of the tasks.
    while next_transaction(&mut shard, 0).is_some() {
        shard.committed(0, 2);
    }
    shard
}

fn open_attempts(shard: &Shard) -> Vec<AttemptIx> {
    shard.workers.attempts.iter().map(|(ix, _)| ix).collect()
}

fn end_all_tasks(shard: &mut Shard) {
    for attempt in open_attempts(shard) {
        shard.close_attempt(1_000, attempt, Outcome::Done);
    }
}

/// Guards against a transaction above the limit of the state service, which was rejected again and
/// again while nothing else was written: the size of a job's key was taken to be the same for all
/// jobs (see docs/incidents/writes-rejected-for-their-size.md).
#[test]
fn the_ends_of_jobs_with_long_descriptions_fit_into_their_transactions() {
    let mut shard = shard_with_long_descriptions();
    end_all_tasks(&mut shard);
    let mut ended = 0;
    while let Some(transaction) = next_transaction(&mut shard, 1_000) {
        let bytes = encoded_size(&*transaction);
        assert!(bytes <= MAX_TRANSACTION_BYTES, "a transaction of {bytes} bytes");
        let prefix = keys().ends();
        ended += changed_keys(&transaction)
            .iter()
            .filter(|key| key.starts_with(&prefix))
            .count();
        shard.committed(1_000, 3);
    }
    assert_eq!(ended, JOBS as usize + 1);
    assert!(shard.jobs.table.is_empty());
}

/// Writes everything that is due, with a state service that rejects every change of this key.
/// Returns the keys that were changed, and the number of rejections.
fn write_all_but(shard: &mut Shard, now: Millis, rejected_key: &str) -> (Vec<String>, usize) {
    let (mut written, mut rejections) = (Vec::new(), 0);
    while let Some(transaction) = next_transaction(shard, now) {
        let changed = changed_keys(&transaction);
        if changed.contains(&rejected_key) {
            rejections += 1;
            shard.rejected(now);
        } else {
            written.extend(changed.into_iter().map(str::to_owned));
            shard.committed(now, 3);
        }
        assert!(rejections < 100, "the change is written again and again");
    }
    (written, rejections)
}

/// Guards against a leader that writes nothing any more because the state service rejects one
/// change for ever.
#[test]
fn a_rejected_change_does_not_stop_the_others() {
    let mut shard = shard_with_long_descriptions();
    end_all_tasks(&mut shard);
    let rejected_end = keys().end(&job_id(107));
    let (written, rejections) = write_all_but(&mut shard, 1_000, &rejected_end);
    for number in (100..100 + JOBS).filter(|&number| number != 107) {
        assert!(written.contains(&keys().end(&job_id(number))), "job {number}");
    }
    assert_eq!(rejections, 2, "with others, and alone");
    assert_eq!(shard.jobs.table.len(), 1);
    // It is tried again later, and not held back from then on.
    assert!(next_transaction(&mut shard, 10_999).is_none());
    let (written, _) = write_all_but(&mut shard, 11_000, "none");
    assert!(written.contains(&rejected_end));
    assert!(shard.jobs.table.is_empty());
}

/// Guards against the keys of ended jobs that are never removed, because the state service accepts
/// fewer changes in a transaction than the settings say.
#[test]
fn everything_is_written_to_a_state_service_with_lower_limits() {
    let mut shard = shard_with_long_descriptions();
    end_all_tasks(&mut shard);
    for (_, job) in shard.jobs.table.iter_mut() {
        job.chunks.resize(20, job.chunks[0].clone());
    }
    let (mut transactions, mut now) = (0, 1_000);
    while !shard.jobs.table.is_empty() {
        let Some(transaction) = next_transaction(&mut shard, now) else {
            now += 1_000;
            continue;
        };
        transactions += 1;
        assert!(transactions < 5_000, "{} jobs are left", shard.jobs.table.len());
        if transaction.changes.len() > 8 {
            shard.rejected(now);
        } else {
            shard.committed(now, 3);
        }
    }
}

/// Returns a shard with a machine and a job of 8 tasks, which are all placed and not written yet.
fn shard_with_planned_attempts() -> Shard {
    let mut shard = shard_with(5, &[("large", 64.0)], 8, true);
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    let machine = shard.workers.machines.get_mut(machine).expect("known machine");
    machine.is_persisted = true;
    machine.last_report_at = Some(0);
    machine.report_due = Millis::MAX;
    next_transaction(&mut shard, 0).expect("the machine");
    shard.committed(0, 2);
    shard.place(0);
    assert_eq!(open_attempts(&shard).len(), 8);
    shard
}

/// Guards against room that is kept by attempts whose chunk the state service rejects, and against
/// a chunk that never gets on because its value is too long.
#[test]
fn a_rejected_chunk_gives_up_its_planned_attempts_and_opens_fewer() {
    let mut shard = shard_with_planned_attempts();
    next_transaction(&mut shard, 0).expect("the chunk");
    let chunk = ChunkId {
        job: JobIx(0),
        number: 0,
    };
    assert_eq!(shard.rejected(0), Some(QueuedWrite::Chunk(chunk)));
    assert!(open_attempts(&shard).is_empty());
    assert_eq!(shard.jobs.team_quotas[0].used.cpus, 0.0);
    shard.place(1_000);
    assert!(open_attempts(&shard).is_empty(), "not before the chunk is written");
    assert!(next_transaction(&mut shard, 1_000).is_none());
    next_transaction(&mut shard, 10_000).expect("the chunk without attempts");
    shard.committed(10_000, 3);
    shard.place(10_000);
    assert_eq!(open_attempts(&shard).len(), 4);
}
