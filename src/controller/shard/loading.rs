//! Loading of the state that the former leader stored in the state service: first the machines,
//! then the machine requests, then all written chunks of tasks. Jobs come from the watch cache
//! and are added before the chunks.

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

/// Why a value that the former leader stored can't be loaded.
#[derive(Debug, Error)]
enum LoadError {
    #[error(transparent)]
    Value(#[from] StoredValueError),
    #[error("`{key}` belongs to a job that does not exist")]
    UnknownJob { key: String },
}

impl Shard {
    /// Loads an inventory group and its machines. Logs an error if the value can't be read.
    pub fn load_group(&mut self, now: Millis, name: &str, entry: &Entry) {
        match read_value::<GroupValue>(entry) {
            Ok(value) => {
                let group = self.fleet.inventory.add_stored_group(name, entry.version);
                for member in value.machines {
                    self.load_machine(now, group, member);
                }
            }
            Err(error) => tracing::error!(%error, "skipped an inventory group that can't be loaded"),
        }
    }

    /// Loads a machine that the stored inventory lists.
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
            ..Machine::new(&name, Offer { type_ix, zone, spot }, now)
        };
        let ix = self.workers.machines.insert(&name, machine);
        self.fleet.inventory.add_member(group_ix, ix);
    }

    /// Loads a machine request, which is sent to the cloud again until it is answered. Logs an
    /// error if the value can't be read.
    pub fn load_machine_request(&mut self, entry: &Entry) {
        match read_value::<MachineRequestRecord>(entry) {
            Ok(value) => self.fleet.add_machine_request(value, entry.version),
            Err(error) => tracing::error!(%error, "skipped a machine request that can't be loaded"),
        }
    }

    /// Loads a chunk of a job's tasks: the tasks that are done, and the attempts that may be
    /// running. Logs an error if the value can't be read or the job does not exist.
    pub fn load_chunk(&mut self, now: Millis, job: &str, number: u32, entry: &Entry) {
        if let Err(error) = self.try_load_chunk(now, job, number, entry) {
            tracing::error!(%error, "skipped a task chunk that can't be loaded");
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

    /// Loads an attempt that was open when its chunk was last written. It may still be running.
    fn load_attempt(&mut self, now: Millis, job_ix: JobIx, record: &OpenAttemptRecord) {
        let Some(machine_ix) = self.workers.machines.find(&record.machine) else {
            // A machine is removed from the inventory only after the cloud has confirmed its
            // deletion, so the attempt has ended.
            return;
        };
        let Some(job) = self.jobs.table.get_mut(job_ix) else {
            return;
        };
        let attempt = Attempt {
            // The former leader may have sent its start command.
            direct_start_token: Some(self.term.saturating_sub(1)),
            ..attempt_from_record(job_ix, job, machine_ix, record)
        };
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

    /// Completes loading: queues the clean-ups of ended jobs without open attempts, and the ends of
    /// complete jobs, since no later event would queue them.
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

/// Returns the attempt that a stored record describes.
fn attempt_from_record(job_ix: JobIx, job: &Job, machine: MachineIx, record: &OpenAttemptRecord) -> Attempt {
    Attempt {
        record: RecordState::Written,
        // The start time is not stored. The earliest possible time is assumed, because a task
        // that may have run for long must not be stopped as if it had just started.
        running_since: Some(0),
        stop_grace_s: job.ended.is_some().then_some(0.0),
        ..Attempt::new(job_ix, record.task, record.attempt, machine, record.agent_epoch)
    }
}
