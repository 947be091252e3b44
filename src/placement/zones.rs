//! The zones that are open to jobs which ask for one zone, or to be spread over zones.

use super::Cluster;
use crate::ids::{Index, ZoneIx};
use crate::pipeline::Job;

/// The zones in which one more task of the job may run now. `None`: any zone.
pub fn zones_open_to(cluster: &Cluster<'_>, job: &Job) -> Option<Vec<ZoneIx>> {
    if !job.zones_depend_on_open_tasks() {
        return None;
    }
    let tasks_in_zone = open_tasks_by_zone(cluster, job);
    let total: u32 = tasks_in_zone.iter().sum();
    let half = job.spec.tasks.div_ceil(2);
    let zones = (0..tasks_in_zone.len()).filter(|&zone| {
        let keeps_to_one_zone = !job.spec.one_zone || tasks_in_zone[zone] == total;
        let stays_spread = !job.spec.spread || tasks_in_zone[zone] < half;
        keeps_to_one_zone && stays_spread
    });
    Some(zones.map(ZoneIx::from_usize).collect())
}

/// How many open tasks of the job each zone has, in the order of the zones' indices.
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
