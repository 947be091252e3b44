//! What a new leader reads back from the state service: machines first, then machine
//! requests, then every written chunk of tasks. Jobs come by the watch cache before
//! the chunks.

use super::Shard;
use crate::Millis;
use crate::fleet::{GroupValue, InventoryMember, MachineRequestRecord};
use crate::ids::{GroupIx, JobIx, MachineIx};
use crate::persistence::{StoredValueError, read_value};
use crate::pipeline::{ChunkValue, Job, OpenAttemptRecord};
use crate::resources::Offer;
use crate::wire::Entry;
use crate::workers::{Attempt, Machine, RecordState};
use thiserror::Error;

/// Why a key of the former leader can't be taken over.
#[derive(Debug, Error)]
enum LoadError {
    #[error(transparent)]
    Value(#[from] StoredValueError),
    #[error("`{key}` is of a job that is not there")]
    UnknownJob { key: String },
}

impl Shard {
    /// Takes over a group of the inventory with its machines.
    pub fn load_group(&mut self, now: Millis, name: &str, entry: &Entry) {
        match read_value::<GroupValue>(entry) {
            Ok(value) => {
                let group = self.fleet.inventory.add_stored_group(name, entry.version);
                for member in value.machines {
                    self.load_machine(now, group, member);
                }
            }
            Err(error) => tracing::error!(%error, "a group of the inventory is left out"),
        }
    }

    fn load_machine(&mut self, now: Millis, group_ix: GroupIx, member: InventoryMember) {
        let InventoryMember {
            name, address, spot, ..
        } = member;
        let type_ix = self.topology.type_ix(&member.machine_type);
        let zone = self.topology.zones.intern(&member.zone);
        let machine = Machine {
            known_up_at: address.is_some().then_some(now),
            address,
            group: Some(group_ix),
            is_persisted: true,
            // A start sent under an earlier term may still be on its way.
            unconfirmed_start_term: self.term.saturating_sub(1),
            ..Machine::new(&name, Offer { type_ix, zone, spot }, now)
        };
        let ix = self.workers.machines.insert(&name, machine);
        self.fleet.inventory.add_member(group_ix, ix);
    }

    /// Takes over a machine request, to be sent again until it is answered.
    pub fn load_machine_request(&mut self, entry: &Entry) {
        match read_value::<MachineRequestRecord>(entry) {
            Ok(value) => self.fleet.add_machine_request(value, entry.version),
            Err(error) => tracing::error!(%error, "a machine request is left out"),
        }
    }

    /// Takes over a chunk of a job's tasks: what is done, and what may be running.
    pub fn load_chunk(&mut self, now: Millis, job: &str, number: u32, entry: &Entry) {
        if let Err(error) = self.try_load_chunk(now, job, number, entry) {
            tracing::error!(%error, "a chunk of tasks is left out");
        }
    }

    fn try_load_chunk(&mut self, now: Millis, job: &str, number: u32, entry: &Entry) -> Result<(), LoadError> {
        let value: ChunkValue = read_value(entry)?;
        let Some(job_ix) = self.jobs.table.find(job) else {
            let key = entry.key.clone();
            return Err(LoadError::UnknownJob { key });
        };
        for record in &value.open {
            self.load_attempt(now, job_ix, record);
        }
        let first_task = number * self.jobs.tasks_per_chunk;
        if let Some(job) = self.jobs.table.get_mut(job_ix)
            && let Some(chunk) = job.chunks.get_mut(number as usize)
        {
            chunk.version = entry.version;
            chunk.next_attempt = value.next_attempt;
            job.done.insert_ranges(first_task, &value.done);
        }
        Ok(())
    }

    /// Takes over an attempt that the former leader left open.
    fn load_attempt(&mut self, now: Millis, job_ix: JobIx, record: &OpenAttemptRecord) {
        let Some(machine_ix) = self.workers.machines.find(&record.machine) else {
            // The inventory drops a machine only after a deletion that the cloud
            // confirmed, so nothing of it is left.
            return;
        };
        let Some(job) = self.jobs.table.get_mut(job_ix) else {
            return;
        };
        let attempt = loaded_attempt(job_ix, job, machine_ix, record);
        let attempt_ix = self.workers.attempts.insert(attempt);
        job.open.insert(record.task, attempt_ix);
        let resources = job.shape.resources;
        if let Some(machine) = self.workers.machines.get_mut(machine_ix) {
            machine.used.add(resources);
            machine.open.push(attempt_ix);
            machine.agent_epoch = machine.agent_epoch.max(record.agent_epoch);
            machine.touch_image(job.image, job.spec.image_gb, f64::MAX);
            machine.idle_since = now;
        }
        let team = job.team;
        self.jobs.quota_mut(team).used.add(resources);
    }

    /// After loading: sets going what needs no event to go on.
    pub fn finish_loading(&mut self) {
        for (ix, job) in self.jobs.table.iter() {
            if job.ended.is_some() {
                if job.open.is_empty() {
                    self.pending_writes.queue_clean_up(ix);
                }
            } else if job.is_complete() {
                self.pending_writes.queue_finished_job(ix);
            }
        }
    }
}

/// An attempt as far as its record tells.
fn loaded_attempt(job_ix: JobIx, job: &Job, machine: MachineIx, record: &OpenAttemptRecord) -> Attempt {
    Attempt {
        record: RecordState::Written,
        // Nobody knows any more; what may have run long is not to be
        // stopped as if it had just begun.
        running_since: Some(0),
        stop_grace_s: job.ended.is_some().then_some(0.0),
        ..Attempt::new(job_ix, record.task, record.attempt, machine, record.agent_epoch)
    }
}
