//! The jobs of the shard, and what they are counted and judged by.

use super::job_builder::{JobBuilder, JobError};
use super::{Job, TeamQuota, chunk_tasks};
use crate::Millis;
use crate::ids::{ClassIx, ImageIx, Index, Interner, JobIx, Table, TeamIx};
use crate::resources::Resources;
use crate::settings::{Objective, Params};
use crate::store::JobKey;
use crate::topology::Topology;
use std::collections::BTreeMap;

/// The jobs that have not been cleaned up yet, with the teams that own them.
#[derive(Debug)]
pub struct Jobs {
    /// The jobs by their ids.
    pub table: Table<JobIx, Job>,
    team_names: Interner<TeamIx>,
    images: Interner<ImageIx>,
    classes: Interner<ClassIx>,
    /// What each team is guaranteed, may use and uses.
    pub team_quotas: Vec<TeamQuota>,
    /// In which time jobs of a class should be complete.
    due: BTreeMap<String, Millis>,
    /// In which time their tasks should be started.
    start_within: BTreeMap<String, Millis>,
    /// Tasks that are kept under one key.
    pub chunk_tasks: u32,
    /// Jobs whose keys were seen to be gone.
    deleted_jobs: Vec<String>,
}

impl Jobs {
    /// No jobs yet, of the teams and with the objectives of the settings.
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
            due: shortest_objectives(&params.objectives, "finished"),
            start_within: shortest_objectives(&params.objectives, "wait"),
            chunk_tasks: chunk_tasks(params.state.value_kb),
            deleted_jobs: Vec::new(),
        }
    }

    /// The job of this id.
    pub fn find(&self, id: &str) -> Option<&Job> {
        self.table.find(id).and_then(|ix| self.table.get(ix))
    }

    /// Adds a job that appeared, as its key has it.
    pub fn add(&mut self, id: &str, key: &JobKey, version: u64, topology: &mut Topology) -> Result<JobIx, JobError> {
        let mut builder = JobBuilder {
            teams: &self.team_names,
            topology,
            images: &mut self.images,
            classes: &mut self.classes,
            due: &self.due,
            start_within: &self.start_within,
        };
        let job = builder.build(key, version, self.chunk_tasks)?;
        Ok(self.table.insert(id, job))
    }

    /// The quota of a team.
    pub fn quota_mut(&mut self, team: TeamIx) -> &mut TeamQuota {
        &mut self.team_quotas[team.usize()]
    }

    /// The key of this job was seen to be gone.
    pub fn note_deleted(&mut self, id: String) {
        self.deleted_jobs.push(id);
    }

    /// Takes the jobs whose keys were seen to be gone.
    pub fn take_deleted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.deleted_jobs)
    }
}

/// For each class, the shortest time that an objective of this kind asks for.
fn shortest_objectives(objectives: &[Objective], kind: &str) -> BTreeMap<String, Millis> {
    let mut shortest: BTreeMap<String, Millis> = BTreeMap::new();
    for objective in objectives.iter().filter(|objective| objective.kind == kind) {
        if let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) {
            let within = crate::millis(within_s);
            let least = shortest.entry(class.clone()).or_insert(within);
            *least = within.min(*least);
        }
    }
    shortest
}
