//! The machines on which tasks could be stopped, and what stopping them would lose.

use crate::MILLIS_PER_SECOND;
use crate::ids::{AttemptIx, ImageIx, Index, JobIx, MachineIx};
use crate::pipeline::Job;
use crate::placement::Cluster;
use crate::resources::{Offer, Resources};
use crate::wire::{Priority, TaskState};
use crate::workers::Attempt;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Tasks this short end about as soon as a stop would have freed their room.
const SHORT_TASK_S: f64 = 5.0;

/// A running task that may be stopped for one of higher priority.
#[derive(Clone, Debug)]
pub struct Victim {
    pub attempt: AttemptIx,
    pub priority: Priority,
    pub resources: Resources,
    /// CPU seconds of work lost by stopping it.
    pub loss: f64,
}

/// A machine on which tasks may be stopped or are being stopped.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub machine: MachineIx,
    pub offer: Offer,
    /// Images that it has cached or is fetching.
    pub images: Vec<ImageIx>,
    /// Free now, or as soon as what is being stopped has ended.
    pub free: Resources,
    /// The lowest priority first, and of these the smallest loss.
    pub victims: Vec<Victim>,
}

impl Candidate {
    /// Brings the victims into the order in which they are stopped.
    pub fn sort_victims(&mut self) {
        self.victims
            .sort_by(|a, b| a.priority.cmp(&b.priority).then(a.loss.total_cmp(&b.loss)));
    }

    /// The loss of the first victim; none where nothing need be stopped.
    fn least_loss(&self) -> f64 {
        self.victims.first().map_or(0.0, |victim| victim.loss)
    }

    /// How many victims, the first ones, have to be stopped for a task to fit.
    pub fn victims_needed(&self, resources: Resources, priority: Priority) -> Option<usize> {
        let mut free = self.free;
        for (count, victim) in self.victims.iter().enumerate() {
            if free.fits(resources) {
                return Some(count);
            }
            if victim.priority >= priority {
                return None;
            }
            free.add(victim.resources);
        }
        free.fits(resources).then_some(self.victims.len())
    }
}

/// Machines on which a task could be stopped for one of these jobs, or is being
/// stopped. The smallest loss first.
pub fn find_candidates(cluster: &Cluster<'_>, short_jobs: &[JobIx]) -> Vec<Candidate> {
    let short = short_jobs.iter().filter_map(|&ix| cluster.jobs.table.get(ix));
    let mut search = CandidateSearch {
        cluster,
        highest_priority: short.map(Job::priority).max(),
        by_machine: BTreeMap::new(),
    };
    for (_, job) in cluster.jobs.table.iter() {
        search.add_tasks_of(job);
    }
    let mut candidates: Vec<Candidate> = search.by_machine.into_values().collect();
    for candidate in &mut candidates {
        candidate.sort_victims();
    }
    candidates.sort_by(|a, b| a.least_loss().total_cmp(&b.least_loss()));
    candidates
}

/// Collects candidates job by job.
struct CandidateSearch<'a> {
    cluster: &'a Cluster<'a>,
    /// The highest priority among the jobs that need room.
    highest_priority: Option<Priority>,
    by_machine: BTreeMap<MachineIx, Candidate>,
}

impl CandidateSearch<'_> {
    /// Adds the open tasks of a job: those being stopped as room to come, those that may
    /// be stopped as victims.
    fn add_tasks_of(&mut self, job: &Job) {
        let gives_way = self.gives_way(job);
        for &attempt_ix in job.open.values() {
            let Some(attempt) = self.cluster.workers.attempts.get(attempt_ix) else {
                continue;
            };
            if attempt.stop_grace_s.is_some() {
                if let Some(candidate) = self.candidate_at(attempt.machine) {
                    candidate.free.add(job.shape.resources);
                }
            } else if gives_way
                && let Some(loss) = self.loss_if_stopped(job, attempt)
                && let Some(candidate) = self.candidate_at(attempt.machine)
            {
                candidate.victims.push(Victim {
                    attempt: attempt_ix,
                    priority: job.priority(),
                    resources: job.shape.resources,
                    loss,
                });
            }
        }
    }

    /// Whether tasks of this job may be stopped for one of the jobs that need room.
    fn gives_way(&self, job: &Job) -> bool {
        Some(job.priority()) < self.highest_priority
            && job.spec.deadline_s.is_none()
            && job.can_restart_in_time(self.cluster.now.wall_clock)
    }

    /// CPU seconds lost by stopping a task now. `None`: too much, or not worth it.
    fn loss_if_stopped(&self, job: &Job, attempt: &Attempt) -> Option<f64> {
        if attempt.observed_state == Some(TaskState::Saving) || job.spec.estimate_s <= SHORT_TASK_S {
            return None;
        }
        let now = self.cluster.now.monotonic;
        let ran_s = attempt
            .running_since
            .map_or(0.0, |since| (now - since) as f64 / MILLIS_PER_SECOND);
        // A task that saves loses no more than the time that saving takes.
        let lost_s = if job.spec.checkpoint_s > 0.0 {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        };
        (lost_s <= self.cluster.policy.preempt_lost_s).then_some(lost_s * job.shape.resources.cpus)
    }

    /// The candidate of a machine, if that may be given tasks.
    fn candidate_at(&mut self, machine_ix: MachineIx) -> Option<&mut Candidate> {
        match self.by_machine.entry(machine_ix) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => {
                let machine = self.cluster.workers.machines.get(machine_ix)?;
                if !machine.usable(self.cluster.now.monotonic) {
                    return None;
                }
                let info = self.cluster.topology.type_info[machine.type_ix.usize()].as_ref()?;
                Some(entry.insert(Candidate {
                    machine: machine_ix,
                    offer: machine.offer(),
                    images: machine.images.iter().map(|&(image, _)| image).collect(),
                    free: info.resources.saturating_sub(machine.used),
                    victims: Vec::new(),
                }))
            }
        }
    }
}
