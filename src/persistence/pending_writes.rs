//! Queues of the changes that are due to be written.

use super::rejected_writes::RejectedWrites;
use super::{AnsweredRequest, InFlight};
use crate::fleet::MachineRequestRecord;
use crate::ids::{ChunkId, JobIx};
use std::collections::{BTreeSet, VecDeque};

/// The queued changes and the transaction in flight. Changes to the inventory are not queued
/// here: the inventory itself tracks which of its groups have to be written.
#[derive(Debug, Default)]
pub struct PendingWrites {
    /// Chunks whose write is urgent: attempts can start only after it, or the resources of
    /// attempts that never start are released by it.
    pub(super) urgent_chunks: BTreeSet<ChunkId>,
    /// Chunks with changes that nothing waits for.
    pub(super) deferrable_chunks: BTreeSet<ChunkId>,
    /// Jobs whose last task is done and whose end has to be written.
    pub(super) finished: BTreeSet<JobIx>,
    /// Ended jobs without open attempts, whose keys can be removed.
    pub(super) clean_ups: BTreeSet<JobIx>,
    /// New machine requests, which are sent to the cloud once they are written.
    pub(super) machine_requests: VecDeque<MachineRequestRecord>,
    /// Version of the key of the newest machine request; 0 if it does not exist.
    pub(super) newest_request_version: u64,
    /// Answered machine requests, whose keys can be removed.
    pub(super) answered_requests: VecDeque<AnsweredRequest>,
    /// Transaction in flight, if there is one.
    pub(super) in_flight: Option<InFlight>,
    /// Changes that the state service rejected, which are written one at a time.
    pub(super) rejected: RejectedWrites,
    /// Whether the last transaction contained a rejected change alone.
    pub(super) last_was_alone: bool,
}

impl PendingWrites {
    /// Queues a chunk whose write is urgent: an attempt can start only after it, or the
    /// resources of an attempt that never starts are released by it.
    pub fn queue_urgent_chunk(&mut self, chunk: ChunkId) {
        self.urgent_chunks.insert(chunk);
    }

    /// Queues several chunks whose write is urgent.
    pub fn queue_urgent_chunks(&mut self, chunks: impl IntoIterator<Item = ChunkId>) {
        self.urgent_chunks.extend(chunks);
    }

    /// Queues a chunk with changes that nothing waits for.
    pub fn queue_deferrable_chunk(&mut self, chunk: ChunkId) {
        self.deferrable_chunks.insert(chunk);
    }

    /// Queues the end of a job whose last task is done.
    pub fn queue_finished_job(&mut self, job: JobIx) {
        self.finished.insert(job);
    }

    /// Queues the removal of the keys of an ended job without open attempts.
    pub fn queue_clean_up(&mut self, job: JobIx) {
        self.clean_ups.insert(job);
    }

    /// Queues a machine request, which is sent to the cloud once it is written.
    pub fn queue_machine_request(&mut self, request: MachineRequestRecord) {
        self.machine_requests.push_back(request);
    }

    /// Sets the version of the key of the newest machine request, as it was loaded.
    pub fn newest_request_loaded(&mut self, version: u64) {
        self.newest_request_version = version;
    }

    /// Queues the removal of the key of a machine request that the cloud has answered.
    pub fn queue_answered_request(&mut self, request: AnsweredRequest) {
        self.answered_requests.push_back(request);
    }

    /// Iterates over the answered machine requests whose removal is not in a transaction yet.
    pub fn answered_requests(&self) -> impl Iterator<Item = &AnsweredRequest> {
        self.answered_requests.iter()
    }

    /// Returns the new machine requests that are not in a transaction yet.
    pub fn machine_requests(&self) -> &VecDeque<MachineRequestRecord> {
        &self.machine_requests
    }

    /// Whether a write of the chunk is queued, urgent or deferrable.
    pub fn is_chunk_queued(&self, chunk: ChunkId) -> bool {
        self.urgent_chunks.contains(&chunk) || self.deferrable_chunks.contains(&chunk)
    }

    /// Whether the removal of the job's keys is queued.
    pub fn is_clean_up_queued(&self, job: JobIx) -> bool {
        self.clean_ups.contains(&job)
    }

    /// Whether a change of any job is queued.
    pub fn has_job_changes(&self) -> bool {
        let has_chunks = !self.urgent_chunks.is_empty() || !self.deferrable_chunks.is_empty();
        has_chunks || !self.finished.is_empty() || !self.clean_ups.is_empty()
    }

    /// Whether tasks or users wait for a queued change.
    pub fn is_urgent(&self) -> bool {
        !(self.urgent_chunks.is_empty() && self.finished.is_empty() && self.machine_requests.is_empty())
    }

    /// Whether a transaction is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the transaction in flight, if there is one.
    pub fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// Returns the transaction in flight for modification, if there is one.
    pub fn in_flight_mut(&mut self) -> Option<&mut InFlight> {
        self.in_flight.as_mut()
    }

    /// Removes all queued changes of a job, since its index may be reused for another job.
    pub fn forget_job(&mut self, job: JobIx) {
        self.urgent_chunks.retain(|chunk| chunk.job != job);
        self.deferrable_chunks.retain(|chunk| chunk.job != job);
        self.finished.remove(&job);
        self.clean_ups.remove(&job);
        self.rejected.forget_job(job);
    }

    /// Removes a chunk from the queues, because the transaction under construction contains it
    /// or it need not be written.
    pub(super) fn unqueue_chunk(&mut self, chunk: ChunkId) {
        self.urgent_chunks.remove(&chunk);
        self.deferrable_chunks.remove(&chunk);
    }
}

#[cfg(test)]
mod tests;
