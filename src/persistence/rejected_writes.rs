//! Changes that the state service rejects, kept apart so that all others are written.
//!
//! The state service rejects a transaction as a whole and does not say which change is the
//! reason. So after a rejection, each change of the transaction is written in a transaction of
//! its own, in turn with transactions of all other changes. A change that is rejected alone is
//! tried again after a while, since the limits of the service may change.

use super::content::Content;
use crate::Millis;
use crate::ids::{ChunkId, GroupIx, JobIx};
use std::collections::BTreeMap;

/// Delay before a change that was rejected alone is written again.
const REJECTED_RETRY_MS: Millis = 10_000;

/// A change that can be written in a transaction of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueuedWrite {
    /// The value of a chunk of tasks.
    Chunk(ChunkId),
    /// The end of a job whose last task is done.
    FinishedJob(JobIx),
    /// The removal of the keys of an ended job.
    CleanUp(JobIx),
    /// An inventory group.
    Group(GroupIx),
    /// The record of the machine request with this name.
    MachineRequest(String),
    /// The removal of the record of the machine request with this name.
    AnsweredRequest(String),
}

impl QueuedWrite {
    /// Returns the job that the change concerns, if it concerns one.
    fn job(&self) -> Option<JobIx> {
        match self {
            QueuedWrite::Chunk(chunk) => Some(chunk.job),
            QueuedWrite::FinishedJob(job) | QueuedWrite::CleanUp(job) => Some(*job),
            QueuedWrite::Group(_) | QueuedWrite::MachineRequest(_) | QueuedWrite::AnsweredRequest(_) => None,
        }
    }
}

/// Returns the changes in a transaction, in the order in which they were added.
pub(super) fn writes_of(content: &Content) -> Vec<QueuedWrite> {
    let mut writes = Vec::new();
    writes.extend(content.finished_jobs.iter().copied().map(QueuedWrite::FinishedJob));
    writes.extend(content.groups.iter().map(|written| QueuedWrite::Group(written.group)));
    let requests = content.machine_requests.iter();
    writes.extend(requests.map(|record| QueuedWrite::MachineRequest(record.request.clone())));
    let answered = content.answered_requests.iter();
    writes.extend(answered.map(|answered| QueuedWrite::AnsweredRequest(answered.request.clone())));
    writes.extend(content.chunks.iter().copied().map(QueuedWrite::Chunk));
    let clean_ups = content.clean_ups.iter();
    writes.extend(clean_ups.map(|clean_up| QueuedWrite::CleanUp(clean_up.job)));
    writes
}

/// Which of the queued changes a transaction may contain.
#[derive(Clone, Debug)]
pub(super) enum Selection {
    /// All except these.
    AllExcept(RejectedWrites),
    /// Only this one.
    Only(QueuedWrite),
}

impl Selection {
    /// Whether the transaction may contain this change.
    pub fn admits(&self, write: &QueuedWrite) -> bool {
        match self {
            Selection::AllExcept(rejected) => !rejected.contains(write),
            Selection::Only(only) => only == write,
        }
    }
}

/// Changes that were in a rejected transaction and not written since.
#[derive(Clone, Debug, Default)]
pub(super) struct RejectedWrites {
    /// When each change may be written next, in a transaction of its own.
    retry_at: BTreeMap<QueuedWrite, Millis>,
}

impl RejectedWrites {
    /// Whether the change is written only in a transaction of its own.
    pub fn contains(&self, write: &QueuedWrite) -> bool {
        self.retry_at.contains_key(write)
    }

    /// Records the changes of a rejected transaction. Returns the change that is the reason, if
    /// it was the only one.
    pub fn record(&mut self, now: Millis, writes: Vec<QueuedWrite>) -> Option<QueuedWrite> {
        if let [write] = &writes[..] {
            self.retry_at.insert(write.clone(), now + REJECTED_RETRY_MS);
            return Some(write.clone());
        }
        self.retry_at.extend(writes.into_iter().map(|write| (write, now)));
        None
    }

    /// Returns the change that is due to be written alone, if there is one: the one that has
    /// waited longest.
    pub fn next_due(&self, now: Millis) -> Option<QueuedWrite> {
        let due = self.retry_at.iter().filter(|&(_, &retry_at)| now >= retry_at);
        due.min_by_key(|&(_, &retry_at)| retry_at)
            .map(|(write, _)| write.clone())
    }

    /// Treats a change like all others again, because it was written or is no longer queued.
    pub fn remove(&mut self, write: &QueuedWrite) {
        self.retry_at.remove(write);
    }

    /// Forgets the changes of a job, since its index may be reused for another job.
    pub fn forget_job(&mut self, job: JobIx) {
        self.retry_at.retain(|write, _| write.job() != Some(job));
    }
}

#[cfg(test)]
mod tests;
