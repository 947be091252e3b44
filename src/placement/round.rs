//! One round of placement: plans attempts for tasks that may start, job by job.

use super::PlacementContext;
use super::choice::{Choice, choose};
use super::machine_view::{MachineView, Ranking};
use super::order::{placement_order, starving_jobs};
use crate::Millis;
use crate::ids::{ChunkId, ImageIx, Index, JobIx, MachineIx, TeamIx};
use crate::pipeline::Job;
use crate::resources::Resources;
use crate::workers::parse_task_name;

/// The most attempts that one round plans, which bounds the duration of a round.
const MAX_STARTS: usize = 200;

/// Plans attempts for tasks that may start. Returns the chunks that have to be written to the
/// state service before these attempts start.
pub fn place(context: PlacementContext<'_>) -> Vec<ChunkId> {
    Round::new(context).run()
}

/// The pass of a round in which a job is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    /// Places one task of each starving job, before all other jobs.
    Starving,
    /// Places the jobs in the order of placement.
    InOrder,
}

impl Pass {
    /// The most tasks of one job that may be placed in this pass.
    fn max_tasks(self) -> usize {
        match self {
            Pass::Starving => 1,
            Pass::InOrder => usize::MAX,
        }
    }
}

/// Whether room is reserved for a job that finds none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Urgency {
    /// Nothing is reserved: other jobs may take the room that becomes free.
    Normal,
    /// The job has waited for so long that a machine or its team's quota is reserved for it.
    Urgent,
}

impl Urgency {
    fn new(job: &Job, pass: Pass, wall_clock: Millis) -> Urgency {
        if pass == Pass::Starving || job.has_age_priority(wall_clock) {
            Urgency::Urgent
        } else {
            Urgency::Normal
        }
    }
}

/// The next task of a job, with the properties of the job that its placement depends on.
struct NextTask {
    job: JobIx,
    task: u32,
    team: TeamIx,
    image: ImageIx,
    resources: Resources,
    urgency: Urgency,
    zones_depend_on_open_tasks: bool,
}

impl NextTask {
    /// Whether the ranking by which this task was placed can be reused for the job's next
    /// tasks. It can't if the allowed zones change with each task, or if it leaves out
    /// machines that only this task can't use.
    fn can_reuse_ranking(&self, ranking: &Ranking) -> bool {
        !self.zones_depend_on_open_tasks && ranking.is_complete()
    }
}

/// The state of a round.
struct Round<'a> {
    context: PlacementContext<'a>,
    view: MachineView,
    /// For each team, whether the rest of its quota is reserved for an urgent job that
    /// would otherwise never fit into it.
    team_reserved: Vec<bool>,
    /// The number of attempts that may still be planned.
    starts_left: usize,
    /// The chunks with new attempts, which have to be written.
    chunks: Vec<ChunkId>,
}

impl<'a> Round<'a> {
    fn new(context: PlacementContext<'a>) -> Round<'a> {
        Round {
            view: MachineView::new(context.workers, context.topology, context.now.monotonic),
            team_reserved: vec![false; context.jobs.team_quotas.len()],
            starts_left: MAX_STARTS,
            chunks: Vec::new(),
            context,
        }
    }

    fn run(mut self) -> Vec<ChunkId> {
        let wall_clock = self.context.now.wall_clock;
        for job_ix in starving_jobs(self.context.jobs, wall_clock) {
            self.place_job(job_ix, Pass::Starving);
        }
        for job_ix in placement_order(self.context.jobs, wall_clock) {
            if self.starts_left == 0 {
                break;
            }
            self.place_job(job_ix, Pass::InOrder);
        }
        self.chunks
    }

    /// Places tasks of one job until the limit of the pass is reached, no task is left, or
    /// the next task can't be placed now.
    fn place_job(&mut self, job_ix: JobIx, pass: Pass) {
        let mut ranking = None;
        let mut placed = 0;
        while placed < pass.max_tasks() && self.starts_left > 0 {
            let Some(next) = self.next_task(job_ix, pass) else {
                return;
            };
            if !self.team_allows(&next) {
                return;
            }
            match self.choose(job_ix, &mut ranking) {
                Choice::Start { slot } if self.lists_earlier_attempt(self.view.machine_at(slot), &next) => {
                    if let Some(ranking) = &mut ranking {
                        ranking.skip_best();
                    }
                }
                Choice::Start { slot } => {
                    self.start(&next, slot);
                    placed += 1;
                    ranking = ranking.filter(|ranking| next.can_reuse_ranking(ranking));
                }
                Choice::Wait { until } => return self.wait(job_ix, until),
                Choice::NoRoom => return self.found_no_room(&next),
            }
        }
    }

    /// Returns the next task of the job that may be placed now.
    fn next_task(&mut self, job_ix: JobIx, pass: Pass) -> Option<NextTask> {
        let now = self.context.now;
        let job = self.context.jobs.table.get_mut(job_ix)?;
        if job.is_likely_misconfigured() && !job.open.is_empty() {
            // Such a job runs one task at a time until a task succeeds or its user cancels it.
            return None;
        }
        let task = job.next_task(now.monotonic)?;
        if !job.chunk_accepts_attempt(task, self.context.jobs.tasks_per_chunk) {
            return None;
        }
        Some(NextTask {
            job: job_ix,
            task,
            team: job.team,
            image: job.image,
            resources: job.shape.resources,
            urgency: Urgency::new(job, pass, now.wall_clock),
            zones_depend_on_open_tasks: job.zones_depend_on_open_tasks(),
        })
    }

    /// Whether the task fits into the rest of its team's quota. If the task of an urgent
    /// job does not fit, the rest of the quota is reserved: otherwise small tasks of other
    /// jobs could use it up forever, and the urgent task would never fit.
    fn team_allows(&mut self, next: &NextTask) -> bool {
        let reserved = &mut self.team_reserved[next.team.usize()];
        if !*reserved && self.context.jobs.team_quotas[next.team.usize()].allows(next.resources) {
            return true;
        }
        *reserved |= next.urgency == Urgency::Urgent;
        false
    }

    /// Decides where the job's next task goes, and records when a shortage of room began
    /// or that it ended.
    fn choose(&mut self, job_ix: JobIx, ranking: &mut Option<Ranking>) -> Choice {
        let cluster = self.context.cluster();
        let Some(job) = cluster.jobs.table.get(job_ix) else {
            return Choice::NoRoom;
        };
        let choice = choose(&cluster, job, &mut self.view, ranking);
        if let Some(job) = self.context.jobs.table.get_mut(job_ix) {
            match choice {
                Choice::NoRoom => {
                    job.shortage_since.get_or_insert(self.context.now.monotonic);
                }
                Choice::Wait { .. } => job.shortage_since = None,
                // The machine may still list an earlier attempt of the task, so the
                // shortage ends only when the task is actually placed.
                Choice::Start { .. } => {}
            }
        }
        choice
    }

    /// Whether a machine's report still lists an earlier attempt of this task. A start
    /// command for that attempt may still arrive, and has no effect only while the attempt
    /// is listed.
    fn lists_earlier_attempt(&self, machine: MachineIx, next: &NextTask) -> bool {
        let machine = self.context.workers.machines.get(machine);
        let job = self.context.jobs.table.get(next.job);
        let (Some(machine), Some(job)) = (machine, job) else {
            return false;
        };
        machine
            .unmatched_tasks
            .iter()
            .any(|unmatched| parse_task_name(&unmatched.task) == Some((job.id.as_str(), next.task)))
    }

    /// Opens an attempt of the task on the machine of this slot.
    fn start(&mut self, next: &NextTask, slot: usize) {
        self.view.assign(slot, next.resources, next.image);
        let machine = self.view.machine_at(slot);
        let chunk = self.context.open_attempt(next.job, next.task, machine);
        if let Some(job) = self.context.jobs.table.get_mut(next.job) {
            job.shortage_since = None;
        }
        // Tasks of one chunk are mostly placed consecutively, so comparing with the last
        // chunk avoids most duplicates.
        self.chunks
            .extend(chunk.filter(|chunk| self.chunks.last() != Some(chunk)));
        self.starts_left -= 1;
    }

    /// Lets the job's tasks wait for a machine that has their image cached.
    fn wait(&mut self, job_ix: JobIx, until: Millis) {
        if let Some(job) = self.context.jobs.table.get_mut(job_ix) {
            job.cache_wait_until = Some(until);
        }
    }

    /// Handles a task for which no machine has room.
    fn found_no_room(&mut self, next: &NextTask) {
        let now = self.context.now.monotonic;
        if let Some(job) = self.context.jobs.table.get_mut(next.job) {
            job.clear_failed_on_after_long_shortage(now);
            // Without a reservation, small tasks could keep filling the machine that this
            // task needs.
            if next.urgency == Urgency::Urgent {
                self.view.reserve(&job.shape);
            }
        }
    }
}
