//! In which order jobs are placed.

use crate::Millis;
use crate::ids::{Index, JobIx};
use crate::pipeline::{Job, Jobs};
use crate::resources::Resources;
use crate::wire::Priority;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Quotas are sums of floating-point numbers.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Live jobs none of whose tasks was placed for long, the oldest first.
pub fn starving_jobs(jobs: &Jobs, wall_clock: Millis) -> Vec<JobIx> {
    let starving = jobs.table.iter().filter(|(_, job)| job.is_starving(wall_clock));
    let mut by_arrival: Vec<_> = starving.map(|(ix, job)| (job.accepted_ms, ix)).collect();
    by_arrival.sort_unstable();
    by_arrival.into_iter().map(|(_, ix)| ix).collect()
}

/// Live jobs with tasks to place, in the order in which they are served.
pub fn placement_order(jobs: &Jobs, wall_clock: Millis) -> Vec<JobIx> {
    let guaranteed = guaranteed_jobs(jobs);
    let to_place = jobs
        .table
        .iter()
        .filter(|(_, job)| job.is_active() && job.waiting_tasks() > 0);
    let mut ranked: Vec<(Rank, JobIx)> = to_place
        .map(|(ix, job)| (Rank::new(job, guaranteed.contains(&ix), wall_clock), ix))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, ix)| ix).collect()
}

/// What the order of placement goes by, the first field first; the lowest rank is
/// served first. Old jobs rank above all.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Beyond the guarantee of its team.
    beyond_guarantee: bool,
    priority: Reverse<Priority>,
    /// It can't meet its deadline any more, and lets the others pass.
    missed_deadline: bool,
    /// The latest start that meets its objective.
    start_by_ms: Millis,
}

impl Rank {
    fn new(job: &Job, guaranteed: bool, wall_clock: Millis) -> Rank {
        let old = job.has_age_priority(wall_clock);
        Rank {
            beyond_guarantee: !old && !guaranteed,
            priority: Reverse(if old { Priority::Production } else { job.priority() }),
            missed_deadline: !old && job.spec.deadline_s.is_some() && wall_clock > job.start_by_ms,
            start_by_ms: job.start_by_ms,
        }
    }
}

/// Jobs that fit into their team's guarantee along with the team's earlier
/// unfinished jobs: these need not wait for other teams.
fn guaranteed_jobs(jobs: &Jobs) -> BTreeSet<JobIx> {
    let live = jobs.table.iter().filter(|(_, job)| job.is_active());
    let mut by_arrival: Vec<(Millis, JobIx)> = live.map(|(ix, job)| (job.accepted_ms, ix)).collect();
    by_arrival.sort_unstable();
    let mut used = vec![Resources::default(); jobs.team_quotas.len()];
    let mut guaranteed = BTreeSet::new();
    for (_, ix) in by_arrival {
        let Some(job) = jobs.table.get(ix) else {
            continue;
        };
        let used = &mut used[job.team.usize()];
        used.add(unfinished_demand(job));
        let guarantee = jobs.team_quotas[job.team.usize()].guarantee;
        if used.cpus <= guarantee.cpus + ROUNDING_TOLERANCE && used.gpus <= guarantee.gpus + ROUNDING_TOLERANCE {
            guaranteed.insert(ix);
        }
    }
    guaranteed
}

/// What all unfinished tasks of a job ask for together, as quotas count it.
fn unfinished_demand(job: &Job) -> Resources {
    let tasks = f64::from(job.spec.tasks - job.done.len());
    Resources::without_memory(job.shape.resources.cpus * tasks, job.shape.resources.gpus * tasks)
}
