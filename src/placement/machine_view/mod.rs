//! A round's view of the machines. It holds only the data that the choice of a machine
//! needs, in one contiguous vector, so that scanning all machines is cheap.

mod image_caches;
mod ranking;
mod slot;

pub use ranking::{BestSlot, Ranking};

use super::image_state::ImageState;
use super::unplaceable_shapes::UnplaceableShapes;
use crate::Millis;
use crate::ids::{ImageIx, Index, MachineIx, TypeIx, ZoneIx};
use crate::pipeline::Job;
use crate::resources::{Resources, Shape};
use crate::topology::Topology;
use crate::workers::Workers;
use image_caches::ImageCaches;
use ranking::Score;
use slot::Slot;

/// At most one slot in this many, rounded up, is reserved for urgent jobs.
const SLOTS_PER_RESERVATION: usize = 8;

/// Whether a task of a job has room on machines with or without the job's image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomForTask {
    /// At least one machine with room has the image cached.
    WithImageCached,
    /// Only machines without the image have room, and a machine that has it cached (a cache
    /// holder) is full.
    CacheHoldersFull {
        /// Index of the first slot with room.
        first_slot: usize,
    },
    /// Only machines without the image have room, and no machine that the job may use has it
    /// cached.
    WithoutImage,
    /// No machine has room.
    Nowhere,
}

/// The machines that may be given tasks, with the room left on each. Each machine has one
/// slot, which is identified by its index.
#[derive(Debug)]
pub struct MachineView {
    slots: Vec<Slot>,
    image_caches: ImageCaches,
    /// Shapes for which no slot has room. Room only shrinks within a round, so entries stay
    /// valid until its end.
    unplaceable: UnplaceableShapes,
    /// The number of reserved slots.
    reserved: usize,
}

/// A slot that a job may use, whether or not it has room.
struct AllowedSlot<'a> {
    index: usize,
    slot: &'a Slot,
    image: ImageState,
}

impl MachineView {
    /// Creates a view of the machines that may be given tasks now.
    pub fn new(workers: &Workers, topology: &Topology, now: Millis) -> MachineView {
        let mut slots = Vec::with_capacity(workers.machines.len());
        for (machine_ix, machine) in workers.machines.iter() {
            if !machine.usable(now) {
                continue;
            }
            if let Some(info) = &topology.type_info[machine.type_ix.usize()] {
                slots.push(Slot::new(machine_ix, machine, info));
            }
        }
        MachineView {
            slots,
            image_caches: ImageCaches::default(),
            unplaceable: UnplaceableShapes::default(),
            reserved: 0,
        }
    }

    /// Iterates over the slots that the job may use, in the order of their indices.
    fn slots_allowed_for<'a>(
        &'a self,
        job: &'a Job,
        zones: &'a Option<Vec<ZoneIx>>,
    ) -> impl Iterator<Item = AllowedSlot<'a>> {
        let image_states = self.image_caches.states(job.image);
        let slots = self.slots.iter().zip(image_states).enumerate();
        slots
            .map(|(index, (slot, &image))| AllowedSlot { index, slot, image })
            .filter(|AllowedSlot { slot, .. }| {
                slot.is_allowed_by(&job.shape)
                    && zones.as_ref().is_none_or(|zones| zones.contains(&slot.offer.zone))
                    && !job.failed_on.contains(&slot.machine)
            })
    }

    /// Returns which machines in these zones have room for one of the job's tasks. `None`
    /// stands for all zones.
    pub fn room_for(&mut self, workers: &Workers, job: &Job, zones: &Option<Vec<ZoneIx>>) -> RoomForTask {
        self.image_caches.ensure_states(job.image, &self.slots, workers);
        // The record of full cache holders covers all zones and machines, so it can't be used
        // for a job that is restricted to some of them.
        let has_job_specific_limits = zones.is_some() || !job.failed_on.is_empty();
        if !has_job_specific_limits && self.image_caches.are_holders_full_for(job) {
            let mut allowed_slots = self.slots_allowed_for(job, zones);
            let found = allowed_slots.find(|allowed| allowed.slot.has_room(job.shape.resources));
            return found.map_or(RoomForTask::Nowhere, |allowed| RoomForTask::CacheHoldersFull {
                first_slot: allowed.index,
            });
        }
        let (mut first_slot, mut cache_holder_full) = (None, false);
        for allowed in self.slots_allowed_for(job, zones) {
            match (allowed.slot.has_room(job.shape.resources), allowed.image) {
                (true, ImageState::Cached) => return RoomForTask::WithImageCached,
                (true, ImageState::Missing) => first_slot = first_slot.or(Some(allowed.index)),
                (false, image) => cache_holder_full |= image == ImageState::Cached,
            }
        }
        if cache_holder_full && !has_job_specific_limits {
            self.image_caches.note_holders_full_for(job);
        }
        match (first_slot, cache_holder_full) {
            (None, _) => RoomForTask::Nowhere,
            (Some(first_slot), true) => RoomForTask::CacheHoldersFull { first_slot },
            (Some(_), false) => RoomForTask::WithoutImage,
        }
    }

    /// Ranks the slots in these zones that the job may use and that have room for one of its
    /// tasks. `None` stands for all zones.
    pub fn rank(&mut self, workers: &Workers, job: &Job, zones: &Option<Vec<ZoneIx>>) -> Ranking {
        self.image_caches.ensure_states(job.image, &self.slots, workers);
        let mut scores = Vec::with_capacity(self.slots.len());
        let mut cache_holder_full = false;
        for allowed in self.slots_allowed_for(job, zones) {
            if allowed.slot.has_room(job.shape.resources) {
                scores.push(Score::new(allowed.index, allowed.slot, allowed.image));
            } else {
                cache_holder_full |= allowed.image == ImageState::Cached;
            }
        }
        Ranking::new(scores, job.shape.resources, cache_holder_full)
    }

    /// Returns the best slot of a ranking that still has room. Slots that have become full
    /// since they were ranked are dropped from the ranking.
    pub fn best(&self, ranking: &mut Ranking, image: ImageIx) -> Option<BestSlot> {
        loop {
            let slot = ranking.best_slot()?;
            let image = self.image_caches.state(image, slot);
            if self.slots[slot].has_room(ranking.resources) {
                return Some(BestSlot {
                    slot,
                    image,
                    cache_holder_full: ranking.cache_holder_full,
                });
            }
            ranking.drop_full(image);
        }
    }

    /// Subtracts a task's resources from a slot's room and records that the machine has the
    /// task's image cached or is fetching it.
    pub fn assign(&mut self, slot: usize, resources: Resources, image: ImageIx) {
        self.image_caches.mark_cached(image, slot);
        self.slots[slot].free.subtract(resources);
    }

    /// Reserves the slot with the most free CPUs that the shape may use. No job is placed on
    /// a reserved slot for the rest of the round, so that its room grows as running tasks end,
    /// until the shape fits. Does nothing once one in `SLOTS_PER_RESERVATION` slots is reserved.
    pub fn reserve(&mut self, shape: &Shape) {
        if self.reserved >= self.slots.len().div_ceil(SLOTS_PER_RESERVATION) {
            return;
        }
        let may_be_reserved = |slot: &&mut Slot| !slot.reserved && slot.is_allowed_by(shape);
        let available = self.slots.iter_mut().filter(may_be_reserved);
        if let Some(slot) = available.max_by(|a, b| a.free.cpus.total_cmp(&b.free.cpus)) {
            slot.reserved = true;
            self.reserved += 1;
        }
    }

    /// Returns the machine of a slot.
    pub fn machine_at(&self, slot: usize) -> MachineIx {
        self.slots[slot].machine
    }

    /// Returns the type of a slot's machine.
    pub fn type_at(&self, slot: usize) -> TypeIx {
        self.slots[slot].offer.type_ix
    }

    /// Whether an earlier search of this round found that no slot has room for the shape.
    pub fn is_unplaceable(&self, shape: &Shape) -> bool {
        self.unplaceable.contains(shape)
    }

    /// Records that no slot has room for the shape.
    pub fn note_unplaceable(&mut self, shape: &Shape) {
        self.unplaceable.insert(shape);
    }
}

#[cfg(test)]
mod tests;
