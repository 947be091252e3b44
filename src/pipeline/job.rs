//! One job: what its tasks ask for, which of them wait, are open or done, and how it
//! stands against the time at which it is due.

use super::{Chunk, DependencyTrigger, TaskSet};
use crate::Millis;
use crate::ids::{AttemptIx, ClassIx, ImageIx, MachineIx, TeamIx};
use crate::resources::Shape;
use crate::wire::{JobSpec, JobState, Priority};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// Failures, on different machines or at different times, after which a job none of
/// whose tasks was ever done is taken for one submitted with a mistake.
const FAILURES_OF_MISTAKEN_JOB: u32 = 3;
/// Without a start for this long a job starves: one of its tasks gets the next
/// room there is.
const STARVING_MS: Millis = 100_000;
/// A job this old goes before all younger ones, whatever their priority: the
/// order by priority and deadline alone could put it off for ever.
const OLD_MS: Millis = 300_000;
/// How long a job that is short of room keeps off machines that have it, since it failed
/// on them or they list an earlier attempt.
const LONG_SHORTAGE_MS: Millis = 10_000;
/// Waiting and fetching again, before a stopped task runs again.
const RESTART_MS: Millis = 45_000;
/// What a task that is started again may take, in terms of its estimate.
const RESTART_ESTIMATE_FACTOR: f64 = 1.5;

const FIRST_BACKOFF_MS: Millis = 500;
const LONGEST_BACKOFF_MS: Millis = 60_000;
/// The backoff doubles no more often than this.
const MOST_DOUBLINGS: u32 = 7;

/// How long a job that keeps failing waits before its next try: it is never
/// dropped, since only its user ends it, but it must not wear machines out.
pub fn failure_backoff(consecutive_failures: u32) -> Millis {
    match consecutive_failures.checked_sub(FAILURES_OF_MISTAKEN_JOB) {
        None => 0,
        Some(doublings) => (FIRST_BACKOFF_MS << doublings.min(MOST_DOUBLINGS)).min(LONGEST_BACKOFF_MS),
    }
}

/// A job with its shape in indices.
#[derive(Debug)]
pub struct Job {
    /// Its name, unique in the shard.
    pub id: String,
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// The team that owns it.
    pub team: TeamIx,
    /// The image that its tasks run in.
    pub image: ImageIx,
    /// Jobs of one class whose tasks also ask for the same: what demand is
    /// counted by.
    pub class: ClassIx,
    /// What each of its tasks asks of a machine.
    pub shape: Shape,
    /// When it was accepted, by time of day.
    pub accepted_ms: u64,
    /// When it should be complete by its class's objective or its deadline, by time of
    /// day.
    pub due_ms: u64,
    /// When its tasks have to start for that.
    pub start_by_ms: u64,
    /// Neither its class nor the job has an objective or a deadline: it runs in what
    /// the others leave.
    pub best_effort: bool,
    /// When one of its tasks was last placed, by time of day.
    pub last_start_ms: u64,
    /// The version of its key.
    pub key_version: u64,
    /// How it ended, if it has.
    pub ended: Option<JobState>,
    /// When its tasks may start.
    pub trigger: DependencyTrigger,
    /// Its tasks by the keys that hold them.
    pub chunks: Vec<Chunk>,
    /// The tasks that are done.
    pub done: TaskSet,
    /// Open attempts by task.
    pub open: BTreeMap<u32, AttemptIx>,
    /// Tasks from here on were never looked at since this leader began.
    pub first_unvisited_task: u32,
    /// Tasks to run again, not before the given time.
    pub retry_queue: VecDeque<(Millis, u32)>,
    /// Until when released tasks wait for a machine that holds the image. Once over,
    /// the job's tasks don't wait again.
    pub waiting_until: Option<Millis>,
    /// Since when no machine has room for its next task.
    pub shortage_since: Option<Millis>,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// The machines that they happened on.
    pub failed_on: Vec<MachineIx>,
}

impl Job {
    /// The place of the chunk that holds this task.
    pub fn chunk_index_of(&self, task: u32, tasks_per_chunk: u32) -> usize {
        (task / tasks_per_chunk) as usize
    }

    /// The tasks that a chunk holds.
    pub fn tasks_of_chunk(&self, number: u32, tasks_per_chunk: u32) -> Range<u32> {
        let first = number * tasks_per_chunk;
        first..(first + tasks_per_chunk).min(self.spec.tasks)
    }

    /// Its priority as submitted.
    pub fn priority(&self) -> Priority {
        self.spec.priority
    }

    /// Whether the zones open to it depend on where its tasks are.
    pub fn zones_depend_on_open_tasks(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Whether all its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Whether its tasks may be started.
    pub fn is_active(&self) -> bool {
        self.ended.is_none() && !self.is_complete() && self.trigger.fires()
    }

    /// How many tasks could start now or later, without those already open.
    pub fn waiting_tasks(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.open.len() as u32
    }

    /// Whether it has tasks to place, and other jobs have kept it from that for long.
    pub fn is_starving(&self, wall_clock_ms: u64) -> bool {
        self.is_active()
            && self.waiting_tasks() > 0
            && wall_clock_ms > self.last_start_ms.max(self.accepted_ms) + STARVING_MS
    }

    /// Whether its age puts it before younger jobs. Best-effort work goes first by its
    /// age only until one of its tasks runs: long tasks of one such class would else
    /// take all machines at once.
    pub fn has_age_priority(&self, wall_clock_ms: u64) -> bool {
        let eligible = !self.best_effort || self.open.is_empty();
        eligible && wall_clock_ms > self.accepted_ms + OLD_MS
    }

    /// Whether it failed on several machines and none of its tasks was ever done: most
    /// likely it was submitted with a mistake.
    pub fn is_likely_misconfigured(&self) -> bool {
        self.done.is_empty() && self.consecutive_failures >= FAILURES_OF_MISTAKEN_JOB
    }

    /// Whether one of its tasks, stopped now and started again, would still end well
    /// before the job is due. Best-effort work is never due.
    pub fn can_restart_in_time(&self, wall_clock_ms: u64) -> bool {
        if self.best_effort {
            return true;
        }
        let restart_ms = crate::millis(self.spec.estimate_s * RESTART_ESTIMATE_FACTOR) + RESTART_MS;
        wall_clock_ms + restart_ms < self.due_ms && !self.has_age_priority(wall_clock_ms)
    }

    /// Stops avoiding the machines that it failed on once it has been short of room for
    /// long: they may be the only ones that fit it.
    pub fn clear_failed_on_after_long_shortage(&mut self, now: Millis) {
        if self.has_long_shortage(now) {
            self.failed_on.clear();
        }
    }

    /// Whether it has found no room for so long that what keeps it off machines with
    /// room has to end.
    pub fn has_long_shortage(&self, now: Millis) -> bool {
        self.shortage_since.is_some_and(|since| now > since + LONG_SHORTAGE_MS)
    }

    /// The next task to place. It stays the next one until it is placed.
    pub fn next_task(&mut self, now: Millis) -> Option<u32> {
        if let Some(&(at, task)) = self.retry_queue.front()
            && at <= now
        {
            return Some(task);
        }
        while self.first_unvisited_task < self.spec.tasks {
            let task = self.first_unvisited_task;
            let retried = self.retry_queue.iter().any(|&(_, other)| other == task);
            if !retried && !self.done.contains(task) && !self.open.contains_key(&task) {
                return Some(task);
            }
            self.first_unvisited_task += 1;
        }
        None
    }

    /// The task that [`Job::next_task`] gave is placed.
    pub fn mark_task_placed(&mut self, task: u32) {
        match self.retry_queue.front() {
            Some(&(_, front)) if front == task => {
                self.retry_queue.pop_front();
            }
            _ => self.first_unvisited_task = task + 1,
        }
    }

    /// Places the task again, not before the given time.
    pub fn retry_task(&mut self, task: u32, at: Millis) {
        let position = self.retry_queue.partition_point(|&(other, _)| other <= at);
        self.retry_queue.insert(position, (at, task));
    }
}
