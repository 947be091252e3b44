//! Preemption: stops running tasks to make room for jobs that outrank them.
//!
//! A round looks at the open tasks once, notes for each machine which of them may
//! be stopped and at what loss ([`candidates`]), and then serves the jobs that are
//! short of room in order of placement ([`victims`]). Room that is free or already being
//! freed is counted before anything more is stopped. The room is taken by the next rounds
//! of placement, which go by the same order.

mod candidates;
mod demand;
mod victims;

use super::Cluster;
use super::order::placement_order;
use super::zones::zones_open_to;
use crate::Millis;
use crate::ids::{AttemptIx, Index, JobIx};
use crate::pipeline::Job;
use crate::wire::TaskState;
use crate::workers::Attempt;
use candidates::{Candidate, find_candidates};
use demand::Demand;
use victims::choose_victims;

/// Tasks stopped in one round, so that their reports and the starts that follow
/// don't all come at once.
const MAX_STOPS: usize = 200;
/// The least time between two rounds of preemption. A stop takes effect within about a
/// second; room that is still short by then is looked for again.
pub const PREEMPTION_INTERVAL_MS: Millis = 500;

/// Chooses the tasks that have to make room for others.
#[derive(Debug, Default)]
pub struct Preemptor {
    /// When tasks to stop were last looked for.
    last_round_at: Millis,
}

impl Preemptor {
    /// The attempts to stop where tasks of higher priority have waited for room too
    /// long. None if it is too soon after the last round.
    pub fn choose_victims(&mut self, cluster: &Cluster<'_>) -> Vec<AttemptIx> {
        let now = cluster.now.monotonic;
        if now < self.last_round_at + PREEMPTION_INTERVAL_MS {
            return Vec::new();
        }
        self.last_round_at = now;
        let short_jobs = jobs_short_of_room(cluster);
        if short_jobs.is_empty() {
            return Vec::new();
        }
        let candidates = find_candidates(cluster, &short_jobs);
        let demands = demands(cluster, &short_jobs, &candidates);
        choose_victims(candidates, demands, MAX_STOPS)
    }
}

/// How an attempt that has to make room is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StopMode {
    /// No worker and no other controller has heard of it: it is withdrawn at once.
    Withdraw,
    /// Its worker is told to stop it.
    Command {
        /// How long it may take to save its work.
        grace_s: f64,
    },
}

impl StopMode {
    /// How an attempt of this job is stopped. `None`: the job is not known any more.
    pub fn new(attempt: &Attempt, job: Option<&Job>) -> StopMode {
        if attempt.is_only_planned() {
            return StopMode::Withdraw;
        }
        let is_running = attempt.observed_state == Some(TaskState::Running);
        let saving = job.filter(|job| is_running && job.spec.checkpoint_s > 0.0);
        StopMode::Command {
            grace_s: saving.map_or(0.0, |job| job.spec.save_s),
        }
    }
}

/// Jobs that have waited for room too long, in the order of placement.
fn jobs_short_of_room(cluster: &Cluster<'_>) -> Vec<JobIx> {
    let wait_ms = crate::millis(cluster.policy.preempt_wait_s);
    let now = cluster.now.monotonic;
    let jobs = &cluster.jobs.table;
    let is_short = |job: &Job| job.shortage_since.is_some_and(|since| now >= since + wait_ms);
    // Most rounds nobody is short of room, and the order costs a sort.
    if !jobs.iter().any(|(_, job)| is_short(job)) {
        return Vec::new();
    }
    let order = placement_order(cluster.jobs, cluster.now.wall_clock).into_iter();
    order.filter(|&ix| jobs.get(ix).is_some_and(is_short)).collect()
}

/// What the jobs that outrank some victim still need, within their teams' limits.
fn demands(cluster: &Cluster<'_>, short_jobs: &[JobIx], candidates: &[Candidate]) -> Vec<Demand> {
    let victims = candidates.iter().flat_map(|candidate| &candidate.victims);
    let lowest = victims.map(|victim| victim.priority).min();
    let short = short_jobs.iter().filter_map(|&ix| cluster.jobs.table.get(ix));
    let outranking = short.filter(|job| lowest.is_some_and(|lowest| lowest < job.priority()));
    let mut teams = cluster.jobs.team_quotas.clone();
    let mut demands = Vec::new();
    for job in outranking {
        let team = &mut teams[job.team.usize()];
        let mut tasks = 0;
        while tasks < job.waiting_tasks() && team.allows(job.shape.resources) {
            team.used.add(job.shape.resources);
            tasks += 1;
        }
        demands.push(Demand::new(job, tasks, zones_open_to(cluster, job)));
    }
    demands
}
