//! The jobs of the shard, with the quotas of their teams and the objectives of their classes.

use super::job_builder::{JobBuilder, JobError};
use super::{Job, TeamQuota, tasks_per_chunk};
use crate::Millis;
use crate::ids::{ClassIx, ImageIx, Index, Interner, JobIx, Table, TeamIx};
use crate::resources::Resources;
use crate::settings::{Objective, Params};
use crate::store::JobKey;
use crate::topology::Topology;
use std::collections::BTreeMap;

/// The jobs that have not been cleaned up yet, with the quotas of the teams that own them.
#[derive(Debug)]
pub struct Jobs {
    /// The jobs, by index and by id.
    pub table: Table<JobIx, Job>,
    team_names: Interner<TeamIx>,
    images: Interner<ImageIx>,
    classes: Interner<ClassIx>,
    /// The quota and the usage of each team, by team index.
    pub team_quotas: Vec<TeamQuota>,
    /// For each class with an objective of the kind `finished`, the time from acceptance within
    /// which its jobs should be complete, in milliseconds.
    finish_within: BTreeMap<String, Millis>,
    /// For each class with an objective of the kind `wait`, the time from acceptance within which
    /// the tasks of its jobs should start, in milliseconds.
    start_within: BTreeMap<String, Millis>,
    /// The number of tasks in a chunk, which are stored under one key.
    pub tasks_per_chunk: u32,
    /// The ids of jobs whose keys have been deleted from the state service and which still have
    /// to be removed here.
    deleted_jobs: Vec<String>,
}

impl Jobs {
    /// Creates an empty set of jobs with the teams and objectives of the settings.
    pub fn new(params: &Params) -> Jobs {
        let mut team_names = Interner::default();
        let mut team_quotas = Vec::new();
        for team in &params.teams {
            team_names.intern(&team.name);
            team_quotas.push(TeamQuota {
                guarantee: Resources::without_memory(team.cpus, team.gpus),
                limit: Resources::without_memory(team.cpus_max, team.gpus_max),
                used: Resources::default(),
            });
        }
        Jobs {
            table: Table::default(),
            team_names,
            images: Interner::default(),
            classes: Interner::default(),
            team_quotas,
            finish_within: shortest_objectives(&params.objectives, "finished"),
            start_within: shortest_objectives(&params.objectives, "wait"),
            tasks_per_chunk: tasks_per_chunk(params.state.value_kb),
            deleted_jobs: Vec::new(),
        }
    }

    /// Returns the job with this id.
    pub fn find(&self, id: &str) -> Option<&Job> {
        self.table.find(id).and_then(|ix| self.table.get(ix))
    }

    /// Adds a job from the value and the version of its key.
    pub fn add(&mut self, id: &str, key: &JobKey, version: u64, topology: &mut Topology) -> Result<JobIx, JobError> {
        let mut builder = JobBuilder {
            teams: &self.team_names,
            topology,
            images: &mut self.images,
            classes: &mut self.classes,
            finish_within: &self.finish_within,
            start_within: &self.start_within,
        };
        let job = builder.build(key, version, self.tasks_per_chunk)?;
        Ok(self.table.insert(id, job))
    }

    /// Returns the quota of a team, to change its usage.
    pub fn quota_mut(&mut self, team: TeamIx) -> &mut TeamQuota {
        &mut self.team_quotas[team.usize()]
    }

    /// Records that the key of this job has been deleted.
    pub fn note_deleted(&mut self, id: String) {
        self.deleted_jobs.push(id);
    }

    /// Returns the ids of the jobs recorded by [`Jobs::note_deleted`] since the last call.
    pub fn take_deleted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.deleted_jobs)
    }
}

/// Returns the shortest time, in milliseconds, of all objectives of this kind for each class.
fn shortest_objectives(objectives: &[Objective], kind: &str) -> BTreeMap<String, Millis> {
    let mut shortest: BTreeMap<String, Millis> = BTreeMap::new();
    for objective in objectives.iter().filter(|objective| objective.kind == kind) {
        if let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) {
            let within = crate::millis(within_s);
            let shortest_of_class = shortest.entry(class.clone()).or_insert(within);
            *shortest_of_class = within.min(*shortest_of_class);
        }
    }
    shortest
}
