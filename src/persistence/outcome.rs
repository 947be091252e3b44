//! Handling of the result of the transaction in flight.

use super::inventory_groups::{groups_committed, groups_not_applied};
use super::rejected_writes::writes_of;
use super::{PendingWrites, QueuedWrite, WriteContext, WrittenRequest};
use crate::Millis;
use crate::ids::{AttemptIx, MachineIx};
use std::collections::BTreeSet;

/// Consequences of a committed transaction for other parts of the shard's state.
#[derive(Debug, Default)]
pub struct CommitEffects {
    /// Attempts that never started and whose records are removed. They have to be closed as lost.
    pub withdrawn_attempts: Vec<AttemptIx>,
    /// Ids of ended jobs whose keys are all removed. The jobs have to be removed from memory.
    pub removed_jobs: Vec<String>,
    /// Machines to which new commands have to be sent.
    pub delivery_due: BTreeSet<MachineIx>,
    /// Machine requests that may now be sent to the cloud.
    pub machine_requests: Vec<WrittenRequest>,
}

impl PendingWrites {
    /// Updates the state after the transaction in flight was applied at `revision`.
    pub fn committed(&mut self, mut context: WriteContext<'_>, revision: u64) -> CommitEffects {
        let mut effects = CommitEffects::default();
        let Some(in_flight) = self.in_flight.take() else {
            return effects;
        };
        let content = in_flight.content;
        for write in writes_of(&content) {
            self.rejected.remove(&write);
        }
        self.chunks_committed(&content.chunks, &mut context, revision, &mut effects);
        self.finished_jobs_committed(&content.finished_jobs, &mut context, revision);
        self.clean_ups_committed(&content.clean_ups, &mut context, &mut effects);
        groups_committed(content.groups, &mut context, revision);
        if !content.machine_requests.is_empty() {
            self.newest_request_version = revision;
        }
        effects.machine_requests = WrittenRequest::from_records(content.machine_requests, revision);
        effects
    }

    /// Queues all changes of the transaction in flight again, because the state service rejected
    /// it. From now on each of them is written in a transaction of its own. Returns the change
    /// that was rejected, if the transaction contained only one.
    pub fn rejected(&mut self, now: Millis, context: WriteContext<'_>) -> Option<QueuedWrite> {
        let in_flight = self.in_flight.as_ref()?;
        let writes = writes_of(&in_flight.content);
        self.not_applied(context);
        self.rejected.record(now, writes)
    }

    /// Queues all changes of the transaction in flight again, when it is certain that it was not
    /// applied.
    pub fn not_applied(&mut self, mut context: WriteContext<'_>) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let content = in_flight.content;
        self.chunks_not_applied(&content.chunks, &mut context);
        self.finished.extend(content.finished_jobs);
        self.clean_ups
            .extend(content.clean_ups.iter().map(|clean_up| clean_up.job));
        groups_not_applied(&content.groups, &mut context);
        self.machine_requests.extend(content.machine_requests);
        self.answered_requests.extend(content.answered_requests);
    }
}
