//! Which released task goes where: team limits and order, then one batch by
//! Algorithm 1 toward the machines that hold the tasks' images.

mod machine_view;
mod preemption;

use crate::Millis;
use crate::controller::Shard;
use crate::ids::{ChunkId, Index, JobIx, MachineIx, TypeIx, ZoneIx};
use crate::pipeline::Job;
use crate::resources::{Resources, Shape};
use crate::wire::Priority;
use crate::workers::{Attempt, split_task};
use machine_view::{MachineView, Ranking, RoomFor};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Attempts planned in one round, so that a round stays short.
const ROUND: usize = 200;

/// Shapes known to find no room. Only the least demanding are kept, since jobs of
/// one class differ in size and each would else be looked for again.
#[derive(Debug, Default)]
struct FullShapes {
    shapes: Vec<Shape>,
}

impl FullShapes {
    fn contains(&self, shape: &Shape) -> bool {
        self.shapes.iter().any(|full| shape.needs_at_least(full))
    }

    fn insert(&mut self, shape: &Shape) {
        self.shapes.retain(|full| !full.needs_at_least(shape));
        self.shapes.push(shape.clone());
    }
}

#[derive(Debug, PartialEq)]
enum Choice {
    /// At this place of the view.
    Place(usize),
    /// The best machine is full for now and worth a short wait.
    Wait {
        until: Millis,
    },
    NoRoom,
}

/// One round of placement.
struct Round {
    now: Millis,
    view: MachineView,
    /// Teams whose limit is kept for a job that would else never get its turn.
    held_teams: Vec<bool>,
    /// Attempts that may still be planned.
    left: usize,
}

impl Shard {
    /// Plans attempts for released tasks. They start once they are written.
    pub fn place(&mut self, now: Millis) {
        let mut round = Round {
            now,
            view: MachineView::new(self, now),
            held_teams: vec![false; self.jobs.team_quotas.len()],
            left: ROUND,
        };
        // What would starve gets one task each before all others, and is then
        // back in its place.
        for ix in self.starving_jobs() {
            self.place_job(ix, true, 1, &mut round);
        }
        for ix in self.placement_order() {
            if round.left == 0 {
                return;
            }
            self.place_job(ix, false, usize::MAX, &mut round);
        }
    }

    /// Places tasks of one job, up to `most`, until it finds no room.
    fn place_job(&mut self, ix: JobIx, starving: bool, most: usize, round: &mut Round) {
        let mut ranking = None;
        // Whether the ranking leaves out machines that list an earlier attempt of
        // the next task: a start of that one may be on its way there, and does
        // nothing only while it is listed.
        let mut skipped = false;
        let mut placed = 0;
        while placed < most && round.left > 0 {
            let Some(job) = self.jobs.table.get_mut(ix) else {
                return;
            };
            if job.fails_everywhere() && !job.open.is_empty() {
                // Tried again alone, for as long as its user lets it.
                return;
            }
            let Some(task) = job.peek(round.now) else {
                return;
            };
            let (resources, team, image) = (job.shape.resources, job.team.usize(), job.image);
            let is_bound_to_zones = job.is_bound_to_zones();
            let pressing = starving || job.old(self.wall_clock);
            if round.held_teams[team] || !self.jobs.team_quotas[team].allows(resources) {
                // Small tasks would for ever use up what the team's limit
                // leaves, and never leave it enough.
                round.held_teams[team] |= pressing;
                return;
            }
            let choice = self.choose(ix, &mut ranking, skipped, round);
            self.note_short(round.now, ix, &choice);
            match choice {
                Choice::Place(place) if self.lists_earlier(round.view.machine_at(place), ix, task) => {
                    if let Some(ranking) = &mut ranking {
                        ranking.skip_best();
                    }
                    skipped = true;
                }
                Choice::Place(place) => {
                    round.view.note_image(place, image);
                    let machine = round.view.take(place, resources);
                    self.open_attempt(ix, task, machine);
                    if skipped || is_bound_to_zones {
                        ranking = None;
                        skipped = false;
                    }
                    round.left -= 1;
                    placed += 1;
                }
                Choice::Wait { until } => {
                    if let Some(job) = self.jobs.table.get_mut(ix) {
                        job.waiting_until = Some(until);
                    }
                    return;
                }
                Choice::NoRoom => {
                    self.found_no_room(ix, pressing, round);
                    return;
                }
            }
        }
    }

    fn found_no_room(&mut self, ix: JobIx, pressing: bool, round: &mut Round) {
        if let Some(job) = self.jobs.table.get_mut(ix) {
            job.forgive(round.now);
            // Small tasks would fill for ever what it needs whole.
            if pressing {
                round.view.reserve(&job.shape);
            }
        }
    }

    /// Whether a machine still lists an earlier attempt of this task.
    fn lists_earlier(&self, machine: MachineIx, job: JobIx, task: u32) -> bool {
        let (Some(machine), Some(job)) = (self.workers.machines.get(machine), self.jobs.table.get(job)) else {
            return false;
        };
        machine
            .unmatched_tasks
            .iter()
            .any(|unmatched| split_task(&unmatched.task) == Some((job.id.as_str(), task)))
    }

    /// Jobs that fit into their team's guarantee along with the team's earlier
    /// unfinished jobs: these need not wait on other teams.
    fn guaranteed_jobs(&self) -> BTreeSet<JobIx> {
        let mut by_arrival: Vec<(u64, JobIx)> = self
            .jobs
            .table
            .iter()
            .filter(|(_, job)| job.live())
            .map(|(ix, job)| (job.accepted_ms, ix))
            .collect();
        by_arrival.sort_unstable();
        let mut used = vec![Resources::default(); self.jobs.team_quotas.len()];
        let mut guaranteed = BTreeSet::new();
        for (_, ix) in by_arrival {
            let Some(job) = self.jobs.table.get(ix) else {
                continue;
            };
            let tasks = f64::from(job.spec.tasks - job.done.len());
            let used = &mut used[job.team.usize()];
            used.add(Resources {
                cpus: job.shape.resources.cpus * tasks,
                gpus: job.shape.resources.gpus * tasks,
                memory_gb: 0.0,
            });
            let guarantee = self.jobs.team_quotas[job.team.usize()].guarantee;
            if used.cpus <= guarantee.cpus + 1e-6 && used.gpus <= guarantee.gpus + 1e-6 {
                guaranteed.insert(ix);
            }
        }
        guaranteed
    }

    /// Live jobs none of whose tasks was placed for long, the oldest first.
    fn starving_jobs(&self) -> Vec<JobIx> {
        let starving = self.jobs.table.iter().filter(|(_, job)| job.starving(self.wall_clock));
        let mut jobs: Vec<_> = starving.map(|(ix, job)| (job.accepted_ms, ix)).collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, ix)| ix).collect()
    }

    /// Live jobs with tasks to place: those within their team's guarantee first,
    /// then by priority, then those that can be in time, then the most urgent.
    /// Old jobs rank above all.
    fn placement_order(&self) -> Vec<JobIx> {
        let guaranteed = self.guaranteed_jobs();
        let mut order: Vec<_> = self
            .jobs
            .table
            .iter()
            .filter(|(_, job)| job.live() && job.waiting() > 0)
            .map(|(ix, job)| {
                let old = job.old(self.wall_clock);
                let beyond = !old && !guaranteed.contains(&ix);
                let priority = if old { Priority::Production } else { job.priority() };
                // What can't be in time any more lets the others pass.
                let missed = !old && job.spec.deadline_s.is_some() && self.wall_clock > job.start_by_ms;
                (beyond, Reverse(priority), missed, job.start_by_ms, ix)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., ix)| ix).collect()
    }

    /// Where the next task of a job goes. `ranking`: made when there is none.
    /// `skipped`: it leaves out machines that only this task can't use.
    fn choose(&self, ix: JobIx, ranking: &mut Option<Ranking>, skipped: bool, round: &mut Round) -> Choice {
        let view = &mut round.view;
        let Some(job) = self.jobs.table.get(ix) else {
            return Choice::NoRoom;
        };
        if view.is_full_for(&job.shape) {
            return Choice::NoRoom;
        }
        let ranking = match ranking {
            Some(ranking) => ranking,
            None => {
                let zones = self.zones_open_to(job);
                // Many jobs wait at once for their image: that costs no ranking.
                if job.waiting_until.is_none_or(|until| round.now < until)
                    && let RoomFor::BesideFullHolder { place } = view.room_for(self, job, &zones)
                {
                    let until = self.waits_until(job, view.type_of(place), round.now);
                    if round.now < until {
                        return Choice::Wait { until };
                    }
                }
                ranking.insert(view.rank(self, job, &zones))
            }
        };
        let Some(best) = view.best(ranking, job.image) else {
            // Other jobs of this shape need not look, unless it was only this
            // one that could not use what there is.
            if !job.is_bound_to_zones() && job.failed_on.is_empty() && !skipped {
                view.note_full(&job.shape);
            }
            return Choice::NoRoom;
        };
        if best.holds || !best.holder_full {
            return Choice::Place(best.place);
        }
        let until = self.waits_until(job, view.type_of(best.place), round.now);
        if round.now < until {
            Choice::Wait { until }
        } else {
            Choice::Place(best.place)
        }
    }

    /// Until when a job's tasks wait for a machine that holds their image, rather than
    /// fetch it on one of the given type.
    fn waits_until(&self, job: &Job, type_ix: TypeIx, now: Millis) -> Millis {
        job.waiting_until.unwrap_or_else(|| {
            let info = self.topology.type_info[type_ix.usize()].as_ref();
            let fetch_s = info.map_or(0.0, |info| job.spec.image_gb / info.fetch_gb_per_s.max(0.001));
            // Waiting longer than the fetch that it saves gains nothing.
            now + crate::millis(self.policy.locality_wait_s.min(fetch_s))
        })
    }

    /// For a job bound to one zone, or spread over zones: the zones in which
    /// one more of its tasks may run now. `None`: any.
    fn zones_open_to(&self, job: &Job) -> Option<Vec<ZoneIx>> {
        if !job.is_bound_to_zones() {
            return None;
        }
        let mut counts = vec![0u32; self.topology.zones.len()];
        for attempt in job.open.values().filter_map(|&ix| self.workers.attempts.get(ix)) {
            if let Some(machine) = self.workers.machines.get(attempt.machine) {
                counts[machine.zone.usize()] += 1;
            }
        }
        let total: u32 = counts.iter().sum();
        let half = job.spec.tasks.div_ceil(2);
        let zones = (0..counts.len()).filter(|&zone| {
            let alone = !job.spec.one_zone || counts[zone] == total;
            let spread = !job.spec.spread || counts[zone] < half;
            alone && spread
        });
        Some(zones.map(ZoneIx::from_usize).collect())
    }

    pub(crate) fn open_attempt(&mut self, job_ix: JobIx, task: u32, machine_ix: MachineIx) {
        let (Some(job), Some(machine)) = (
            self.jobs.table.get_mut(job_ix),
            self.workers.machines.get_mut(machine_ix),
        ) else {
            return;
        };
        let number = job.chunk_of(task, self.jobs.chunk_tasks);
        let chunk = &mut job.chunks[number];
        let attempt = Attempt {
            job: job_ix,
            task,
            number: chunk.next,
            machine: machine_ix,
            agent_epoch: machine.agent_epoch,
            written: false,
            writing: false,
            observed_state: None,
            running_since: None,
            start_sent: None,
            start_answered: false,
            stop: None,
            withdrawn: false,
        };
        chunk.next += 1;
        chunk.dirty = true;
        job.take(task);
        job.last_start_ms = self.wall_clock;
        if job.waiting() == 0 {
            job.short_since = None;
            job.waiting_until = None;
        }
        let resources = job.shape.resources;
        self.jobs.team_quotas[job.team.usize()].used.add(resources);
        machine.used.add(resources);
        let cache_gb = self.topology.type_info[machine.type_ix.usize()]
            .as_ref()
            .map_or(0.0, |info| info.cache_gb);
        machine.touch(job.image, job.spec.image_gb, cache_gb);
        let ix = self.workers.attempts.insert(attempt);
        machine.open.push(ix);
        job.open.insert(task, ix);
        self.pending_writes.starts.insert(ChunkId {
            job: job_ix,
            number: number as u32,
        });
    }
}
