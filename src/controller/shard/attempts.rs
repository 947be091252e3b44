//! The life of an attempt beyond one slice: how its end frees what it took, and what
//! follows for its job, its machine and its team.

use super::Shard;
use crate::Millis;
use crate::ids::{AttemptIx, ChunkId, Index, JobIx};
use crate::pipeline::error_pause;
use crate::resources::Resources;
use crate::wire::JobState;
use crate::workers::Outcome;

/// A machine that refused a task gets no new ones for this long.
const REFUSED_CORDON_MS: Millis = 1_000;

impl Shard {
    /// An attempt is proven over: frees what it took and decides what follows.
    pub fn close(&mut self, now: Millis, ix: AttemptIx, outcome: Outcome) {
        let Some(attempt) = self.workers.attempts.remove(ix) else {
            return;
        };
        self.workers.capacity_changed = true;
        let Some(job) = self.jobs.table.get_mut(attempt.job) else {
            return;
        };
        let resources = job.shape.resources;
        self.jobs.team_quotas[job.team.usize()].used.take(resources);
        job.open.remove(&attempt.task);
        if let Some(machine) = self.workers.machines.get_mut(attempt.machine) {
            machine.open.retain(|&other| other != ix);
            machine.used.take(resources);
            if machine.open.is_empty() {
                machine.used = Resources::default();
                machine.idle_since = now;
            }
            match outcome {
                Outcome::Done => machine.note_success(),
                Outcome::Refused => machine.cordoned_until = now + REFUSED_CORDON_MS,
                _ => {}
            }
        }
        if outcome == Outcome::Error {
            self.note_failure(now, &attempt);
        }
        let Some(job) = self.jobs.table.get_mut(attempt.job) else {
            return;
        };
        let number = job.chunk_of(attempt.task, self.jobs.chunk_tasks);
        match outcome {
            Outcome::Done => {
                job.errors = 0;
                job.failed_on.clear();
                job.done.insert(attempt.task);
            }
            Outcome::Error => {
                if !job.failed_on.contains(&attempt.machine) && job.failed_on.len() < 3 {
                    job.failed_on.push(attempt.machine);
                } else {
                    job.failed_on.clear();
                }
                let pause = if job.fails_everywhere() {
                    error_pause(job.errors)
                } else {
                    0
                };
                job.run_again(attempt.task, now + pause);
            }
            Outcome::Refused => job.run_again(attempt.task, now + 500),
            Outcome::Stopped | Outcome::Lost => job.run_again(attempt.task, now),
        }
        if job.ended.is_some() {
            if job.open.is_empty() {
                self.pending_writes.cleanups.insert(attempt.job);
            }
            return;
        }
        if let Some(chunk) = job.chunks.get_mut(number) {
            chunk.dirty = true;
        }
        self.pending_writes.chunks.insert(ChunkId {
            job: attempt.job,
            number: number as u32,
        });
        if job.complete() {
            self.pending_writes.finished.insert(attempt.job);
        }
    }

    /// A cancelled job: nothing more starts, and what is open has to end.
    pub(super) fn stop_all(&mut self, now: Millis, ix: JobIx) {
        let Some(job) = self.jobs.table.get(ix) else {
            return;
        };
        let open: Vec<AttemptIx> = job.open.values().copied().collect();
        for attempt_ix in open {
            let Some(attempt) = self.workers.attempts.get_mut(attempt_ix) else {
                continue;
            };
            attempt.stop = Some(0.0);
            let machine = attempt.machine;
            if !attempt.written && !attempt.writing {
                self.close(now, attempt_ix, Outcome::Lost);
            } else {
                self.workers.delivery_due.insert(machine);
            }
        }
        if self.jobs.table.get(ix).is_some_and(|job| job.open.is_empty()) {
            self.pending_writes.cleanups.insert(ix);
        }
    }

    /// After a transaction that was surely not applied: drops what was planned
    /// for jobs that have ended since.
    pub fn drop_unwritten(&mut self, now: Millis) {
        for ix in self.jobs.table.indices() {
            if self
                .jobs
                .table
                .get(ix)
                .is_some_and(|job| job.ended == Some(JobState::Cancelled))
            {
                self.stop_all(now, ix);
            }
        }
    }
}
