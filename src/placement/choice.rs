//! Pheromone's Algorithm 1: where the next task of a job goes, toward the machines that have its
//! image cached.

use super::Cluster;
use super::image_state::ImageState;
use super::machine_view::{MachineView, Ranking, RoomForTask};
use super::zones::zones_open_to;
use crate::Millis;
use crate::ids::{Index, TypeIx, ZoneIx};
use crate::pipeline::Job;

/// Below any rate at which images are fetched.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// What is decided for the next task of a job.
#[derive(Debug, PartialEq)]
pub enum Choice {
    /// It starts on the machine of this slot of the view.
    Start {
        /// Index of the slot.
        slot: usize,
    },
    /// The best machine is full for now and worth a short wait.
    Wait {
        /// The end of the wait.
        until: Millis,
    },
    /// No machine has room for it.
    NoRoom,
}

/// Decides where the next task of a job goes. `ranking`: that of the job, which is made
/// when there is none.
pub fn choose(cluster: &Cluster<'_>, job: &Job, view: &mut MachineView, ranking: &mut Option<Ranking>) -> Choice {
    if view.is_unplaceable(&job.shape) {
        return Choice::NoRoom;
    }
    let ranking = match ranking {
        Some(ranking) => ranking,
        None => {
            let zones = zones_open_to(cluster, job);
            if let Some(until) = wait_without_ranking(cluster, job, view, &zones) {
                return Choice::Wait { until };
            }
            ranking.insert(view.rank(cluster.workers, job, &zones))
        }
    };
    let Some(best) = view.best(ranking, job.image) else {
        // Other jobs of this shape need not look, unless it was only this
        // one that could not use what there is.
        if !job.zones_depend_on_open_tasks() && job.failed_on.is_empty() && ranking.is_complete() {
            view.note_unplaceable(&job.shape);
        }
        return Choice::NoRoom;
    };
    if best.image == ImageState::Cached || !best.cache_holder_full {
        return Choice::Start { slot: best.slot };
    }
    let until = waits_until(cluster, job, view.type_at(best.slot));
    if cluster.now.monotonic < until {
        Choice::Wait { until }
    } else {
        Choice::Start { slot: best.slot }
    }
}

/// Until when the job's tasks wait for a full cache holder, where this can be told
/// without a ranking: many jobs wait for their image at once.
fn wait_without_ranking(
    cluster: &Cluster<'_>,
    job: &Job,
    view: &mut MachineView,
    zones: &Option<Vec<ZoneIx>>,
) -> Option<Millis> {
    let now = cluster.now.monotonic;
    if job.waiting_until.is_some_and(|until| now >= until) {
        return None;
    }
    let RoomForTask::CacheHoldersFull { first_slot } = view.room_for(cluster.workers, job, zones) else {
        return None;
    };
    let until = waits_until(cluster, job, view.type_at(first_slot));
    (now < until).then_some(until)
}

/// Until when a job's tasks wait for a machine that has their image cached, rather
/// than fetch it on one of the given type.
fn waits_until(cluster: &Cluster<'_>, job: &Job, type_ix: TypeIx) -> Millis {
    job.waiting_until.unwrap_or_else(|| {
        let info = cluster.topology.type_info[type_ix.usize()].as_ref();
        let fetch_s = info.map_or(0.0, |info| {
            job.spec.image_gb / info.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        });
        // Waiting longer than the fetch that it saves gains nothing.
        cluster.now.monotonic + crate::millis(cluster.policy.locality_wait_s.min(fetch_s))
    })
}
