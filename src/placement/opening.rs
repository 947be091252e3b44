//! Opens attempts: takes a task from its job and room from its team and its machine.

use super::PlacementContext;
use crate::Millis;
use crate::ids::{ChunkId, Index, JobIx, MachineIx};
use crate::pipeline::Job;
use crate::topology::Topology;
use crate::workers::{Attempt, Machine};

impl PlacementContext<'_> {
    /// Opens an attempt of a task on a machine, which starts once it is written. Returns
    /// the chunk that has to be written, if both the job and the machine are known.
    pub fn open_attempt(&mut self, job_ix: JobIx, task: u32, machine_ix: MachineIx) -> Option<ChunkId> {
        let job = self.jobs.table.get_mut(job_ix)?;
        let machine = self.workers.machines.get_mut(machine_ix)?;
        let chunk_number = job.chunk_of(task, self.jobs.chunk_tasks);
        let number = take_attempt_number(job, chunk_number);
        let attempt = Attempt::new(job_ix, task, number, machine_ix, machine.agent_epoch);
        take_task(job, task, self.now.wall_clock);
        self.jobs.team_quotas[job.team.usize()].used.add(job.shape.resources);
        take_room(machine, job, self.topology);
        let attempt_ix = self.workers.attempts.insert(attempt);
        machine.open.push(attempt_ix);
        job.open.insert(task, attempt_ix);
        Some(ChunkId {
            job: job_ix,
            number: chunk_number as u32,
        })
    }
}

/// The number of the next attempt in a chunk, which has to be written with it.
fn take_attempt_number(job: &mut Job, chunk_number: usize) -> u64 {
    let chunk = &mut job.chunks[chunk_number];
    let number = chunk.next;
    chunk.next += 1;
    chunk.mark_changed();
    number
}

/// Takes a task from those that wait.
fn take_task(job: &mut Job, task: u32, wall_clock: Millis) {
    job.task_placed(task);
    job.last_start_ms = wall_clock;
    if job.waiting_tasks() == 0 {
        job.short_since = None;
        job.waiting_until = None;
    }
}

/// Takes room on the machine, which fetches the job's image if it has not got it.
fn take_room(machine: &mut Machine, job: &Job, topology: &Topology) {
    machine.used.add(job.shape.resources);
    let info = topology.type_info[machine.type_ix.usize()].as_ref();
    let cache_gb = info.map_or(0.0, |info| info.cache_gb);
    machine.touch_image(job.image, job.spec.image_gb, cache_gb);
}
