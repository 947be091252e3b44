//! The jobs of the shard, and what they are counted and judged by.

use super::{Job, TeamQuota, chunk_tasks};
use crate::Millis;
use crate::ids::{ClassIx, ImageIx, JobIx, Names, Table, TeamIx};
use crate::resources::Resources;
use crate::settings::{Objective, Params};
use std::collections::BTreeMap;

/// The jobs that have not been cleaned up yet, with the teams that own them.
#[derive(Debug)]
pub struct Jobs {
    pub table: Table<JobIx, Job>,
    pub team_names: Names<TeamIx>,
    pub images: Names<ImageIx>,
    pub classes: Names<ClassIx>,
    pub team_quotas: Vec<TeamQuota>,
    /// In which time jobs of a class should be complete.
    pub due: BTreeMap<String, Millis>,
    /// In which time their tasks should be started.
    pub start_within: BTreeMap<String, Millis>,
    /// Tasks that are kept under one key.
    pub chunk_tasks: u32,
    /// Jobs whose keys were seen to be gone.
    pub deleted_jobs: Vec<String>,
}

impl Jobs {
    /// No jobs yet, of the teams and with the objectives of the settings.
    pub fn new(params: &Params) -> Jobs {
        let mut team_names = Names::default();
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
            images: Names::default(),
            classes: Names::default(),
            team_quotas,
            due: shortest_objectives(&params.objectives, "finished"),
            start_within: shortest_objectives(&params.objectives, "wait"),
            chunk_tasks: chunk_tasks(params.state.value_kb),
            deleted_jobs: Vec::new(),
        }
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
