//! Jobs of the shard as their leader sees them: triggers, firings, done sets.
//!
//! A job's tasks are kept in chunks; a chunk's key holds its done set, its open
//! attempts and the next attempt number. A firing is written there with its
//! placements before any of its tasks is started.

mod jobs;
mod quota;
mod taskset;
mod trigger;

pub use jobs::Jobs;
pub use quota::TeamQuota;
pub use taskset::TaskSet;
pub use trigger::BySet;

use crate::Millis;
use crate::ids::{AttemptIx, ClassIx, ImageIx, MachineIx, Names, TeamIx, TypeIx, ZoneIx};
use crate::resources::{Resources, Shape};
use crate::store::JobKey;
use crate::wire::{JobSpec, JobState, Priority};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An attempt written in a chunk: task, attempt number, machine, worker agent epoch.
pub type OpenRecord = (u32, u64, String, u64);

/// The value of a chunk's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkValue {
    /// Next attempt number: numbers rise within a chunk and are never reused.
    pub next: u64,
    pub done: String,
    pub open: Vec<OpenRecord>,
}

#[derive(Clone, Debug, Default)]
pub struct Chunk {
    pub version: u64,
    pub next: u64,
    /// Changed since its last write was built.
    pub dirty: bool,
    /// In the transaction now in flight.
    pub writing: bool,
    /// When its last write was built.
    pub drafted_at: Millis,
}

impl Chunk {
    pub fn written(&self) -> bool {
        !self.dirty && !self.writing
    }
}

/// A job with its shape in indices.
#[derive(Debug)]
pub struct Job {
    pub id: String,
    pub spec: JobSpec,
    pub team: TeamIx,
    pub image: ImageIx,
    /// Jobs of one class whose tasks also ask for the same: what demand is
    /// counted by.
    pub class: ClassIx,
    pub shape: Shape,
    pub accepted_ms: u64,
    /// When it should be complete by its class's aim or its deadline, by time of
    /// day, and when its tasks have to start for that.
    pub due_ms: u64,
    pub start_by_ms: u64,
    /// Neither its class nor the job has an aim or a deadline: it runs in what the
    /// others leave.
    pub best_effort: bool,
    /// When one of its tasks was last placed, by time of day.
    pub last_start_ms: u64,
    pub key_version: u64,
    pub ended: Option<JobState>,
    pub trigger: BySet,
    pub chunks: Vec<Chunk>,
    pub done: TaskSet,
    /// Open attempts by task.
    pub open: BTreeMap<u32, AttemptIx>,
    /// Tasks from here on were never looked at since this leader began.
    pub fresh: u32,
    /// Tasks to run again, not before the given time.
    pub retry: VecDeque<(Millis, u32)>,
    /// Until when released tasks wait for a machine that holds the image. Once over,
    /// the job's tasks don't wait again.
    pub waiting_until: Option<Millis>,
    /// Since when no machine has room for its next task.
    pub short_since: Option<Millis>,
    /// Failures in a row, and the machines they happened on.
    pub errors: u32,
    pub failed_on: Vec<MachineIx>,
}

impl Job {
    pub fn chunk_of(&self, task: u32, chunk_tasks: u32) -> usize {
        (task / chunk_tasks) as usize
    }

    pub fn priority(&self) -> Priority {
        self.spec.priority
    }

    /// Whether the zones open to it depend on where its tasks are.
    pub fn is_bound_to_zones(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    pub fn complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    pub fn live(&self) -> bool {
        self.ended.is_none() && !self.complete() && self.trigger.fires()
    }

    /// Tasks that could start now or later, without those already open.
    pub fn waiting(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.open.len() as u32
    }

    /// It has tasks to place, and the others have kept it from it for long.
    pub fn starving(&self, wall_clock_ms: u64) -> bool {
        self.live() && self.waiting() > 0 && wall_clock_ms > self.last_start_ms.max(self.accepted_ms) + STARVING_MS
    }

    /// Best-effort work is put first by its age only until one of its tasks runs:
    /// long tasks of one such class would else take all machines at once.
    pub fn old(&self, wall_clock_ms: u64) -> bool {
        let goes_first = !self.best_effort || self.open.is_empty();
        goes_first && wall_clock_ms > self.accepted_ms + OLD_MS
    }

    /// It failed on several machines and never got on: most likely it was
    /// submitted with a mistake.
    pub fn fails_everywhere(&self) -> bool {
        self.done.is_empty() && self.errors >= FAILS_EVERYWHERE
    }

    /// Whether one of its tasks, started again at `wall_ms`, would still end
    /// well before the job is due. Best-effort work is never due.
    pub fn has_slack(&self, wall_clock_ms: u64) -> bool {
        if self.best_effort {
            return true;
        }
        let again = crate::millis(self.spec.estimate_s * 1.5) + SLACK_MS;
        wall_clock_ms + again < self.due_ms && !self.old(wall_clock_ms)
    }

    /// Short of room for long: the machines that it failed on may be the only ones
    /// that fit it.
    pub fn forgive(&mut self, now: Millis) {
        if self.short_since.is_some_and(|since| now > since + AVOID_MS) {
            self.failed_on.clear();
        }
    }

    /// The next task to place, without taking it.
    pub fn peek(&mut self, now: Millis) -> Option<u32> {
        if let Some(&(at, task)) = self.retry.front()
            && at <= now
        {
            return Some(task);
        }
        while self.fresh < self.spec.tasks {
            let task = self.fresh;
            let again = self.retry.iter().any(|&(_, other)| other == task);
            if !again && !self.done.contains(task) && !self.open.contains_key(&task) {
                return Some(task);
            }
            self.fresh += 1;
        }
        None
    }

    /// Takes the task that [`Job::peek`] gave.
    pub fn take(&mut self, task: u32) {
        match self.retry.front() {
            Some(&(_, front)) if front == task => {
                self.retry.pop_front();
            }
            _ => self.fresh = task + 1,
        }
    }

    pub fn run_again(&mut self, task: u32, at: Millis) {
        let position = self.retry.partition_point(|&(other, _)| other <= at);
        self.retry.insert(position, (at, task));
    }
}

/// Failures, on different machines or at different times, after which a job that
/// never got on is taken for one submitted with a mistake.
const FAILS_EVERYWHERE: u32 = 3;
/// Without a start for this long a job starves: one of its tasks gets the next
/// room there is.
const STARVING_MS: Millis = 100_000;
/// A job this old goes before all younger ones, whatever their priority: the
/// order by priority and deadline alone could put it off for ever.
const OLD_MS: Millis = 300_000;
/// How long a job that is short of room keeps off the machines it failed on.
const AVOID_MS: Millis = 10_000;
const NO_AIM_MS: Millis = 600_000;
/// Waiting and fetching again, before a stopped task runs again.
const SLACK_MS: Millis = 45_000;

/// How long a job that keeps failing waits before its next try: it is never
/// dropped, since only its user ends it, but it must not wear machines out.
pub fn error_pause(errors: u32) -> Millis {
    match errors {
        0..=2 => 0,
        n => (500u64 << (n - 3).min(7)).min(60_000),
    }
}

/// Tasks a chunk holds so that its value, all tasks open, stays within limits.
pub fn chunk_tasks(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 * 0.8 / 52.0) as u32).clamp(8, 240)
}

/// The shape of a job in indices, or why it can't be taken.
pub struct JobBuilder<'a> {
    pub teams: &'a Names<TeamIx>,
    pub types: &'a mut Names<TypeIx>,
    pub zones: &'a mut Names<ZoneIx>,
    pub images: &'a mut Names<ImageIx>,
    pub classes: &'a mut Names<ClassIx>,
    /// In which time jobs of a class should be complete.
    pub due: &'a BTreeMap<String, Millis>,
    /// In which time their tasks should be started.
    pub start_within: &'a BTreeMap<String, Millis>,
}

impl JobBuilder<'_> {
    pub fn admit(&mut self, key: &JobKey, version: u64, chunk_tasks: u32) -> Option<Job> {
        let spec = key.spec.clone();
        let team = self.teams.get(&spec.team)?;
        let shape = Shape {
            resources: Resources {
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory_gb: spec.memory_gb,
            },
            types: spec
                .types
                .as_ref()
                .map(|types| types.iter().map(|name| self.types.intern(name)).collect()),
            zone: spec.zone.as_ref().map(|zone| self.zones.intern(zone)),
            spot: spec.spot,
        };
        let chunks = spec.tasks.div_ceil(chunk_tasks) as usize;
        let class_due = self.due.get(&spec.class).copied();
        let own_due = spec.deadline_s.map(crate::millis);
        let due_ms = match class_due.into_iter().chain(own_due).min() {
            Some(within) => key.accepted_ms + within,
            // No aim of its own: in order of arrival behind those soon due.
            None => key.accepted_ms + NO_AIM_MS,
        };
        let start_within = self.start_within.get(&spec.class);
        let best_effort = class_due.is_none() && own_due.is_none() && start_within.is_none();
        let start_by_ms = if best_effort {
            due_ms
        } else {
            let latest_start = due_ms.saturating_sub(crate::millis(spec.estimate_s));
            start_within.map_or(latest_start, |within| latest_start.min(key.accepted_ms + within))
        };
        Some(Job {
            id: spec.id.clone(),
            team,
            image: self.images.intern(&spec.image),
            class: self.classes.intern(&format!("{} {shape:?}", spec.class)),
            shape,
            accepted_ms: key.accepted_ms,
            due_ms,
            start_by_ms,
            best_effort,
            last_start_ms: 0,
            key_version: version,
            ended: key.ended,
            // Jobs have no upstream today: an empty set fires at once.
            trigger: BySet::new([]),
            chunks: vec![
                Chunk {
                    next: 1,
                    ..Chunk::default()
                };
                chunks
            ],
            done: TaskSet::new(spec.tasks),
            open: BTreeMap::new(),
            fresh: 0,
            retry: VecDeque::new(),
            waiting_until: None,
            short_since: None,
            errors: 0,
            failed_on: Vec::new(),
            spec,
        })
    }
}
