//! How many tasks of each class machines should be ready for.

use super::FleetContext;
use super::demand::{CapacityNeed, ClassDemand, TaskDemand};
use crate::Millis;
use crate::ids::{ClassIx, Index, TeamIx};
use crate::pipeline::Job;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// How much of its boot time a new machine has to pay back before it is worth buying
/// for tasks that wait now: a spot machine soon, an on-demand one later.
const SPOT_BOOT_SHARE: f64 = 0.2;
const ON_DEMAND_BOOT_SHARE: f64 = 0.5;
const ON_DEMAND_BOOT_SHARE_LOW_PRIORITY: f64 = 1.0;
/// The mean is trusted in full once there is a sample for every so many seconds.
const FEWEST_SAMPLES_DIVISOR_S: f64 = 3.0;
/// Keeps a division by the duration of a task finite.
const SHORTEST_DURATION_S: f64 = 0.001;

/// The tasks of one class that one team has, to which the team's limit applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassOfTeam {
    class: ClassIx,
    team: TeamIx,
}

/// The demand for machines, by class of jobs, and its course over the forecast period.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    classes: BTreeMap<ClassIx, ClassDemand>,
}

impl Forecast {
    /// Tasks of each class to be ready for: what waits and runs now, or what
    /// ran on average lately with some headroom, whichever is more.
    pub(crate) fn update(&mut self, context: &FleetContext<'_>) -> Vec<CapacityNeed> {
        self.add_new_classes(context);
        self.set_current_demand(context);
        self.add_samples(context);
        let needs = self.capacity_needs(context);
        self.classes.retain(|_, class| class.had_tasks());
        needs
    }

    fn add_new_classes(&mut self, context: &FleetContext<'_>) {
        for job in live_jobs(context) {
            self.classes
                .entry(job.class)
                .or_insert_with(|| ClassDemand::new(job.shape.clone(), job.best_effort));
        }
    }

    /// What is wanted now, of which no team can use more than its limit.
    fn set_current_demand(&mut self, context: &FleetContext<'_>) {
        for class in self.classes.values_mut() {
            class.current = TaskDemand::default();
        }
        for (ClassOfTeam { class, team }, demand) in demand_by_team(context) {
            let Some(class) = self.classes.get_mut(&class) else {
                continue;
            };
            let cpus = class.shape.resources.cpus;
            let limit = context.jobs.team_quotas[team.usize()].limit.cpus;
            let most_tasks = if limit > 0.0 && cpus > 0.0 {
                (limit / cpus).floor()
            } else {
                f64::MAX
            };
            class.current.add(demand.at_most(most_tasks));
        }
    }

    fn add_samples(&mut self, context: &FleetContext<'_>) {
        let period = crate::millis(context.policy.forecast_s);
        for class in self.classes.values_mut() {
            class.add_sample(context.now, period);
        }
    }

    fn capacity_needs(&self, context: &FleetContext<'_>) -> Vec<CapacityNeed> {
        let fewest_samples = context.policy.forecast_s / FEWEST_SAMPLES_DIVISOR_S;
        let mut needs = Vec::new();
        for class in self.classes.values() {
            let count = class.target(context.policy.headroom, fewest_samples);
            if count > 0 {
                needs.push(CapacityNeed {
                    shape: class.shape.clone(),
                    count,
                    on_demand_count: class.current.on_demand.ceil() as u32,
                    best_effort: class.best_effort,
                });
            }
        }
        // Best-effort work yields to all others, and so gets what they leave.
        needs.sort_by(|a, b| {
            let by_size = b.shape.resources.cpus.total_cmp(&a.shape.resources.cpus);
            a.best_effort.cmp(&b.best_effort).then(by_size)
        });
        needs
    }
}

fn live_jobs<'a>(context: &FleetContext<'a>) -> impl Iterator<Item = &'a Job> {
    let jobs = context.jobs.table.iter().map(|(_, job)| job);
    jobs.filter(|job| job.is_active())
}

fn demand_by_team(context: &FleetContext<'_>) -> BTreeMap<ClassOfTeam, TaskDemand> {
    let mut by_team: BTreeMap<ClassOfTeam, TaskDemand> = BTreeMap::new();
    for job in live_jobs(context) {
        let class_of_team = ClassOfTeam {
            class: job.class,
            team: job.team,
        };
        let boot_s = context.topology.shortest_boot_s(job.shape.resources);
        let demand = demand_of_job(job, boot_s, context.wall_clock);
        by_team.entry(class_of_team).or_default().add(demand);
    }
    by_team
}

fn demand_of_job(job: &Job, boot_s: f64, wall_clock: Millis) -> TaskDemand {
    // A job that keeps failing must not get machines for all its tasks,
    // but it is tried again, so it needs one.
    let waiting = if job.is_likely_misconfigured() {
        job.waiting_tasks().min(1)
    } else {
        job.waiting_tasks()
    };
    let tasks = f64::from(waiting) + job.open.len() as f64;
    // By the time a new machine is up, short tasks are over, or have
    // found room on the old ones.
    let lasting = |boot_share: f64| tasks_at_a_time(tasks, job.spec.estimate_s, boot_share * boot_s);
    let on_demand_share = match job.priority() {
        Priority::Low => ON_DEMAND_BOOT_SHARE_LOW_PRIORITY,
        _ => ON_DEMAND_BOOT_SHARE,
    };
    // Best-effort work can wait for what others leave, unless no spot machine will do.
    let buys_on_demand = !job.best_effort || !job.shape.spot;
    let on_demand = if buys_on_demand {
        lasting(on_demand_share).min(tasks_needed_in_time(job, tasks, boot_s, wall_clock))
    } else {
        0.0
    };
    TaskDemand {
        tasks,
        on_demand,
        spot: lasting(SPOT_BOOT_SHARE),
    }
}

/// How many of a job's tasks have to run at a time, for all to be started by the time the
/// job's objective asks for.
///
/// What has time can follow on machines that others leave: at any time where its aim is
/// longer than a boot, so that what was asked for when it came is there by then; else, and
/// behind all others, only once new ones would be up.
fn tasks_needed_in_time(job: &Job, tasks: f64, boot_s: f64, wall_clock: Millis) -> f64 {
    let left_s = job.start_by_ms.saturating_sub(wall_clock) as f64 / 1000.0;
    let aim_s = job.start_by_ms.saturating_sub(job.accepted_ms) as f64 / 1000.0;
    let time_s = if aim_s > boot_s && job.priority() > Priority::Low {
        left_s
    } else {
        left_s - boot_s
    };
    if job.spec.deadline_s.is_none() && time_s > 0.0 {
        tasks_at_a_time(tasks, job.spec.estimate_s, time_s)
    } else {
        tasks
    }
}

/// How many tasks run at a time, if all are to be started within `spread_s`.
fn tasks_at_a_time(tasks: f64, duration_s: f64, spread_s: f64) -> f64 {
    tasks * duration_s / (duration_s + spread_s).max(SHORTEST_DURATION_S)
}
