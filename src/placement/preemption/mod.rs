//! Preemption: stops running tasks to make room for jobs of higher priority.
//!
//! A round scans the open tasks once and records for each machine which of them may be
//! stopped, and how much work that would lose ([`candidates`]). It then serves the jobs that
//! are short of room in the order of placement ([`victims`]). Room that is free or already
//! being freed is counted before more tasks are stopped. The freed room is used by the next
//! rounds of placement, which serve the jobs in the same order.

mod candidates;
mod demand;
mod victims;

use super::Cluster;
use super::order::placement_order;
use super::zones::allowed_zones;
use crate::Millis;
use crate::ids::{AttemptIx, Index, JobIx};
use crate::pipeline::Job;
use crate::wire::TaskState;
use crate::workers::Attempt;
use candidates::{Candidate, find_candidates};
use demand::Demand;
use victims::choose_victims;

/// The most tasks stopped in one round, so that their reports and the starts that follow
/// don't all arrive at once.
const MAX_STOPS: usize = 200;
/// The shortest time between two rounds of preemption, in milliseconds. A stop takes effect
/// within about a second. A job that is still short of room is considered again in each round,
/// where the room of tasks already being stopped counts as free.
pub const PREEMPTION_INTERVAL_MS: Millis = 500;

/// Chooses the tasks that are stopped to make room for jobs of higher priority.
#[derive(Debug, Default)]
pub struct Preemptor {
    /// When the last round ran, in milliseconds of the monotonic clock.
    last_round_at: Millis,
}

impl Preemptor {
    /// Returns the attempts to stop for jobs of higher priority that have waited too long for
    /// room. The list is empty if less than [`PREEMPTION_INTERVAL_MS`] has passed since the
    /// last round.
    pub fn choose_victims(&mut self, cluster: &Cluster<'_>) -> Vec<AttemptIx> {
        let now = cluster.now.monotonic;
        if now < self.last_round_at + PREEMPTION_INTERVAL_MS {
            return Vec::new();
        }
        self.last_round_at = now;
        let jobs_short_of_room = jobs_short_of_room(cluster);
        if jobs_short_of_room.is_empty() {
            return Vec::new();
        }
        let candidates = find_candidates(cluster, &jobs_short_of_room);
        let demands = demands(cluster, &jobs_short_of_room, &candidates);
        choose_victims(candidates, demands, MAX_STOPS)
    }
}

/// How a preempted attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StopMode {
    /// Neither a worker nor another controller knows of the attempt: it is withdrawn at once.
    Withdraw,
    /// The worker is sent a command to stop the attempt.
    Command {
        /// How long the task may take to save its work, in seconds.
        grace_s: f64,
    },
}

impl StopMode {
    /// Returns how an attempt of this job is stopped. `job` is `None` if the job is no longer
    /// known.
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

/// Returns the jobs that have waited too long for room, in the order of placement.
fn jobs_short_of_room(cluster: &Cluster<'_>) -> Vec<JobIx> {
    let wait_ms = crate::millis(cluster.policy.preempt_wait_s);
    let now = cluster.now.monotonic;
    let jobs = &cluster.jobs.table;
    let is_short_of_room = |job: &Job| job.shortage_since.is_some_and(|since| now >= since + wait_ms);
    // In most rounds no job is short of room, and computing the order costs a sort.
    if !jobs.iter().any(|(_, job)| is_short_of_room(job)) {
        return Vec::new();
    }
    let order = placement_order(cluster.jobs, cluster.now.wall_clock).into_iter();
    order.filter(|&ix| jobs.get(ix).is_some_and(is_short_of_room)).collect()
}

/// Returns the room that is still needed by each job with a higher priority than at least one
/// possible victim, within the limits of the teams.
fn demands(cluster: &Cluster<'_>, jobs_short_of_room: &[JobIx], candidates: &[Candidate]) -> Vec<Demand> {
    let victims = candidates.iter().flat_map(|candidate| &candidate.victims);
    let lowest_priority = victims.map(|victim| victim.priority).min();
    let jobs = jobs_short_of_room.iter().filter_map(|&ix| cluster.jobs.table.get(ix));
    let outranking = jobs.filter(|job| lowest_priority.is_some_and(|lowest| lowest < job.priority()));
    let mut teams = cluster.jobs.team_quotas.clone();
    let mut demands = Vec::new();
    for job in outranking {
        let team = &mut teams[job.team.usize()];
        let mut tasks = 0;
        while tasks < job.waiting_tasks() && team.allows(job.shape.resources) {
            team.used.add(job.shape.resources);
            tasks += 1;
        }
        demands.push(Demand::new(job, tasks, allowed_zones(cluster, job)));
    }
    demands
}
