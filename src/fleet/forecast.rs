//! Forecast of demand: how many tasks of each class the fleet should have capacity for.

use super::FleetContext;
use super::demand::{CapacityNeed, ClassDemand, TaskDemand};
use crate::Millis;
use crate::ids::{ClassIx, Index, TeamIx};
use crate::pipeline::Job;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// Shares of a new machine's boot time within which waiting tasks may start on existing
/// machines instead. The larger the share, the fewer machines are bought for short tasks:
/// an on-demand machine must pay back more of its boot time than a spot machine.
const SPOT_BOOT_SHARE: f64 = 0.2;
const ON_DEMAND_BOOT_SHARE: f64 = 0.5;
const ON_DEMAND_BOOT_SHARE_LOW_PRIORITY: f64 = 1.0;
/// The mean demand counts in full once the forecast period holds, on average, one sample for
/// every interval of this length in seconds. With fewer samples, the missing ones count as zero.
const FULL_WEIGHT_SAMPLE_INTERVAL_S: f64 = 3.0;
/// Lower bound in seconds of a divisor that would be zero if both the estimated duration of a
/// task and the time to start it were zero.
const MIN_DIVISOR_S: f64 = 0.001;

/// A class of jobs of one team: the key by which demand is summed up before the team's limit
/// is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TeamClass {
    class: ClassIx,
    team: TeamIx,
}

/// The demand for machines by class of jobs, with its samples over the forecast period.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    classes: BTreeMap<ClassIx, ClassDemand>,
}

impl Forecast {
    /// Samples the current demand. Returns the tasks of each class to have capacity for: the
    /// current demand, or the mean of the forecast period plus headroom if that is more.
    pub(crate) fn update(&mut self, context: &FleetContext<'_>) -> Vec<CapacityNeed> {
        self.add_new_classes(context);
        self.set_current_demand(context);
        self.add_samples(context);
        let needs = self.capacity_needs(context);
        self.classes.retain(|_, class| class.had_tasks());
        needs
    }

    fn add_new_classes(&mut self, context: &FleetContext<'_>) {
        for job in active_jobs(context) {
            self.classes
                .entry(job.class)
                .or_insert_with(|| ClassDemand::new(job.shape.clone(), job.best_effort));
        }
    }

    /// Sets the current demand of each class, in which each team counts up to its limit.
    fn set_current_demand(&mut self, context: &FleetContext<'_>) {
        for class in self.classes.values_mut() {
            class.current = TaskDemand::default();
        }
        for (TeamClass { class, team }, demand) in demand_by_team(context) {
            let Some(class) = self.classes.get_mut(&class) else {
                continue;
            };
            let cpus = class.shape.resources.cpus;
            let limit = context.jobs.team_quotas[team.usize()].limit.cpus;
            let max_tasks = if limit > 0.0 && cpus > 0.0 {
                (limit / cpus).floor()
            } else {
                f64::MAX
            };
            class.current.add(demand.capped(max_tasks));
        }
    }

    fn add_samples(&mut self, context: &FleetContext<'_>) {
        let period = crate::millis(context.policy.forecast_s);
        for class in self.classes.values_mut() {
            class.add_sample(context.now, period);
        }
    }

    fn capacity_needs(&self, context: &FleetContext<'_>) -> Vec<CapacityNeed> {
        let min_samples = context.policy.forecast_s / FULL_WEIGHT_SAMPLE_INTERVAL_S;
        let mut needs = Vec::new();
        for class in self.classes.values() {
            let count = class.target(context.policy.headroom, min_samples);
            if count > 0 {
                needs.push(CapacityNeed {
                    shape: class.shape.clone(),
                    count,
                    on_demand_count: class.current.on_demand.ceil() as u32,
                    best_effort: class.best_effort,
                });
            }
        }
        // Best-effort work comes last because it only uses capacity that the others leave.
        needs.sort_by(|a, b| {
            let by_size = b.shape.resources.cpus.total_cmp(&a.shape.resources.cpus);
            a.best_effort.cmp(&b.best_effort).then(by_size)
        });
        needs
    }
}

fn active_jobs<'a>(context: &FleetContext<'a>) -> impl Iterator<Item = &'a Job> {
    let jobs = context.jobs.table.iter().map(|(_, job)| job);
    jobs.filter(|job| job.is_active())
}

/// Returns the demand of the active jobs of each class and team, not yet limited to what the
/// team may use.
fn demand_by_team(context: &FleetContext<'_>) -> BTreeMap<TeamClass, TaskDemand> {
    let mut by_team: BTreeMap<TeamClass, TaskDemand> = BTreeMap::new();
    for job in active_jobs(context) {
        let team_class = TeamClass {
            class: job.class,
            team: job.team,
        };
        let boot_s = context.topology.shortest_boot_s(job.shape.resources);
        let demand = demand_of_job(job, boot_s, context.wall_clock);
        by_team.entry(team_class).or_default().add(demand);
    }
    by_team
}

/// Returns the demand of one job. `boot_s` is the shortest boot time in seconds of the machine
/// types that its tasks fit on.
fn demand_of_job(job: &Job, boot_s: f64, wall_clock: Millis) -> TaskDemand {
    // A job that keeps failing must not get machines for all its tasks, but it is retried and
    // so needs capacity for one.
    let waiting = if job.is_likely_misconfigured() {
        job.waiting_tasks().min(1)
    } else {
        job.waiting_tasks()
    };
    let tasks = f64::from(waiting) + job.open.len() as f64;
    // By the time a new machine is up, short tasks have finished or have been placed on
    // existing machines.
    let outlasting_boot = |boot_share: f64| concurrency_over(tasks, job.spec.estimate_s, boot_share * boot_s);
    let on_demand_share = match job.priority() {
        Priority::Low => ON_DEMAND_BOOT_SHARE_LOW_PRIORITY,
        _ => ON_DEMAND_BOOT_SHARE,
    };
    // Best-effort work can wait for capacity that others leave, unless it can't run on spot
    // machines.
    let buys_on_demand = !job.best_effort || !job.shape.spot;
    let on_demand = if buys_on_demand {
        outlasting_boot(on_demand_share).min(required_concurrency(job, tasks, boot_s, wall_clock))
    } else {
        0.0
    };
    TaskDemand {
        tasks,
        on_demand,
        spot: outlasting_boot(SPOT_BOOT_SHARE),
    }
}

/// Returns how many of a job's tasks must run concurrently for all of them to be started
/// by the time that the job's objective requires.
///
/// Tasks with time left can run later on machines that other tasks free. If the objective
/// is longer than a boot, machines requested when the job arrived are up in time, and all of
/// the remaining time counts. If it is shorter, or if the job has low priority and so is
/// placed after all others, only the time that remains after a boot counts. All tasks must run
/// concurrently if no time is left or the job has a deadline of its own.
fn required_concurrency(job: &Job, tasks: f64, boot_s: f64, wall_clock: Millis) -> f64 {
    let remaining_s = job.start_by_ms.saturating_sub(wall_clock) as f64 / 1000.0;
    let objective_s = job.start_by_ms.saturating_sub(job.accepted_ms) as f64 / 1000.0;
    let available_s = if objective_s > boot_s && job.priority() > Priority::Low {
        remaining_s
    } else {
        remaining_s - boot_s
    };
    if job.spec.deadline_s.is_none() && available_s > 0.0 {
        concurrency_over(tasks, job.spec.estimate_s, available_s)
    } else {
        tasks
    }
}

/// Returns how many tasks run concurrently if all are started within `window_s` seconds.
fn concurrency_over(tasks: f64, duration_s: f64, window_s: f64) -> f64 {
    tasks * duration_s / (duration_s + window_s).max(MIN_DIVISOR_S)
}
