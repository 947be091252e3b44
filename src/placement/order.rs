//! The order in which jobs are placed.

use crate::Millis;
use crate::ids::{Index, JobIx};
use crate::pipeline::{Job, Jobs};
use crate::resources::Resources;
use crate::wire::Priority;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Tolerance for comparing sums of floating-point resource amounts with a guarantee.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Returns the active jobs with waiting tasks that have had no task placed for a long time,
/// the oldest job first.
pub fn starving_jobs(jobs: &Jobs, wall_clock: Millis) -> Vec<JobIx> {
    let starving = jobs.table.iter().filter(|(_, job)| job.is_starving(wall_clock));
    let mut by_arrival: Vec<_> = starving.map(|(ix, job)| (job.accepted_ms, ix)).collect();
    by_arrival.sort_unstable();
    by_arrival.into_iter().map(|(_, ix)| ix).collect()
}

/// Returns the active jobs with tasks to place, in the order in which they are served.
pub fn placement_order(jobs: &Jobs, wall_clock: Millis) -> Vec<JobIx> {
    let guaranteed = guaranteed_jobs(jobs);
    let to_place = jobs
        .table
        .iter()
        .filter(|(_, job)| job.is_active() && job.waiting_tasks() > 0);
    let mut keyed: Vec<(SortKey, JobIx)> = to_place
        .map(|(ix, job)| (SortKey::new(job, guaranteed.contains(&ix), wall_clock), ix))
        .collect();
    keyed.sort_unstable();
    keyed.into_iter().map(|(_, ix)| ix).collect()
}

/// The sort key of a job in the order of placement. Fields are compared in the order of
/// their declaration, and the smallest key is served first. Jobs with age priority are ordered
/// like guaranteed production jobs that can meet their deadlines.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    /// Whether the job does not fit into the guarantee of its team together with the team's
    /// earlier jobs.
    beyond_guarantee: bool,
    /// The highest priority is served first.
    priority: Reverse<Priority>,
    /// Whether the job can't meet its deadline anymore. Such jobs come after the others.
    missed_deadline: bool,
    /// The latest start that meets the job's objective or deadline, in milliseconds since
    /// the Unix epoch. The earliest is served first.
    start_by_ms: Millis,
}

impl SortKey {
    fn new(job: &Job, guaranteed: bool, wall_clock: Millis) -> SortKey {
        let age_priority = job.has_age_priority(wall_clock);
        SortKey {
            beyond_guarantee: !age_priority && !guaranteed,
            priority: Reverse(if age_priority {
                Priority::Production
            } else {
                job.priority()
            }),
            missed_deadline: !age_priority && job.spec.deadline_s.is_some() && wall_clock > job.start_by_ms,
            start_by_ms: job.start_by_ms,
        }
    }
}

/// Returns the jobs that fit into their team's guarantee together with the team's earlier
/// active jobs. They are served before jobs that exceed the guarantee of their team.
fn guaranteed_jobs(jobs: &Jobs) -> BTreeSet<JobIx> {
    let active = jobs.table.iter().filter(|(_, job)| job.is_active());
    let mut by_arrival: Vec<(Millis, JobIx)> = active.map(|(ix, job)| (job.accepted_ms, ix)).collect();
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

/// The total resources that all unfinished tasks of a job ask for. Memory is left out, since
/// quotas don't limit it.
fn unfinished_demand(job: &Job) -> Resources {
    let tasks = f64::from(job.spec.tasks - job.done.len());
    Resources::without_memory(job.shape.resources.cpus * tasks, job.shape.resources.gpus * tasks)
}
