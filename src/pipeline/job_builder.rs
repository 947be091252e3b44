//! Makes a [`Job`] of the value of its key.

use super::{BySet, Chunk, Job, TaskSet};
use crate::Millis;
use crate::ids::{ClassIx, ImageIx, Interner, TeamIx};
use crate::resources::{Resources, Shape};
use crate::store::JobKey;
use crate::topology::Topology;
use crate::wire::JobSpec;
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// When a job without an objective or a deadline is taken to be due: in order of
/// arrival behind those soon due.
const DUE_WITHOUT_OBJECTIVE_MS: Millis = 600_000;

/// Why a job can't be taken into the shard.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobError {
    /// The settings have no team of this name.
    #[error("the team `{team}` is unknown")]
    UnknownTeam {
        /// The name that the job gives.
        team: String,
    },
}

/// The names and objectives by which jobs are put into indices.
pub(super) struct JobBuilder<'a> {
    pub teams: &'a Interner<TeamIx>,
    pub topology: &'a mut Topology,
    pub images: &'a mut Interner<ImageIx>,
    pub classes: &'a mut Interner<ClassIx>,
    /// In which time jobs of a class should be complete.
    pub due: &'a BTreeMap<String, Millis>,
    /// In which time their tasks should be started.
    pub start_within: &'a BTreeMap<String, Millis>,
}

/// When a job should be complete, and when its tasks have to start for that.
struct Schedule {
    due_ms: u64,
    start_by_ms: u64,
    best_effort: bool,
}

impl JobBuilder<'_> {
    /// The job of a key that has this version, with none of its tasks open or done.
    pub fn build(&mut self, key: &JobKey, version: u64, chunk_tasks: u32) -> Result<Job, JobError> {
        let spec = key.spec.clone();
        let Some(team) = self.teams.get(&spec.team) else {
            return Err(JobError::UnknownTeam { team: spec.team });
        };
        let shape = self.shape(&spec);
        let schedule = self.schedule(&spec, key.accepted_ms);
        let chunks = spec.tasks.div_ceil(chunk_tasks) as usize;
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
            // Jobs have no upstream today: an empty set fires at once.
            trigger: BySet::new([]),
            chunks: vec![Chunk::new(); chunks],
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

    fn schedule(&self, spec: &JobSpec, accepted_ms: u64) -> Schedule {
        let class_due = self.due.get(&spec.class).copied();
        let own_due = spec.deadline_s.map(crate::millis);
        let within = class_due.into_iter().chain(own_due).min();
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
