//! One round of placement: plans attempts for released tasks, job by job.

use super::PlacementContext;
use super::choice::{Choice, choose};
use super::machine_view::{MachineView, Ranking};
use super::order::{placement_order, starving_jobs};
use crate::Millis;
use crate::ids::{ChunkId, ImageIx, Index, JobIx, MachineIx, TeamIx};
use crate::pipeline::Job;
use crate::resources::Resources;
use crate::workers::parse_task_name;

/// Attempts planned in one round, so that a round stays short.
const MAX_STARTS: usize = 200;

/// Plans attempts for released tasks. Returns the chunks that have to be written
/// before these start.
pub fn place(context: PlacementContext<'_>) -> Vec<ChunkId> {
    Round::new(context).run()
}

/// Why it is a job's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// It would else starve, and gets one task placed before all others.
    Starving,
    /// It comes next in the order of placement.
    InOrder,
}

impl Turn {
    /// How many tasks may be placed in this turn.
    fn max_tasks(self) -> usize {
        match self {
            Turn::Starving => 1,
            Turn::InOrder => usize::MAX,
        }
    }
}

/// Whether room is kept for a job that finds none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Urgency {
    Normal,
    /// It waits for so long that room or quota is reserved for it.
    Pressing,
}

impl Urgency {
    fn new(job: &Job, turn: Turn, wall_clock: Millis) -> Urgency {
        if turn == Turn::Starving || job.goes_first_by_age(wall_clock) {
            Urgency::Pressing
        } else {
            Urgency::Normal
        }
    }
}

/// The next task of a job, and what its placement goes by.
struct NextTask {
    job: JobIx,
    task: u32,
    team: TeamIx,
    image: ImageIx,
    resources: Resources,
    urgency: Urgency,
    is_bound_to_zones: bool,
}

impl NextTask {
    /// Whether the ranking that this task was placed by serves the tasks that follow:
    /// it does not where the open zones change with each task, or where machines were
    /// left out that only this task can't use.
    fn ranking_serves_following(&self, ranking: &Ranking) -> bool {
        !self.is_bound_to_zones && ranking.is_complete()
    }
}

/// The state of a round.
struct Round<'a> {
    context: PlacementContext<'a>,
    view: MachineView,
    /// For each team, whether the rest of its quota is reserved for a job that would
    /// else never get its turn.
    team_reserved: Vec<bool>,
    /// Attempts that may still be planned.
    starts_left: usize,
    /// Chunks with new attempts.
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
            self.place_job(job_ix, Turn::Starving);
        }
        for job_ix in placement_order(self.context.jobs, wall_clock) {
            if self.starts_left == 0 {
                break;
            }
            self.place_job(job_ix, Turn::InOrder);
        }
        self.chunks
    }

    /// Places tasks of one job until its turn is over or it finds no room.
    fn place_job(&mut self, job_ix: JobIx, turn: Turn) {
        let mut ranking = None;
        let mut placed = 0;
        let mut awaits_higher_term = false;
        while placed < turn.max_tasks() && self.starts_left > 0 {
            let Some(next) = self.next_task(job_ix, turn) else {
                return;
            };
            if !self.team_allows(&next) {
                return;
            }
            match self.choose(job_ix, &mut ranking) {
                Choice::Start { slot } if self.lists_earlier_attempt(self.view.machine_at(slot), &next) => {
                    awaits_higher_term |= self.is_start_in_doubt(self.view.machine_at(slot));
                    if let Some(ranking) = &mut ranking {
                        ranking.skip_best();
                    }
                }
                Choice::Start { slot } => {
                    self.start(&next, slot);
                    placed += 1;
                    ranking = ranking.filter(|ranking| next.ranking_serves_following(ranking));
                }
                Choice::Wait { until } => return self.wait(job_ix, until),
                Choice::NoRoom => return self.found_no_room(&next, awaits_higher_term),
            }
        }
    }

    /// The next task that the job may have placed.
    fn next_task(&mut self, job_ix: JobIx, turn: Turn) -> Option<NextTask> {
        let now = self.context.now;
        let job = self.context.jobs.table.get_mut(job_ix)?;
        if job.is_likely_mistaken() && !job.open.is_empty() {
            // Tried again one task at a time, for as long as its user lets it.
            return None;
        }
        let task = job.next_task(now.monotonic)?;
        Some(NextTask {
            job: job_ix,
            task,
            team: job.team,
            image: job.image,
            resources: job.shape.resources,
            urgency: Urgency::new(job, turn, now.wall_clock),
            is_bound_to_zones: job.is_bound_to_zones(),
        })
    }

    /// Whether the task's team may use as much more. What is left of its quota is
    /// reserved for a pressing job: small tasks would for ever use it up, and never
    /// leave it enough.
    fn team_allows(&mut self, next: &NextTask) -> bool {
        let reserved = &mut self.team_reserved[next.team.usize()];
        if !*reserved && self.context.jobs.team_quotas[next.team.usize()].allows(next.resources) {
            return true;
        }
        *reserved |= next.urgency == Urgency::Pressing;
        false
    }

    /// Decides where the job's next task goes, and notes since when there is no room.
    fn choose(&mut self, job_ix: JobIx, ranking: &mut Option<Ranking>) -> Choice {
        let cluster = self.context.cluster();
        let Some(job) = cluster.jobs.table.get(job_ix) else {
            return Choice::NoRoom;
        };
        let choice = choose(&cluster, job, &mut self.view, ranking);
        if let Some(job) = self.context.jobs.table.get_mut(job_ix) {
            match choice {
                Choice::NoRoom => {
                    job.short_since.get_or_insert(self.context.now.monotonic);
                }
                Choice::Wait { .. } => job.short_since = None,
                // The machine may still list an earlier attempt of the task: only what
                // is placed there ends the shortage.
                Choice::Start { .. } => {}
            }
        }
        choice
    }

    /// Whether a machine still lists an earlier attempt of this task. A start of that
    /// one may be on its way there, and does nothing only while it is listed.
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

    /// Whether the machine keeps what it lists until a higher term: it is not told to
    /// forget while a start of this term may still arrive there.
    fn is_start_in_doubt(&self, machine: MachineIx) -> bool {
        let machine = self.context.workers.machines.get(machine);
        machine.is_some_and(|machine| machine.has_unconfirmed_start_of(self.context.term))
    }

    fn start(&mut self, next: &NextTask, slot: usize) {
        self.view.assign(slot, next.resources, next.image);
        let machine = self.view.machine_at(slot);
        let chunk = self.context.open_attempt(next.job, next.task, machine);
        if let Some(job) = self.context.jobs.table.get_mut(next.job) {
            job.short_since = None;
        }
        // Tasks of one chunk are mostly placed one after the other.
        self.chunks
            .extend(chunk.filter(|chunk| self.chunks.last() != Some(chunk)));
        self.starts_left -= 1;
    }

    fn wait(&mut self, job_ix: JobIx, until: Millis) {
        if let Some(job) = self.context.jobs.table.get_mut(job_ix) {
            job.waiting_until = Some(until);
        }
    }

    /// `awaits_higher_term`: there is room on a machine that lists an earlier attempt of
    /// the task for as long as the term lasts.
    fn found_no_room(&mut self, next: &NextTask, awaits_higher_term: bool) {
        let now = self.context.now.monotonic;
        if let Some(job) = self.context.jobs.table.get_mut(next.job) {
            let asked = &mut self.context.workers.needs_higher_term;
            if awaits_higher_term && job.is_short_for_long(now) && !*asked {
                // Nothing else would ever end that wait.
                *asked = true;
                tracing::info!(job = job.id, "a start that may still arrive keeps a job waiting");
            }
            job.stop_avoiding_if_short(now);
            // Small tasks would fill for ever what it needs whole.
            if next.urgency == Urgency::Pressing {
                self.view.reserve(&job.shape);
            }
        }
    }
}
