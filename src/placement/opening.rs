//! Opens attempts: removes a task from the job's waiting tasks and charges its resources to
//! the team's quota and the machine.

use super::PlacementContext;
use crate::Millis;
use crate::ids::{ChunkId, Index, JobIx, MachineIx};
use crate::pipeline::Job;
use crate::topology::Topology;
use crate::workers::{Attempt, Machine};

impl PlacementContext<'_> {
    /// Opens an attempt of a task on a machine. The attempt starts once its chunk is written to
    /// the state service. Returns that chunk, or `None` if the job or the machine is not known.
    pub fn open_attempt(&mut self, job_ix: JobIx, task: u32, machine_ix: MachineIx) -> Option<ChunkId> {
        let job = self.jobs.table.get_mut(job_ix)?;
        let machine = self.workers.machines.get_mut(machine_ix)?;
        let chunk_number = job.chunk_index_of(task, self.jobs.tasks_per_chunk);
        let number = take_attempt_number(job, chunk_number);
        let attempt = Attempt::new(job_ix, task, number, machine_ix, machine.agent_epoch);
        take_task(job, task, self.now.wall_clock);
        self.jobs.team_quotas[job.team.usize()].used.add(job.shape.resources);
        charge_machine(machine, job, self.topology);
        let attempt_ix = self.workers.attempts.insert(attempt);
        machine.open.push(attempt_ix);
        job.open.insert(task, attempt_ix);
        Some(ChunkId {
            job: job_ix,
            number: chunk_number as u32,
        })
    }
}

/// Takes the next attempt number of a chunk and marks the chunk as changed, since the number
/// has to be written.
fn take_attempt_number(job: &mut Job, chunk_number: usize) -> u64 {
    let chunk = &mut job.chunks[chunk_number];
    let number = chunk.next_attempt;
    chunk.next_attempt += 1;
    chunk.mark_changed();
    number
}

/// Removes a task from the job's waiting tasks. The last one also ends the job's shortage of
/// room and its wait for a cached image.
fn take_task(job: &mut Job, task: u32, wall_clock: Millis) {
    job.mark_task_placed(task);
    job.last_start_ms = wall_clock;
    if job.waiting_tasks() == 0 {
        job.shortage_since = None;
        job.cache_wait_until = None;
    }
}

/// Charges a task's resources to the machine and records that the machine uses the job's
/// image, which it fetches if it is not cached.
fn charge_machine(machine: &mut Machine, job: &Job, topology: &Topology) {
    machine.used.add(job.shape.resources);
    let info = topology.type_info[machine.type_ix.usize()].as_ref();
    let cache_gb = info.map_or(0.0, |info| info.cache_gb);
    machine.touch_image(job.image, job.spec.image_gb, cache_gb);
}
