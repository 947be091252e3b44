//! The zones allowed for jobs whose tasks must all run in one zone or be spread over zones.

use super::Cluster;
use crate::ids::{Index, ZoneIx};
use crate::pipeline::Job;

/// Returns the zones in which one more task of the job may run now, given where its open tasks
/// are. Returns `None` if the job has no such rule and all zones are allowed.
///
/// A job restricted to one zone stays in the zone of its open tasks. A job that is spread over
/// zones has at most half of its tasks, rounded up, open in the same zone.
pub fn allowed_zones(cluster: &Cluster<'_>, job: &Job) -> Option<Vec<ZoneIx>> {
    if !job.zones_depend_on_open_tasks() {
        return None;
    }
    let tasks_in_zone = open_tasks_by_zone(cluster, job);
    let total: u32 = tasks_in_zone.iter().sum();
    let max_per_zone = job.spec.tasks.div_ceil(2);
    let zones = (0..tasks_in_zone.len()).filter(|&zone| {
        let satisfies_one_zone = !job.spec.one_zone || tasks_in_zone[zone] == total;
        let satisfies_spread = !job.spec.spread || tasks_in_zone[zone] < max_per_zone;
        satisfies_one_zone && satisfies_spread
    });
    Some(zones.map(ZoneIx::from_usize).collect())
}

/// Returns the number of the job's open tasks in each zone, by zone index.
fn open_tasks_by_zone(cluster: &Cluster<'_>, job: &Job) -> Vec<u32> {
    let mut counts = vec![0u32; cluster.topology.zones.len()];
    let attempts = job.open.values().filter_map(|&ix| cluster.workers.attempts.get(ix));
    for attempt in attempts {
        if let Some(machine) = cluster.workers.machines.get(attempt.machine) {
            counts[machine.zone.usize()] += 1;
        }
    }
    counts
}
