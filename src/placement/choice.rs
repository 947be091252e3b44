//! Chooses the machine for the next task of a job by Pheromone's Algorithm 1, which prefers
//! machines that have the job's image cached.

use super::Cluster;
use super::image_state::ImageState;
use super::machine_view::{MachineView, Ranking, RoomForTask};
use super::zones::allowed_zones;
use crate::Millis;
use crate::ids::{Index, TypeIx, ZoneIx};
use crate::pipeline::Job;

/// Lower bound for the fetch rate of a machine type, below any real rate. Guards the
/// estimate of a fetch against a rate of zero.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// The decision for the next task of a job.
#[derive(Debug, PartialEq)]
pub enum Choice {
    /// The task starts on the machine of this slot of the view.
    Start {
        /// Index of the slot.
        slot: usize,
    },
    /// All machines with the image cached are full for now, and the task waits a short
    /// time for one of them.
    Wait {
        /// The end of the wait, in milliseconds of the monotonic clock.
        until: Millis,
    },
    /// No machine that the job may use has room for the task.
    NoRoom,
}

/// Decides where the next task of a job goes. `ranking` is the job's ranking of the slots;
/// it is computed if it is `None` and then kept for the job's next tasks.
pub fn choose(cluster: &Cluster<'_>, job: &Job, view: &mut MachineView, ranking: &mut Option<Ranking>) -> Choice {
    if view.is_unplaceable(&job.shape) {
        return Choice::NoRoom;
    }
    let ranking = match ranking {
        Some(ranking) => ranking,
        None => {
            let zones = allowed_zones(cluster, job);
            if let Some(until) = cache_wait_without_ranking(cluster, job, view, &zones) {
                return Choice::Wait { until };
            }
            ranking.insert(view.rank(cluster.workers, job, &zones))
        }
    };
    let Some(best) = view.best(ranking, job.image) else {
        // Other jobs of this shape need not search again, unless slots were ruled out
        // for this job alone.
        if !job.zones_depend_on_open_tasks() && job.failed_on.is_empty() && ranking.is_complete() {
            view.note_unplaceable(&job.shape);
        }
        return Choice::NoRoom;
    };
    if best.image == ImageState::Cached || !best.cache_holder_full {
        return Choice::Start { slot: best.slot };
    }
    let until = cache_wait_end(cluster, job, view.type_at(best.slot));
    if cluster.now.monotonic < until {
        Choice::Wait { until }
    } else {
        Choice::Start { slot: best.slot }
    }
}

/// Until when the job's tasks wait for a full machine that has their image cached, if this
/// can be decided without a ranking. This saves work when many jobs wait for their images
/// at once.
fn cache_wait_without_ranking(
    cluster: &Cluster<'_>,
    job: &Job,
    view: &mut MachineView,
    zones: &Option<Vec<ZoneIx>>,
) -> Option<Millis> {
    let now = cluster.now.monotonic;
    if job.cache_wait_until.is_some_and(|until| now >= until) {
        return None;
    }
    let RoomForTask::CacheHoldersFull { first_slot } = view.room_for(cluster.workers, job, zones) else {
        return None;
    };
    let until = cache_wait_end(cluster, job, view.type_at(first_slot));
    (now < until).then_some(until)
}

/// Until when a job's tasks wait for a machine that has their image cached, rather than
/// start on a machine of the given type and fetch the image there. The end of a wait that has
/// begun stays the same.
fn cache_wait_end(cluster: &Cluster<'_>, job: &Job, type_ix: TypeIx) -> Millis {
    job.cache_wait_until.unwrap_or_else(|| {
        let info = cluster.topology.type_info[type_ix.usize()].as_ref();
        let fetch_s = info.map_or(0.0, |info| {
            job.spec.image_gb / info.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        });
        // Waiting longer than the fetch takes gains nothing.
        cluster.now.monotonic + crate::millis(cluster.policy.locality_wait_s.min(fetch_s))
    })
}
