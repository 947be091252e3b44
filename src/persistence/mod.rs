//! What must be written next, and the transactions that write it.
//!
//! One transaction is in flight at a time. Each carries the leader's claim and
//! the version of every key it changes, so that a copy applied late, or sent by
//! a former leader, changes nothing.

use crate::Millis;
use crate::controller::Shard;
use crate::fleet::{GroupValue, InventoryMember, MachineRequestRecord};
use crate::ids::{ChunkId, GroupIx, JobIx, MachineIx};
use crate::pipeline::{ChunkValue, OpenRecord};
use crate::store::Keys;
use crate::wire::{Change, Condition, JobState, Transaction};
use crate::workers::Outcome;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// How often a chunk is written again for what nobody waits for.
const REWRITE_MS: Millis = 1_500;
/// Keeps a transaction well below the service's 64 KiB.
const MAX_BYTES: usize = 40_000;

#[derive(Debug, Default)]
pub struct PendingWrites {
    /// Chunks with attempts that start once they are written.
    pub starts: BTreeSet<ChunkId>,
    /// Chunks in which something else has changed.
    pub chunks: BTreeSet<ChunkId>,
    /// Jobs whose last task is done.
    pub finished: BTreeSet<JobIx>,
    /// Ended jobs none of whose attempts is open: their keys can go.
    pub cleanups: BTreeSet<JobIx>,
    pub machine_requests: VecDeque<MachineRequestRecord>,
    /// Rental keys answered for: request and version.
    pub settled: VecDeque<(String, u64)>,
    pub in_flight: Option<InFlight>,
}

/// The transaction in flight and what it stands for.
#[derive(Debug, Default)]
pub struct InFlight {
    pub transaction: Arc<Transaction>,
    /// An earlier copy went unanswered and may have been applied.
    pub uncertain: bool,
    pub sent: Millis,
    chunks: Vec<ChunkId>,
    finished: Vec<JobIx>,
    cleanups: Vec<(JobIx, bool)>,
    /// Inventory groups, and the machines that they name.
    groups: Vec<(GroupIx, Vec<String>)>,
    machine_requests: Vec<MachineRequestRecord>,
}

/// What a committed transaction allows next.
#[derive(Debug, Default)]
pub struct Committed {
    /// Machines that have something new to be told.
    pub delivery_due: BTreeSet<MachineIx>,
    /// Rentals that may now be asked for, with their key's version.
    pub machine_requests: Vec<(MachineRequestRecord, u64)>,
    /// Jobs that are done and answered for.
    pub done: Vec<String>,
}

impl Shard {
    /// Something is to be written that work or users wait for.
    pub fn starts_wait(&self) -> bool {
        !(self.pending_writes.starts.is_empty()
            && self.pending_writes.finished.is_empty()
            && self.pending_writes.machine_requests.is_empty()
            && self.fleet.inventory.urgent.is_empty())
    }
}

impl PendingWrites {
    /// Nothing of this job is left to write. Its index may be given to another.
    pub fn forget_job(&mut self, job: JobIx) {
        self.starts.retain(|chunk| chunk.job != job);
        self.chunks.retain(|chunk| chunk.job != job);
        self.finished.remove(&job);
        self.cleanups.remove(&job);
    }

    fn drafted(&mut self, chunk: ChunkId) {
        self.starts.remove(&chunk);
        self.chunks.remove(&chunk);
    }
}

struct Draft {
    transaction: Transaction,
    bytes: usize,
    ops: usize,
}

impl Draft {
    fn has_space(&self, ops: usize, bytes: usize) -> bool {
        self.transaction.changes.len() + ops <= self.ops && self.bytes + bytes <= MAX_BYTES
    }

    fn require(&mut self, key: String, version: u64) {
        if !self.transaction.conditions.iter().any(|c| c.key == key) {
            self.transaction.conditions.push(Condition { key, version });
        }
    }

    fn change(&mut self, change: Change, bytes: usize) {
        self.transaction.changes.push(change);
        self.bytes += bytes;
    }
}

impl Shard {
    /// Builds the next transaction, if there is anything to write and none is
    /// in flight. What nobody waits for gets no more than `spare` changes, so
    /// that it never delays the next starts.
    pub fn next_transaction(
        &mut self,
        now: Millis,
        keys: &Keys,
        claim: Condition,
        max_ops: usize,
        spare: usize,
    ) -> Option<Arc<Transaction>> {
        if self.pending_writes.in_flight.is_some() {
            return None;
        }
        self.forget_deleted_jobs();
        let mut draft = Draft {
            transaction: Transaction {
                conditions: vec![claim],
                changes: Vec::new(),
            },
            bytes: 200,
            ops: max_ops,
        };
        let mut flight = InFlight {
            sent: now,
            ..InFlight::default()
        };
        self.draft_finished(keys, &mut draft, &mut flight);
        self.draft_inventory(keys, false, &mut draft, &mut flight);
        self.draft_machine_requests(keys, &mut draft, &mut flight);
        let starts = self.pending_writes.starts.clone();
        self.draft_chunks(keys, starts, &mut draft, &mut flight);
        draft.ops = max_ops.min(spare.max(draft.transaction.changes.len()));
        // Half of it for clean-ups, so that they are never put off for good.
        let most = draft.ops;
        draft.ops = most.min(draft.transaction.changes.len() + spare.div_ceil(2));
        self.draft_cleanups(keys, &mut draft, &mut flight);
        draft.ops = most;
        let chunks = self.pending_writes.chunks.iter().copied();
        let chunks = chunks.filter(|&ChunkId { job, number }| {
            let chunk = self.jobs.table.get(job).and_then(|job| job.chunks.get(number as usize));
            chunk.is_none_or(|chunk| now >= chunk.drafted_at + REWRITE_MS)
        });
        let chunks = chunks.collect();
        self.draft_chunks(keys, chunks, &mut draft, &mut flight);
        self.draft_inventory(keys, true, &mut draft, &mut flight);
        if draft.transaction.changes.is_empty() {
            return None;
        }
        let transaction = Arc::new(draft.transaction);
        flight.transaction = transaction.clone();
        self.pending_writes.in_flight = Some(flight);
        Some(transaction)
    }

    fn draft_finished(&mut self, keys: &Keys, draft: &mut Draft, flight: &mut InFlight) {
        for ix in self.pending_writes.finished.clone() {
            if !draft.has_space(2, 1_500) {
                return;
            }
            self.pending_writes.finished.remove(&ix);
            let Some(job) = self.jobs.table.get_mut(ix) else {
                continue;
            };
            if job.ended.is_some() {
                continue;
            }
            draft.require(keys.job(&job.id), job.key_version);
            draft.require(keys.end(&job.id), 0);
            draft.change(
                Change::put(
                    keys.end(&job.id),
                    json!({"state": JobState::Done, "done": job.spec.tasks}),
                ),
                100,
            );
            // The job key goes last, when the rest has been cleaned up: until
            // then it says how the job ended.
            let value = crate::store::JobKey {
                spec: job.spec.clone(),
                accepted_ms: job.accepted_ms,
                ended: Some(JobState::Done),
            };
            draft.change(Change::put(keys.job(&job.id), json!(value)), 700);
            flight.finished.push(ix);
        }
    }

    /// Inventory groups: `late` ones as well, or only those that machines wait for.
    fn draft_inventory(&mut self, keys: &Keys, late: bool, draft: &mut Draft, flight: &mut InFlight) {
        let mut due: BTreeSet<GroupIx> = self.fleet.inventory.urgent.clone();
        if late {
            due.extend(&self.fleet.inventory.late);
        }
        for ix in due {
            let Some(group) = self.fleet.inventory.groups.get(ix) else {
                self.fleet.inventory.urgent.remove(&ix);
                self.fleet.inventory.late.remove(&ix);
                continue;
            };
            let bytes = 100 + group.members.len() * 120;
            if !draft.has_space(1, bytes) {
                return;
            }
            self.fleet.inventory.urgent.remove(&ix);
            self.fleet.inventory.late.remove(&ix);
            if group.members.is_empty() && group.version == 0 {
                self.fleet.inventory.forget(ix);
                continue;
            }
            let key = keys.inventory(&group.name);
            draft.require(key.clone(), group.version);
            let members = group
                .members
                .iter()
                .filter_map(|&member| self.workers.machines.get(member));
            let machines: Vec<InventoryMember> = members
                .map(|machine| InventoryMember {
                    name: machine.name.clone(),
                    machine_type: self.topology.types.name(machine.type_ix).to_owned(),
                    zone: self.topology.zones.name(machine.zone).to_owned(),
                    spot: machine.spot,
                    address: machine.address.clone(),
                })
                .collect();
            let names = machines.iter().map(|machine| machine.name.clone()).collect();
            if machines.is_empty() {
                draft.change(Change::delete(key), 100);
            } else {
                draft.change(Change::put(key, json!(GroupValue { machines })), bytes);
            }
            flight.groups.push((ix, names));
        }
    }

    fn draft_machine_requests(&mut self, keys: &Keys, draft: &mut Draft, flight: &mut InFlight) {
        while draft.has_space(1, 200) {
            let Some(machine_request) = self.pending_writes.machine_requests.pop_front() else {
                break;
            };
            let key = keys.machine_request(&machine_request.request);
            draft.require(key.clone(), 0);
            draft.change(Change::put(key, json!(machine_request)), 200);
            flight.machine_requests.push(machine_request);
        }
        // A machine request's key goes only after the machines it brought are written.
        while self.fleet.inventory.urgent.is_empty() && draft.has_space(1, 100) {
            let Some((request, version)) = self.pending_writes.settled.pop_front() else {
                break;
            };
            draft.require(keys.machine_request(&request), version);
            draft.change(Change::delete(keys.machine_request(&request)), 100);
        }
    }

    fn draft_chunks(&mut self, keys: &Keys, due: BTreeSet<ChunkId>, draft: &mut Draft, flight: &mut InFlight) {
        for chunk_id in due {
            let ChunkId { job: ix, number } = chunk_id;
            let Some(job) = self.jobs.table.get_mut(ix) else {
                self.pending_writes.drafted(chunk_id);
                continue;
            };
            if job.ended.is_some() || job.complete() {
                // Its end says all that needs to be said; the chunk only has
                // to know that nothing is left unwritten.
                self.pending_writes.drafted(chunk_id);
                job.chunks[number as usize].dirty = false;
                continue;
            }
            let first = number * self.jobs.chunk_tasks;
            let range = first..(first + self.jobs.chunk_tasks).min(job.spec.tasks);
            let mut open: Vec<OpenRecord> = Vec::new();
            for (&task, &attempt) in job.open.range(range.clone()) {
                let Some(attempt) = self.workers.attempts.get_mut(attempt) else {
                    continue;
                };
                let Some(machine) = self.workers.machines.get(attempt.machine) else {
                    continue;
                };
                if !attempt.withdrawn {
                    open.push((task, attempt.number, machine.name.clone(), attempt.agent_epoch));
                }
            }
            let done = job.done.text(range.clone());
            let bytes = 120 + done.len() + open.len() * 60;
            // A single chunk always fits an otherwise empty transaction.
            if !draft.has_space(1, bytes) && !draft.transaction.changes.is_empty() {
                return;
            }
            self.pending_writes.drafted(chunk_id);
            for attempt in job.open.range(range).map(|(_, &attempt)| attempt) {
                if let Some(attempt) = self.workers.attempts.get_mut(attempt)
                    && (!attempt.written || attempt.withdrawn)
                {
                    attempt.writing = true;
                }
            }
            let chunk = &mut job.chunks[number as usize];
            chunk.dirty = false;
            chunk.writing = true;
            chunk.drafted_at = flight.sent;
            let key = keys.firing(&job.id, number);
            draft.require(key.clone(), chunk.version);
            // A cancel changes the job's key, so nothing starts after it.
            draft.require(keys.job(&job.id), job.key_version);
            let value = ChunkValue {
                next: chunk.next,
                done,
                open,
            };
            draft.change(Change::put(key, json!(value)), bytes);
            flight.chunks.push(chunk_id);
        }
    }

    fn draft_cleanups(&mut self, keys: &Keys, draft: &mut Draft, flight: &mut InFlight) {
        for ix in self.pending_writes.cleanups.clone() {
            let Some(job) = self.jobs.table.get_mut(ix) else {
                self.pending_writes.cleanups.remove(&ix);
                continue;
            };
            if !job.open.is_empty() || job.ended.is_none() {
                self.pending_writes.cleanups.remove(&ix);
                continue;
            }
            let left = job.chunks.iter().filter(|chunk| chunk.version > 0).count();
            let mut dropping = 0;
            for (number, chunk) in job.chunks.iter().enumerate() {
                if chunk.version == 0 {
                    continue;
                }
                if !draft.has_space(1, 100) {
                    break;
                }
                dropping += 1;
                let key = keys.firing(&job.id, number as u32);
                draft.require(key.clone(), chunk.version);
                draft.change(Change::delete(key), 100);
            }
            let last = left == dropping && draft.has_space(1, 100);
            if last {
                draft.require(keys.job(&job.id), job.key_version);
                draft.change(Change::delete(keys.job(&job.id)), 100);
            }
            flight.cleanups.push((ix, last));
            self.pending_writes.cleanups.remove(&ix);
            if !last {
                return;
            }
        }
    }

    /// The transaction in flight was applied at `revision`.
    pub fn committed(&mut self, now: Millis, keys: &Keys, revision: u64) -> Committed {
        let mut result = Committed::default();
        let Some(flight) = self.pending_writes.in_flight.take() else {
            return result;
        };
        for ChunkId { job: ix, number } in flight.chunks {
            let Some(job) = self.jobs.table.get_mut(ix) else {
                continue;
            };
            let chunk = &mut job.chunks[number as usize];
            chunk.version = revision;
            chunk.writing = false;
            let first = number * self.jobs.chunk_tasks;
            let mut gone = Vec::new();
            for ix in job.open.range(first..first + self.jobs.chunk_tasks).map(|(_, &a)| a) {
                if let Some(attempt) = self.workers.attempts.get_mut(ix)
                    && attempt.writing
                {
                    attempt.writing = false;
                    if attempt.withdrawn {
                        gone.push(ix);
                    } else {
                        attempt.written = true;
                        result.delivery_due.insert(attempt.machine);
                    }
                }
            }
            for ix in gone {
                self.close(now, ix, Outcome::Lost);
            }
        }
        for ix in flight.finished {
            if let Some(job) = self.jobs.table.get_mut(ix) {
                job.ended = Some(JobState::Done);
                job.key_version = revision;
                result.done.push(job.id.clone());
                self.pending_writes.cleanups.insert(ix);
            }
        }
        let deleted = flight.transaction.changes.iter().filter_map(|change| match change {
            Change::Delete { delete } => Some(delete.as_str()),
            Change::Put { .. } => None,
        });
        let deleted: BTreeSet<&str> = deleted.collect();
        for (ix, last) in flight.cleanups {
            let Some(job) = self.jobs.table.get_mut(ix) else {
                continue;
            };
            for (number, chunk) in job.chunks.iter_mut().enumerate() {
                if deleted.contains(keys.firing(&job.id, number as u32).as_str()) {
                    chunk.version = 0;
                }
            }
            if last {
                let id = job.id.clone();
                self.remove_job(&id);
            } else {
                self.pending_writes.cleanups.insert(ix);
            }
        }
        for (ix, names) in flight.groups {
            if names.is_empty() {
                self.group_dropped(ix);
                continue;
            }
            if let Some(group) = self.fleet.inventory.groups.get_mut(ix) {
                group.version = revision;
            }
            // By name: an index may be another machine's by now.
            for name in names {
                if let Some(machine) = self
                    .workers
                    .machines
                    .find(&name)
                    .and_then(|ix| self.workers.machines.get_mut(ix))
                {
                    machine.written = true;
                }
            }
        }
        result.machine_requests = flight
            .machine_requests
            .into_iter()
            .map(|machine_request| (machine_request, revision))
            .collect();
        result
    }

    /// A group's key is deleted. Machines may have joined it meanwhile.
    fn group_dropped(&mut self, ix: GroupIx) {
        match self.fleet.inventory.groups.get_mut(ix) {
            Some(group) if !group.members.is_empty() => group.version = 0,
            _ => self.fleet.inventory.forget(ix),
        }
    }

    /// The transaction in flight was surely not applied: everything in it has
    /// to be considered again.
    pub fn not_applied(&mut self) {
        let Some(flight) = self.pending_writes.in_flight.take() else {
            return;
        };
        for chunk_id in flight.chunks {
            if let Some(job) = self.jobs.table.get_mut(chunk_id.job) {
                let chunk = &mut job.chunks[chunk_id.number as usize];
                chunk.writing = false;
                chunk.dirty = true;
                for attempt in job.open.values() {
                    if let Some(attempt) = self.workers.attempts.get_mut(*attempt) {
                        attempt.writing = false;
                    }
                }
                self.pending_writes.starts.insert(chunk_id);
            }
        }
        self.pending_writes.finished.extend(flight.finished);
        self.pending_writes
            .cleanups
            .extend(flight.cleanups.iter().map(|(ix, _)| *ix));
        self.fleet
            .inventory
            .urgent
            .extend(flight.groups.iter().map(|(ix, _)| *ix));
        self.pending_writes.machine_requests.extend(flight.machine_requests);
        // Plain deletions of machine request keys carry their own versions.
        let versions: BTreeMap<&str, u64> = flight
            .transaction
            .conditions
            .iter()
            .map(|c| (c.key.as_str(), c.version))
            .collect();
        for change in &flight.transaction.changes {
            let Change::Delete { delete } = change else {
                continue;
            };
            let version = versions.get(delete.as_str()).copied().unwrap_or(0);
            if let Some(request) = delete.strip_prefix(&self.machine_request_prefix) {
                self.pending_writes.settled.push_back((request.into(), version));
            }
        }
    }
}
