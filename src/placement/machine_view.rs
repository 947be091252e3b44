//! The machines as one round of placement sees them: only what the choice needs,
//! side by side, so that looking at all of them is cheap.

use super::FullShapes;
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{ImageIx, Index, MachineIx, TypeIx, ZoneIx};
use crate::pipeline::Job;
use crate::resources::Resources;
use crate::resources::Shape;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

#[derive(Debug)]
struct Slot {
    machine: MachineIx,
    type_ix: TypeIx,
    zone: ZoneIx,
    spot: bool,
    type_cpus: f64,
    free: Resources,
    reserved: bool,
}

impl Slot {
    fn has_room(&self, resources: Resources) -> bool {
        !self.reserved && self.free.fits(resources)
    }
}

/// Where there is room for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomFor {
    /// On a machine that holds its image.
    AtHolder,
    /// Only on others, while one that holds it is full. `place`: the first of them.
    BesideFullHolder {
        place: usize,
    },
    /// Only on others, and nobody else holds it.
    Elsewhere,
    Nowhere,
}

#[derive(Debug)]
pub struct MachineView {
    slots: Vec<Slot>,
    /// For each image asked for: which slots hold or fetch it.
    holders: BTreeMap<ImageIx, Vec<bool>>,
    /// Shapes for which no slot has room. Room only shrinks within a round.
    full: FullShapes,
    /// For each image: what all slots that hold it are too full for. Until another
    /// slot fetches the image this only grows.
    full_holders: BTreeMap<ImageIx, Vec<Shape>>,
    reserved: usize,
}

/// At most one slot in so many is kept for jobs that would starve.
const RESERVED_PART: usize = 8;

/// How well a slot suits a job, by Algorithm 1: most of the input first; then cheap
/// machines, the smallest type and the fullest machine, so that others fall idle and
/// go back. Among equals the first place wins.
#[derive(Clone, Copy, Debug)]
struct Score {
    holds: bool,
    spot: bool,
    type_cpus: f64,
    free_cpus: f64,
    place: Reverse<usize>,
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> Ordering {
        let kind = (self.holds, self.spot).cmp(&(other.holds, other.spot));
        let smaller = other.type_cpus.total_cmp(&self.type_cpus);
        let fuller = other.free_cpus.total_cmp(&self.free_cpus);
        kind.then(smaller).then(fuller).then(self.place.cmp(&other.place))
    }
}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Score {
    fn eq(&self, other: &Score) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Score {}

/// The slots with room for a job's tasks, ranked by one look at all machines.
///
/// A slot that is given a task is fuller than before and fetches the image, so it
/// stays the best until it is full: the ranking holds for all tasks of the job that
/// are placed one after the other.
#[derive(Debug)]
pub struct Ranking {
    slots: BinaryHeap<Score>,
    resources: Resources,
    /// A slot holds the image but has no room.
    holder_full: bool,
}

/// The best slot for a task, and what speaks for waiting.
#[derive(Debug, PartialEq)]
pub struct Best {
    pub place: usize,
    pub holds: bool,
    /// A slot holds the image but has no room.
    pub holder_full: bool,
}

impl Ranking {
    /// Leaves out the best slot, for the tasks that follow as well.
    pub fn skip_best(&mut self) {
        self.slots.pop();
    }
}

impl MachineView {
    pub fn new(shard: &Shard, now: Millis) -> MachineView {
        let mut slots = Vec::with_capacity(shard.workers.machines.len());
        for (machine_ix, machine) in shard.workers.machines.iter() {
            if !machine.usable(now) {
                continue;
            }
            if let Some(info) = &shard.topology.type_info[machine.type_ix.usize()] {
                slots.push(Slot {
                    machine: machine_ix,
                    type_ix: machine.type_ix,
                    zone: machine.zone,
                    spot: machine.spot,
                    type_cpus: info.resources.cpus,
                    free: info.resources.minus(machine.used),
                    reserved: false,
                });
            }
        }
        MachineView {
            slots,
            holders: BTreeMap::new(),
            full: FullShapes::default(),
            full_holders: BTreeMap::new(),
            reserved: 0,
        }
    }

    /// Which slots hold or fetch an image, noted once a round.
    fn note_holders(&mut self, shard: &Shard, image: ImageIx) {
        self.holders.entry(image).or_insert_with(|| {
            let machines = self.slots.iter().map(|slot| shard.workers.machines.get(slot.machine));
            machines
                .map(|machine| machine.is_some_and(|machine| machine.holds(image)))
                .collect()
        });
    }

    /// The slots that the job may use, full ones too, and whether they hold its image.
    fn open_to<'a>(
        &'a self,
        job: &'a Job,
        zones: &'a Option<Vec<ZoneIx>>,
    ) -> impl Iterator<Item = (usize, &'a Slot, bool)> {
        let holders = self.holders.get(&job.image).map_or(&[][..], Vec::as_slice);
        let slots = self.slots.iter().zip(holders).enumerate();
        slots
            .map(|(place, (slot, &holds))| (place, slot, holds))
            .filter(|(_, slot, _)| {
                job.shape.allows(slot.type_ix, slot.zone, slot.spot)
                    && zones.as_ref().is_none_or(|zones| zones.contains(&slot.zone))
                    && !job.failed_on.contains(&slot.machine)
            })
    }

    /// Where there is room for one of the job's tasks.
    pub fn room_for(&mut self, shard: &Shard, job: &Job, zones: &Option<Vec<ZoneIx>>) -> RoomFor {
        self.note_holders(shard, job.image);
        // What is noted of all holders says nothing of those in some zones only.
        let is_particular = zones.is_some() || !job.failed_on.is_empty();
        if !is_particular && self.holders_are_full(job) {
            let mut open = self.open_to(job, zones);
            let found = open.find(|(_, slot, _)| slot.has_room(job.shape.resources));
            return found.map_or(RoomFor::Nowhere, |(place, ..)| RoomFor::BesideFullHolder { place });
        }
        let (mut elsewhere, mut holder_full) = (None, false);
        for (place, slot, holds) in self.open_to(job, zones) {
            match (slot.has_room(job.shape.resources), holds) {
                (true, true) => return RoomFor::AtHolder,
                (true, false) => elsewhere = elsewhere.or(Some(place)),
                (false, holds) => holder_full |= holds,
            }
        }
        if holder_full && !is_particular {
            let shapes = self.full_holders.entry(job.image).or_default();
            shapes.push(job.shape.clone());
        }
        match (elsewhere, holder_full) {
            (None, _) => RoomFor::Nowhere,
            (Some(place), true) => RoomFor::BesideFullHolder { place },
            (Some(_), false) => RoomFor::Elsewhere,
        }
    }

    /// Whether it is known that slots hold the job's image which it may use, and that
    /// none of them has room for its tasks.
    fn holders_are_full(&self, job: &Job) -> bool {
        let full = self.full_holders.get(&job.image);
        let needs_as_much =
            |shape: &Shape| shape.allows_the_same(&job.shape) && job.shape.resources.fits(shape.resources);
        full.is_some_and(|shapes| shapes.iter().any(needs_as_much))
    }

    /// Ranks the slots that the job may use and that have room for one of its tasks.
    pub fn rank(&mut self, shard: &Shard, job: &Job, zones: &Option<Vec<ZoneIx>>) -> Ranking {
        self.note_holders(shard, job.image);
        let mut ranked = Vec::with_capacity(self.slots.len());
        let mut holder_full = false;
        for (place, slot, holds) in self.open_to(job, zones) {
            if !slot.has_room(job.shape.resources) {
                holder_full |= holds;
                continue;
            }
            ranked.push(Score {
                holds,
                spot: slot.spot,
                type_cpus: slot.type_cpus,
                free_cpus: slot.free.cpus,
                place: Reverse(place),
            });
        }
        Ranking {
            slots: ranked.into(),
            resources: job.shape.resources,
            holder_full,
        }
    }

    /// The best slot of a ranking now, after what was placed by it.
    pub fn best(&self, ranking: &mut Ranking, image: ImageIx) -> Option<Best> {
        let holds = |place: usize| self.holders.get(&image).is_some_and(|holders| holders[place]);
        loop {
            let Reverse(place) = ranking.slots.peek()?.place;
            if self.slots[place].has_room(ranking.resources) {
                return Some(Best {
                    place,
                    holds: holds(place),
                    holder_full: ranking.holder_full,
                });
            }
            ranking.holder_full |= holds(place);
            ranking.slots.pop();
        }
    }

    /// Takes room at a place; gives its machine.
    pub fn take(&mut self, place: usize, resources: Resources) -> MachineIx {
        self.slots[place].free.take(resources);
        self.slots[place].machine
    }

    /// A machine fetches an image from now on.
    pub fn note_image(&mut self, place: usize, image: ImageIx) {
        if let Some(holders) = self.holders.get_mut(&image)
            && !std::mem::replace(&mut holders[place], true)
        {
            self.full_holders.remove(&image);
        }
    }

    /// Keeps the roomiest slot that the shape may use from everybody else, so
    /// that it empties until the shape fits. No more than a part of all slots.
    pub fn reserve(&mut self, shape: &Shape) {
        if self.reserved >= self.slots.len().div_ceil(RESERVED_PART) {
            return;
        }
        let allowed = |slot: &&mut Slot| !slot.reserved && shape.allows(slot.type_ix, slot.zone, slot.spot);
        let open = self.slots.iter_mut().filter(allowed);
        if let Some(slot) = open.max_by(|a, b| a.free.cpus.total_cmp(&b.free.cpus)) {
            slot.reserved = true;
            self.reserved += 1;
        }
    }

    pub fn machine_at(&self, place: usize) -> MachineIx {
        self.slots[place].machine
    }

    pub fn type_of(&self, place: usize) -> TypeIx {
        self.slots[place].type_ix
    }

    pub fn is_full_for(&self, shape: &Shape) -> bool {
        self.full.contains(shape)
    }

    pub fn note_full(&mut self, shape: &Shape) {
        self.full.insert(shape);
    }
}

#[cfg(test)]
mod tests;
