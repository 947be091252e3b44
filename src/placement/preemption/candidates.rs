//! The machines on which tasks could be stopped, and how much work that would lose.

use crate::MILLIS_PER_SECOND;
use crate::ids::{AttemptIx, ImageIx, Index, JobIx, MachineIx};
use crate::pipeline::Job;
use crate::placement::Cluster;
use crate::resources::{Offer, Resources};
use crate::wire::{Priority, TaskState};
use crate::workers::Attempt;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Tasks with an estimate of at most this many seconds are never stopped: they end about as
/// soon as a stop would free their room.
const SHORT_TASK_S: f64 = 5.0;

/// A running task that may be stopped for one of higher priority.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The attempt to stop.
    pub attempt: AttemptIx,
    /// The priority of the task's job.
    pub priority: Priority,
    /// The resources that stopping the task frees.
    pub resources: Resources,
    /// The work lost by stopping the task, in CPU seconds.
    pub loss: f64,
}

/// A machine on which tasks may be stopped or are being stopped.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The machine itself.
    pub machine: MachineIx,
    /// The machine's type and zone, and whether it is a spot machine.
    pub offer: Offer,
    /// The images that the machine has cached or is fetching.
    pub images: Vec<ImageIx>,
    /// The room that is free now or will be once the tasks being stopped have ended.
    pub free: Resources,
    /// The tasks that may be stopped: the lowest priority first, and within a priority the
    /// smallest loss first.
    pub victims: Vec<Victim>,
}

impl Candidate {
    /// Sorts the victims into the order in which they are stopped.
    pub fn sort_victims(&mut self) {
        self.victims
            .sort_by(|a, b| a.priority.cmp(&b.priority).then(a.loss.total_cmp(&b.loss)));
    }

    /// Returns the loss of the first victim in CPU seconds, or 0 without victims.
    fn first_victim_loss(&self) -> f64 {
        self.victims.first().map_or(0.0, |victim| victim.loss)
    }

    /// Returns how many victims, counted from the first, have to be stopped for a task of this
    /// priority to fit. Returns `None` if it doesn't fit even without all victims of lower
    /// priority.
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

/// Returns the machines on which a task could be stopped for one of these jobs, or is being
/// stopped. They are ordered by the loss of their first victim, the smallest first, which
/// counts as 0 for a machine without victims.
pub fn find_candidates(cluster: &Cluster<'_>, jobs_short_of_room: &[JobIx]) -> Vec<Candidate> {
    let jobs = jobs_short_of_room.iter().filter_map(|&ix| cluster.jobs.table.get(ix));
    let mut search = CandidateSearch {
        cluster,
        highest_priority: jobs.map(Job::priority).max(),
        by_machine: BTreeMap::new(),
    };
    for (_, job) in cluster.jobs.table.iter() {
        search.add_open_tasks(job);
    }
    let mut candidates: Vec<Candidate> = search.by_machine.into_values().collect();
    for candidate in &mut candidates {
        candidate.sort_victims();
    }
    candidates.sort_by(|a, b| a.first_victim_loss().total_cmp(&b.first_victim_loss()));
    candidates
}

/// Collects candidates job by job.
struct CandidateSearch<'a> {
    cluster: &'a Cluster<'a>,
    /// The highest priority among the jobs that are short of room; `None` without such jobs.
    highest_priority: Option<Priority>,
    by_machine: BTreeMap<MachineIx, Candidate>,
}

impl CandidateSearch<'_> {
    /// Adds the open tasks of a job. Those being stopped count as room that will be free;
    /// those that may be stopped are added as victims.
    fn add_open_tasks(&mut self, job: &Job) {
        let is_preemptible = self.is_preemptible(job);
        for &attempt_ix in job.open.values() {
            let Some(attempt) = self.cluster.workers.attempts.get(attempt_ix) else {
                continue;
            };
            if attempt.stop_grace_s.is_some() {
                if let Some(candidate) = self.candidate_at(attempt.machine) {
                    candidate.free.add(job.shape.resources);
                }
            } else if is_preemptible
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

    /// Whether tasks of this job may be stopped for one of the jobs that are short of room.
    fn is_preemptible(&self, job: &Job) -> bool {
        Some(job.priority()) < self.highest_priority
            && job.spec.deadline_s.is_none()
            && job.can_restart_in_time(self.cluster.now.wall_clock)
    }

    /// Returns the CPU seconds lost by stopping a task now. Returns `None` if the task must not
    /// be stopped: it is saving its work, it is too short, or too much work would be lost.
    fn loss_if_stopped(&self, job: &Job, attempt: &Attempt) -> Option<f64> {
        if attempt.observed_state == Some(TaskState::Saving) || job.spec.estimate_s <= SHORT_TASK_S {
            return None;
        }
        let now = self.cluster.now.monotonic;
        let ran_s = attempt
            .running_since
            .map_or(0.0, |since| (now - since) as f64 / MILLIS_PER_SECOND);
        // A task that can save its work loses no more than the time that saving takes.
        let lost_s = if job.spec.checkpoint_s > 0.0 {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        };
        (lost_s <= self.cluster.policy.preempt_lost_s).then_some(lost_s * job.shape.resources.cpus)
    }

    /// Returns the candidate of a machine, or `None` if the machine may not be given tasks.
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
