//! Preemption: stops running tasks to make room for jobs that outrank them.
//!
//! A round looks at the open tasks once, notes for each machine which of them may
//! be stopped and at what loss ([`Candidate`]), and then serves the jobs that are
//! short of room in order of placement. Room that is free or already being freed
//! is counted before anything more is stopped. The room is taken by the next rounds
//! of placement, which go by the same order.

mod candidates;

use super::Choice;
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{AttemptIx, Index, JobIx, MachineIx};
use crate::pipeline::Job;
use crate::wire::TaskState;
use crate::workers::{Attempt, Outcome};
use candidates::{Candidate, Demand, Victim, choose_victims};
use std::collections::BTreeMap;

/// Tasks stopped in one round, so that their reports and the starts that follow
/// don't all come at once.
const MAX_STOPS: usize = 200;
/// A stop takes effect within about a second; room that is still short by then
/// is looked for again.
const PREEMPT_EVERY_MS: Millis = 500;
/// Tasks this short end about as soon as a stop would have freed their room.
const SHORT_TASK_S: f64 = 5.0;

impl Shard {
    /// Stops tasks of lower priority where a task has waited for room too long.
    pub fn preempt(&mut self, now: Millis) {
        if now < self.preempted_at + PREEMPT_EVERY_MS {
            return;
        }
        self.preempted_at = now;
        let short_jobs = self.jobs_short_of_room(now);
        if short_jobs.is_empty() {
            return;
        }
        let candidates = self.preemption_candidates(now, &short_jobs);
        let demands = self.preemption_demands(&short_jobs, &candidates);
        for victim in choose_victims(candidates, demands, MAX_STOPS) {
            self.stop_victim(now, victim);
        }
    }

    /// What the jobs that outrank some victim still need, within their teams' limits.
    fn preemption_demands(&self, short_jobs: &[JobIx], candidates: &[Candidate]) -> Vec<Demand> {
        let victims = candidates.iter().flat_map(|candidate| &candidate.victims);
        let lowest = victims.map(|victim| victim.priority).min();
        let short = short_jobs.iter().filter_map(|&ix| self.jobs.table.get(ix));
        let outranking = short.filter(|job| lowest.is_some_and(|lowest| lowest < job.priority()));
        let mut teams = self.jobs.team_quotas.clone();
        let mut demands = Vec::new();
        for job in outranking {
            let team = &mut teams[job.team.usize()];
            let mut count = 0;
            while count < job.waiting() && team.allows(job.shape.resources) {
                team.used.add(job.shape.resources);
                count += 1;
            }
            demands.push(Demand::new(job, count, self.zones_open_to(job)));
        }
        demands
    }

    /// Jobs that have waited for room too long, in the order of placement.
    fn jobs_short_of_room(&self, now: Millis) -> Vec<JobIx> {
        let wait_ms = crate::millis(self.policy.preempt_wait_s);
        let short = |job: &Job| job.short_since.is_some_and(|since| now >= since + wait_ms);
        // Most rounds nobody is short of room, and the order costs a sort.
        if !self.jobs.table.iter().any(|(_, job)| short(job)) {
            return Vec::new();
        }
        let order = self.placement_order().into_iter();
        order.filter(|&ix| self.jobs.table.get(ix).is_some_and(short)).collect()
    }

    /// Machines on which a task could be stopped, or is being stopped.
    fn preemption_candidates(&self, now: Millis, short_jobs: &[JobIx]) -> Vec<Candidate> {
        let short = short_jobs.iter().filter_map(|&ix| self.jobs.table.get(ix));
        let highest = short.map(Job::priority).max();
        let mut by_machine: BTreeMap<MachineIx, Candidate> = BTreeMap::new();
        for (_, job) in self.jobs.table.iter() {
            let yields =
                Some(job.priority()) < highest && job.spec.deadline_s.is_none() && job.has_slack(self.wall_clock);
            for &attempt_ix in job.open.values() {
                let Some(attempt) = self.workers.attempts.get(attempt_ix) else {
                    continue;
                };
                let stopping = attempt.stop.is_some();
                let loss = self.loss_if_stopped(now, job, attempt).filter(|_| yields);
                if !stopping && loss.is_none() {
                    continue;
                }
                let Some(candidate) = self.candidate_at(now, attempt.machine, &mut by_machine) else {
                    continue;
                };
                if stopping {
                    candidate.free.add(job.shape.resources);
                } else if let Some(loss) = loss {
                    candidate.victims.push(Victim {
                        attempt: attempt_ix,
                        priority: job.priority(),
                        resources: job.shape.resources,
                        loss,
                    });
                }
            }
        }
        let mut candidates: Vec<Candidate> = by_machine.into_values().collect();
        for candidate in &mut candidates {
            candidate.sort_victims();
        }
        candidates.sort_by(|a, b| a.least_loss().total_cmp(&b.least_loss()));
        candidates
    }

    fn candidate_at<'a>(
        &self,
        now: Millis,
        machine_ix: MachineIx,
        by_machine: &'a mut BTreeMap<MachineIx, Candidate>,
    ) -> Option<&'a mut Candidate> {
        use std::collections::btree_map::Entry;
        match by_machine.entry(machine_ix) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => {
                let machine = self
                    .workers
                    .machines
                    .get(machine_ix)
                    .filter(|machine| machine.usable(now))?;
                let info = self.topology.type_info[machine.type_ix.usize()].as_ref()?;
                Some(entry.insert(Candidate {
                    machine: machine_ix,
                    type_ix: machine.type_ix,
                    zone: machine.zone,
                    spot: machine.spot,
                    images: machine.images.iter().map(|&(image, _)| image).collect(),
                    free: info.resources.minus(machine.used),
                    victims: Vec::new(),
                }))
            }
        }
    }

    /// CPU seconds lost by stopping a task now. `None`: too much, or not worth it.
    fn loss_if_stopped(&self, now: Millis, job: &Job, attempt: &Attempt) -> Option<f64> {
        if attempt.stop.is_some()
            || attempt.observed_state == Some(TaskState::Saving)
            || job.spec.estimate_s <= SHORT_TASK_S
        {
            return None;
        }
        let ran_s = attempt.running_since.map_or(0.0, |since| (now - since) as f64 / 1000.0);
        // A task that saves loses no more than the time that saving takes.
        let lost_s = if job.spec.checkpoint_s > 0.0 {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        };
        (lost_s <= self.policy.preempt_lost_s).then_some(lost_s * job.shape.resources.cpus)
    }

    fn stop_victim(&mut self, now: Millis, attempt_ix: AttemptIx) {
        let Some(attempt) = self.workers.attempts.get_mut(attempt_ix) else {
            return;
        };
        if !attempt.written && !attempt.writing {
            // Nobody has heard of it yet.
            self.close(now, attempt_ix, Outcome::Lost);
            return;
        }
        let running = attempt.observed_state == Some(TaskState::Running);
        let spec = self.jobs.table.get(attempt.job).map(|job| &job.spec);
        let save_s = spec.filter(|spec| running && spec.checkpoint_s > 0.0);
        attempt.stop = Some(save_s.map_or(0.0, |spec| spec.save_s));
        self.workers.delivery_due.insert(attempt.machine);
    }

    /// Notes whether a job is short of room, and since when.
    pub(super) fn note_short(&mut self, now: Millis, job: JobIx, choice: &Choice) {
        if let Some(job) = self.jobs.table.get_mut(job) {
            match choice {
                Choice::NoRoom => {
                    job.short_since.get_or_insert(now);
                }
                _ => job.short_since = None,
            }
        }
    }
}

#[cfg(test)]
mod tests;
