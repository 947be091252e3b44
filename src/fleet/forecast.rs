//! How many tasks of each class machines should be ready for.

use super::{Demand, UNKNOWN_BOOT_S};
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{ClassIx, Index, TeamIx};
use crate::resources::Shape;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// How much of its boot time a new machine has to pay back before it is worth
/// renting for tasks that wait now: a spot machine soon, an ordinary one later.
const SPOT_BOOT: f64 = 0.2;
const ORDINARY_BOOT: f64 = 0.5;
const ORDINARY_BOOT_LOW: f64 = 1.0;

/// A number of like tasks wanted at once.
pub(super) struct Want {
    pub shape: Shape,
    pub count: u32,
    /// Of these, the ones that are there now: worth an ordinary machine where
    /// spot machines are not to be had.
    pub firm: u32,
    pub best_effort: bool,
}

/// The tasks of one class that one team has, to which the team's limit applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassOfTeam {
    class: ClassIx,
    team: TeamIx,
}

/// How many tasks of one class a team has.
#[derive(Clone, Copy, Debug, Default)]
struct TeamDemand {
    /// Wanted at once.
    wanted: f64,
    /// Worth renting ordinary machines for.
    lasting: f64,
    /// Worth renting spot machines for.
    spot: f64,
}

impl Shard {
    /// Tasks of each class to be ready for: what waits and runs now, or what
    /// ran on average lately with some headroom, whichever is more.
    pub(super) fn forecast(&mut self, now: Millis) -> Vec<Want> {
        let mut team_wants: BTreeMap<ClassOfTeam, TeamDemand> = BTreeMap::new();
        for (_, job) in self.jobs.table.iter().filter(|(_, job)| job.live()) {
            self.fleet.demand.entry(job.class).or_insert_with(|| Demand {
                shape: job.shape.clone(),
                best_effort: job.best_effort,
                ..Demand::default()
            });
            // A job that keeps failing must not rent machines for all its tasks,
            // but it is tried again, so it needs one.
            let waiting = if job.fails_everywhere() {
                job.waiting().min(1)
            } else {
                job.waiting()
            };
            // By the time a new machine is up, short tasks are over, or have
            // found room on the old ones.
            let boot_s = self.boot_s(&job.shape);
            let wanted = f64::from(waiting) + job.open.len() as f64;
            let lasting = |part: f64| wanted * job.spec.estimate_s / (job.spec.estimate_s + part * boot_s).max(0.001);
            let entry = team_wants
                .entry(ClassOfTeam {
                    class: job.class,
                    team: job.team,
                })
                .or_default();
            entry.wanted += wanted;
            let part = match job.priority() {
                Priority::Low => ORDINARY_BOOT_LOW,
                _ => ORDINARY_BOOT,
            };
            // What has time can follow on machines that others leave: at any time
            // where its aim is longer than a boot, so that what was asked for when
            // it came is there by then; else, and behind all others, only once
            // new ones would be up.
            let left_s = job.start_by_ms.saturating_sub(self.wall_clock) as f64 / 1000.0;
            let aim_s = job.start_by_ms.saturating_sub(job.accepted_ms) as f64 / 1000.0;
            let time_s = if aim_s > boot_s && job.priority() > Priority::Low {
                left_s
            } else {
                left_s - boot_s
            };
            let enough = if job.spec.deadline_s.is_none() && time_s > 0.0 {
                wanted * job.spec.estimate_s / (job.spec.estimate_s + time_s).max(0.001)
            } else {
                wanted
            };
            // It can wait for what others leave, unless nothing else will do.
            if !job.best_effort || !job.shape.spot {
                entry.lasting += lasting(part).min(enough);
            }
            entry.spot += lasting(SPOT_BOOT);
        }
        for demand in self.fleet.demand.values_mut() {
            demand.now = 0.0;
            demand.lasting = 0.0;
            demand.spot = 0.0;
        }
        for (ClassOfTeam { class, team }, team_demand) in team_wants {
            let demand = self.fleet.demand.entry(class).or_default();
            let cpus = demand.shape.resources.cpus;
            let limit = self.jobs.team_quotas[team.usize()].limit.cpus;
            let most = if limit > 0.0 && cpus > 0.0 {
                (limit / cpus).floor()
            } else {
                f64::MAX
            };
            demand.now += team_demand.wanted.min(most);
            demand.lasting += team_demand.lasting.min(most);
            demand.spot += team_demand.spot.min(most);
        }
        let horizon = crate::millis(self.policy.forecast_s);
        let mut wants = Vec::new();
        for demand in self.fleet.demand.values_mut() {
            demand.history.push_back((now, demand.now));
            while demand.history.front().is_some_and(|&(at, _)| at + horizon < now) {
                demand.history.pop_front();
            }
            let samples = self.policy.forecast_s / 3.0;
            let count = demand.target(self.policy.headroom, samples);
            if count > 0 {
                let shape = demand.shape.clone();
                let firm = demand.lasting.ceil() as u32;
                wants.push(Want {
                    shape,
                    count,
                    firm,
                    best_effort: demand.best_effort,
                });
            }
        }
        self.fleet
            .demand
            .retain(|_, demand| demand.history.iter().any(|&(_, wanted)| wanted > 0.0));
        // Best-effort work yields to all others, and so gets what they leave.
        wants.sort_by(|a, b| {
            let by_size = b.shape.resources.cpus.total_cmp(&a.shape.resources.cpus);
            a.best_effort.cmp(&b.best_effort).then(by_size)
        });
        wants
    }

    /// The shortest boot of a machine that such a task fits.
    fn boot_s(&self, shape: &Shape) -> f64 {
        let fitting = self
            .topology
            .type_info
            .iter()
            .flatten()
            .filter(|info| info.resources.fits(shape.resources));
        fitting
            .map(|info| info.boot_s)
            .reduce(f64::min)
            .unwrap_or(UNKNOWN_BOOT_S)
    }
}

impl Demand {
    /// `least`: samples below which the mean is not trusted in full.
    pub(super) fn target(&self, headroom: f64, least: f64) -> u32 {
        let samples = (self.history.len() as f64).max(least);
        let mean = self.history.iter().map(|(_, wanted)| wanted).sum::<f64>() / samples;
        (mean * (1.0 + headroom)).max(self.lasting).max(self.spot).ceil() as u32
    }
}
