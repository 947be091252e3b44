//! What is due to be written.

use super::{AnsweredRequest, InFlight};
use crate::fleet::MachineRequestRecord;
use crate::ids::{ChunkId, JobIx};
use std::collections::{BTreeSet, VecDeque};

/// All that is to be written but for the inventory, whose groups know themselves
/// whether they are, and the transaction in flight.
#[derive(Debug, Default)]
pub struct PendingWrites {
    /// Chunks whose write is waited for: by attempts that start after it, or by the room
    /// of attempts that never start.
    pub(super) urgent_chunks: BTreeSet<ChunkId>,
    /// Chunks in which something else has changed.
    pub(super) deferrable_chunks: BTreeSet<ChunkId>,
    /// Jobs whose last task is done.
    pub(super) finished: BTreeSet<JobIx>,
    /// Ended jobs none of whose attempts is open: their keys can go.
    pub(super) clean_ups: BTreeSet<JobIx>,
    /// Machine requests that are sent once they are written.
    pub(super) machine_requests: VecDeque<MachineRequestRecord>,
    /// Machine requests whose keys can go.
    pub(super) answered_requests: VecDeque<AnsweredRequest>,
    /// The transaction in flight, if there is one.
    pub(super) in_flight: Option<InFlight>,
}

impl PendingWrites {
    /// The write of a chunk is waited for: by an attempt that starts after it, or by the
    /// room of one that never starts.
    pub fn queue_urgent_chunk(&mut self, chunk: ChunkId) {
        self.urgent_chunks.insert(chunk);
    }

    /// The same for several chunks.
    pub fn queue_urgent_chunks(&mut self, chunks: impl IntoIterator<Item = ChunkId>) {
        self.urgent_chunks.extend(chunks);
    }

    /// A chunk has changed in a way that nothing waits for.
    pub fn queue_deferrable_chunk(&mut self, chunk: ChunkId) {
        self.deferrable_chunks.insert(chunk);
    }

    /// The last task of a job is done.
    pub fn queue_finished_job(&mut self, job: JobIx) {
        self.finished.insert(job);
    }

    /// A job has ended and none of its attempts is open: its keys can go.
    pub fn queue_clean_up(&mut self, job: JobIx) {
        self.clean_ups.insert(job);
    }

    /// Machines are to be asked for once the request is written.
    pub fn queue_machine_request(&mut self, request: MachineRequestRecord) {
        self.machine_requests.push_back(request);
    }

    /// The cloud answered a machine request: its key can go.
    pub fn queue_answered_request(&mut self, request: AnsweredRequest) {
        self.answered_requests.push_back(request);
    }

    /// The machine requests whose keys are not in a transaction yet and can go.
    pub fn answered_requests(&self) -> impl Iterator<Item = &AnsweredRequest> {
        self.answered_requests.iter()
    }

    /// The machine requests that are not in a transaction yet.
    pub fn machine_requests(&self) -> &VecDeque<MachineRequestRecord> {
        &self.machine_requests
    }

    /// Whether a chunk is due to be written, urgently or not.
    pub fn is_chunk_queued(&self, chunk: ChunkId) -> bool {
        self.urgent_chunks.contains(&chunk) || self.deferrable_chunks.contains(&chunk)
    }

    /// Whether the keys of a job are due to be removed.
    pub fn is_clean_up_queued(&self, job: JobIx) -> bool {
        self.clean_ups.contains(&job)
    }

    /// Whether anything is due to be written of any job.
    pub fn has_job_changes(&self) -> bool {
        let has_chunks = !self.urgent_chunks.is_empty() || !self.deferrable_chunks.is_empty();
        has_chunks || !self.finished.is_empty() || !self.clean_ups.is_empty()
    }

    /// Whether work or users wait for something to be written.
    pub fn is_urgent(&self) -> bool {
        !(self.urgent_chunks.is_empty() && self.finished.is_empty() && self.machine_requests.is_empty())
    }

    /// Whether a transaction is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The transaction in flight.
    pub fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// The transaction in flight, to be sent again.
    pub fn in_flight_mut(&mut self) -> Option<&mut InFlight> {
        self.in_flight.as_mut()
    }

    /// Nothing of this job is left to write. Its index may be given to another.
    pub fn forget_job(&mut self, job: JobIx) {
        self.urgent_chunks.retain(|chunk| chunk.job != job);
        self.deferrable_chunks.retain(|chunk| chunk.job != job);
        self.finished.remove(&job);
        self.clean_ups.remove(&job);
    }

    /// A chunk goes into the transaction that is built now, or need not be written.
    pub(super) fn unqueue_chunk(&mut self, chunk: ChunkId) {
        self.urgent_chunks.remove(&chunk);
        self.deferrable_chunks.remove(&chunk);
    }
}

#[cfg(test)]
mod tests;
