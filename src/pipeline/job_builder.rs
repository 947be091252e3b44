//! Builds a [`Job`] from the value of its key.

use super::{Chunk, DependencyTrigger, Job, TaskSet};
use crate::Millis;
use crate::ids::{ClassIx, ImageIx, Interner, TeamIx};
use crate::resources::{Resources, Shape};
use crate::store::JobKey;
use crate::topology::Topology;
use crate::wire::JobSpec;
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// The time from acceptance after which a job without an objective or a deadline is treated as
/// due. Such jobs are ordered by arrival, behind the jobs that are due soon.
const DUE_WITHOUT_OBJECTIVE_MS: Millis = 600_000;

/// Why a job can't be added to the shard.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobError {
    /// The settings have no team of this name.
    #[error("the team `{team}` is unknown")]
    UnknownTeam {
        /// The team name in the job's specification.
        team: String,
    },
}

/// Builds jobs: resolves names to indices and computes due times from objectives.
pub(super) struct JobBuilder<'a> {
    pub teams: &'a Interner<TeamIx>,
    pub topology: &'a mut Topology,
    pub images: &'a mut Interner<ImageIx>,
    pub classes: &'a mut Interner<ClassIx>,
    /// For each class, the time from acceptance within which jobs should be complete, in
    /// milliseconds.
    pub finish_within: &'a BTreeMap<String, Millis>,
    /// For each class, the time from acceptance within which tasks should start, in
    /// milliseconds.
    pub start_within: &'a BTreeMap<String, Millis>,
}

/// When a job should be complete and when its tasks have to start to achieve that, in
/// milliseconds since the Unix epoch.
struct Schedule {
    due_ms: u64,
    start_by_ms: u64,
    /// Whether neither an objective of the class nor a deadline sets these times.
    best_effort: bool,
}

impl JobBuilder<'_> {
    /// Builds the job of a key with this version. None of its tasks is open or done yet.
    pub fn build(&mut self, key: &JobKey, version: u64, tasks_per_chunk: u32) -> Result<Job, JobError> {
        let spec = key.spec.clone();
        let Some(team) = self.teams.get(&spec.team) else {
            return Err(JobError::UnknownTeam { team: spec.team });
        };
        let shape = self.shape(&spec);
        let schedule = self.schedule(&spec, key.accepted_ms);
        let chunks = spec.tasks.div_ceil(tasks_per_chunk) as usize;
        Ok(Job {
            id: spec.id.clone(),
            team,
            image: self.images.intern(&spec.image),
            class: self.classes.intern(&format!("{} {shape:?}", spec.class)),
            shape,
            accepted_ms: key.accepted_ms,
            due_ms: schedule.due_ms,
            start_by_ms: schedule.start_by_ms,
            best_effort: schedule.best_effort,
            last_start_ms: 0,
            key_version: version,
            ended: key.ended,
            // Jobs can't depend on other jobs yet: an empty set fires at once.
            trigger: DependencyTrigger::new([]),
            chunks: vec![Chunk::new(); chunks],
            done: TaskSet::new(spec.tasks),
            open: BTreeMap::new(),
            first_unvisited_task: 0,
            retry_queue: VecDeque::new(),
            cache_wait_until: None,
            shortage_since: None,
            consecutive_failures: 0,
            failed_on: Vec::new(),
            spec,
        })
    }

    /// Returns the shape of the job's tasks, with machine types and zone as indices.
    fn shape(&mut self, spec: &JobSpec) -> Shape {
        let types = spec.types.as_ref();
        Shape {
            resources: Resources {
                cpus: spec.cpus,
                gpus: spec.gpus,
                memory_gb: spec.memory_gb,
            },
            types: types.map(|types| types.iter().map(|name| self.topology.type_ix(name)).collect()),
            zone: spec.zone.as_ref().map(|zone| self.topology.zones.intern(zone)),
            spot: spec.spot,
        }
    }

    /// Computes the due time and the latest start from the objectives of the job's class and
    /// its own deadline. The earlier of two due times or starts applies.
    fn schedule(&self, spec: &JobSpec, accepted_ms: u64) -> Schedule {
        let class_finish_within = self.finish_within.get(&spec.class).copied();
        let deadline = spec.deadline_s.map(crate::millis);
        let within = class_finish_within.into_iter().chain(deadline).min();
        let due_ms = accepted_ms + within.unwrap_or(DUE_WITHOUT_OBJECTIVE_MS);
        let start_within = self.start_within.get(&spec.class);
        if within.is_none() && start_within.is_none() {
            return Schedule {
                due_ms,
                start_by_ms: due_ms,
                best_effort: true,
            };
        }
        let latest_start = due_ms.saturating_sub(crate::millis(spec.estimate_s));
        Schedule {
            due_ms,
            start_by_ms: start_within.map_or(latest_start, |within| latest_start.min(accepted_ms + within)),
            best_effort: false,
        }
    }
}
