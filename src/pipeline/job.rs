//! A job: what its tasks ask for, which of them are waiting, open or done, and how urgent the
//! job is with regard to its due time and its age.

use super::{Chunk, DependencyTrigger, TaskSet};
use crate::Millis;
use crate::ids::{AttemptIx, ClassIx, ImageIx, MachineIx, TeamIx};
use crate::resources::Shape;
use crate::wire::{JobSpec, JobState, Priority};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// The number of failures, on different machines or at different times, after which a job
/// without any finished task is considered to have been submitted with a mistake.
const FAILURES_UNTIL_MISCONFIGURED: u32 = 3;
/// A job with waiting tasks is starving if none of its tasks has been placed for this long.
/// One of its tasks is then placed before all other jobs.
const STARVATION_MS: Millis = 100_000;
/// A job older than this is ordered like a guaranteed production job, whatever its own priority.
/// The order by priority and deadline alone could delay it forever.
const AGE_PRIORITY_MS: Millis = 300_000;
/// How long a job that is short of room keeps avoiding machines that have room, because its
/// tasks failed on them or because they list an earlier attempt.
const LONG_SHORTAGE_MS: Millis = 10_000;
/// The assumed time until a stopped task runs again: waiting for room and fetching the image.
const RESTART_DELAY_MS: Millis = 45_000;
/// The assumed duration of a restarted task, as a multiple of its estimate.
const RESTART_ESTIMATE_FACTOR: f64 = 1.5;

const MIN_BACKOFF_MS: Millis = 500;
const MAX_BACKOFF_MS: Millis = 60_000;
/// The backoff is doubled at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 7;

/// Returns how long, in milliseconds, a job that keeps failing waits before its next attempt.
/// The job is never dropped, since only its user may end it, but its attempts must not keep
/// machines busy.
pub fn failure_backoff(consecutive_failures: u32) -> Millis {
    match consecutive_failures.checked_sub(FAILURES_UNTIL_MISCONFIGURED) {
        None => 0,
        Some(doublings) => (MIN_BACKOFF_MS << doublings.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF_MS),
    }
}

/// A job that has not been cleaned up yet, with its names resolved to indices.
#[derive(Debug)]
pub struct Job {
    /// The job's id, unique in the shard.
    pub id: String,
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// The team that owns it.
    pub team: TeamIx,
    /// The container image that its tasks run in.
    pub image: ImageIx,
    /// The class by which demand is counted: jobs of the same submitted class whose tasks also
    /// have the same shape.
    pub class: ClassIx,
    /// What each of its tasks requires of a machine.
    pub shape: Shape,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// When the job should be complete according to its class's objective or its own deadline,
    /// in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// The latest start of its tasks that meets its objectives and its deadline, in
    /// milliseconds since the Unix epoch.
    pub start_by_ms: u64,
    /// Whether neither its class has an objective nor the job a deadline. Such a job uses the
    /// capacity that other jobs leave.
    pub best_effort: bool,
    /// When one of its tasks was last placed, in milliseconds since the Unix epoch; 0 if none
    /// has been placed by this leader.
    pub last_start_ms: u64,
    /// The version of the job's key in the state service.
    pub key_version: u64,
    /// How the job ended; `None` while it is unfinished.
    pub ended: Option<JobState>,
    /// Decides when its tasks may start.
    pub trigger: DependencyTrigger,
    /// The chunks of its tasks, by chunk number. Each chunk has a key of its own.
    pub chunks: Vec<Chunk>,
    /// The tasks that have finished successfully.
    pub done: TaskSet,
    /// The open attempts, by task number.
    pub open: BTreeMap<u32, AttemptIx>,
    /// The first task that [`Job::next_task`] has not yet passed over since this leader
    /// started.
    pub first_unvisited_task: u32,
    /// Tasks to run again, each with the earliest time of its next attempt on the monotonic
    /// clock, in the order of these times.
    pub retry_queue: VecDeque<(Millis, u32)>,
    /// Until when, on the monotonic clock, waiting tasks wait for a machine that has the image
    /// cached. Once this time has passed, the tasks don't wait for such a machine again. Cleared
    /// when no task is left waiting.
    pub cache_wait_until: Option<Millis>,
    /// Since when, on the monotonic clock, no machine has had room for its next task; `None`
    /// while there is no shortage.
    pub shortage_since: Option<Millis>,
    /// The number of failures counted against the job since a task last finished successfully.
    /// See [`Workers::note_failure`](crate::workers::Workers::note_failure) for which count.
    pub consecutive_failures: u32,
    /// The machines that the job avoids because its tasks failed there.
    pub failed_on: Vec<MachineIx>,
}

impl Job {
    /// Returns the index in [`Job::chunks`] of the chunk that holds this task.
    pub fn chunk_index_of(&self, task: u32, tasks_per_chunk: u32) -> usize {
        (task / tasks_per_chunk) as usize
    }

    /// Returns the range of tasks that a chunk holds.
    pub fn tasks_of_chunk(&self, number: u32, tasks_per_chunk: u32) -> Range<u32> {
        let first = number * tasks_per_chunk;
        first..(first + tasks_per_chunk).min(self.spec.tasks)
    }

    /// Returns the priority with which the job was submitted.
    pub fn priority(&self) -> Priority {
        self.spec.priority
    }

    /// Whether the zones in which its next task may run depend on the zones of its open tasks.
    pub fn zones_depend_on_open_tasks(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Whether all its tasks have finished successfully.
    pub fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Whether the job is unfinished and its tasks may be started.
    pub fn is_active(&self) -> bool {
        self.ended.is_none() && !self.is_complete() && self.trigger.fires()
    }

    /// Returns the number of tasks that are neither done nor open, and so start now or later.
    pub fn waiting_tasks(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.open.len() as u32
    }

    /// Whether the job has waiting tasks, but none has been placed for a long time.
    pub fn is_starving(&self, wall_clock_ms: u64) -> bool {
        self.is_active()
            && self.waiting_tasks() > 0
            && wall_clock_ms > self.last_start_ms.max(self.accepted_ms) + STARVATION_MS
    }

    /// Whether the job is ordered like a guaranteed production job because of its age. A
    /// best-effort job has age priority only while none of its tasks is open: otherwise, long
    /// tasks of one such class could take all machines at once.
    pub fn has_age_priority(&self, wall_clock_ms: u64) -> bool {
        let eligible = !self.best_effort || self.open.is_empty();
        eligible && wall_clock_ms > self.accepted_ms + AGE_PRIORITY_MS
    }

    /// Whether the job has failed repeatedly and none of its tasks has ever been done. Most
    /// likely it was submitted with a mistake.
    pub fn is_likely_misconfigured(&self) -> bool {
        self.done.is_empty() && self.consecutive_failures >= FAILURES_UNTIL_MISCONFIGURED
    }

    /// Whether a task that is stopped now and started again would still end before the job is
    /// due, with a margin. Best-effort jobs have no due time, so this is always true for them;
    /// for other jobs with age priority it is false.
    pub fn can_restart_in_time(&self, wall_clock_ms: u64) -> bool {
        if self.best_effort {
            return true;
        }
        let restart_ms = crate::millis(self.spec.estimate_s * RESTART_ESTIMATE_FACTOR) + RESTART_DELAY_MS;
        wall_clock_ms + restart_ms < self.due_ms && !self.has_age_priority(wall_clock_ms)
    }

    /// Stops avoiding the machines on which its tasks failed once the job has been short of
    /// room for a long time. They may be the only machines that its tasks fit on.
    pub fn clear_failed_on_after_long_shortage(&mut self, now: Millis) {
        if self.has_long_shortage(now) {
            self.failed_on.clear();
        }
    }

    /// Whether the job has been short of room for so long that it must no longer avoid any
    /// machine with room.
    fn has_long_shortage(&self, now: Millis) -> bool {
        self.shortage_since.is_some_and(|since| now > since + LONG_SHORTAGE_MS)
    }

    /// Returns the next task to place, if any, without removing it. Call
    /// [`Job::mark_task_placed`] once it is placed.
    pub fn next_task(&mut self, now: Millis) -> Option<u32> {
        if let Some(&(at, task)) = self.retry_queue.front()
            && at <= now
        {
            return Some(task);
        }
        while self.first_unvisited_task < self.spec.tasks {
            let task = self.first_unvisited_task;
            let is_queued_for_retry = self.retry_queue.iter().any(|&(_, other)| other == task);
            if !is_queued_for_retry && !self.done.contains(task) && !self.open.contains_key(&task) {
                return Some(task);
            }
            self.first_unvisited_task += 1;
        }
        None
    }

    /// Whether an attempt of this task may be opened, with regard to the value of its chunk.
    pub fn chunk_accepts_attempt(&self, task: u32, tasks_per_chunk: u32) -> bool {
        let number = self.chunk_index_of(task, tasks_per_chunk);
        let Some(chunk) = self.chunks.get(number) else {
            return false;
        };
        chunk.accepts_attempt(|| {
            let tasks = self.tasks_of_chunk(number as u32, tasks_per_chunk);
            self.open.range(tasks).count() as u32
        })
    }

    /// Records that the task returned by [`Job::next_task`] has been placed.
    pub fn mark_task_placed(&mut self, task: u32) {
        match self.retry_queue.front() {
            Some(&(_, front)) if front == task => {
                self.retry_queue.pop_front();
            }
            _ => self.first_unvisited_task = task + 1,
        }
    }

    /// Queues the task to be placed again, not before the given time on the monotonic clock.
    pub fn retry_task(&mut self, task: u32, at: Millis) {
        let position = self.retry_queue.partition_point(|&(other, _)| other <= at);
        self.retry_queue.insert(position, (at, task));
    }
}
