//! The machines as one round of placement sees them: only what the choice needs,
//! side by side, so that looking at all of them is cheap.

use super::Shape;
use crate::Millis;
use crate::controller::Share;
use crate::ids::Ix;
use crate::pipeline::Job;
use crate::workers::Room;
use std::collections::BTreeMap;

#[derive(Debug)]
struct Slot {
    machine: Ix,
    type_ix: Ix,
    zone: Ix,
    spot: bool,
    type_cpus: f64,
    free: Room,
    reserved: bool,
}

#[derive(Debug)]
pub struct Board {
    slots: Vec<Slot>,
    /// For each image asked for: which slots hold or fetch it.
    holders: BTreeMap<Ix, Vec<bool>>,
    /// Shapes for which no slot has room. Room only shrinks within a round.
    full: Vec<Shape>,
    reserved: usize,
}

/// At most one slot in so many is kept for jobs that would starve.
const RESERVED_PART: usize = 8;

/// The best slot for a task, and what speaks for waiting.
#[derive(Debug, Default, PartialEq)]
pub struct Search {
    pub best: Option<usize>,
    pub best_holds: bool,
    /// A slot holds the image but has no room.
    pub holder_full: bool,
}

impl Board {
    pub fn new(share: &Share, now: Millis) -> Board {
        let mut slots = Vec::with_capacity(share.machines.len());
        for (machine_ix, machine) in share.machines.iter() {
            if !machine.usable(now) {
                continue;
            }
            if let Some(info) = &share.type_info[machine.type_ix as usize] {
                slots.push(Slot {
                    machine: machine_ix,
                    type_ix: machine.type_ix,
                    zone: machine.zone,
                    spot: machine.spot,
                    type_cpus: info.room.cpus,
                    free: info.room.less(machine.used),
                    reserved: false,
                });
            }
        }
        Board {
            slots,
            holders: BTreeMap::new(),
            full: Vec::new(),
            reserved: 0,
        }
    }

    /// Algorithm 1: most of the input first; then cheap machines, the smallest
    /// type and the fullest machine, so that others fall idle and go back.
    pub fn search(&mut self, share: &Share, job: &Job, zones: &Option<Vec<Ix>>) -> Search {
        let holders = self.holders.entry(job.image).or_insert_with(|| {
            let machines = self.slots.iter().map(|slot| share.machines.get(slot.machine));
            machines
                .map(|machine| machine.is_some_and(|machine| machine.holds(job.image)))
                .collect()
        });
        let mut search = Search::default();
        let mut best_score = None;
        for (place, (slot, &holds)) in self.slots.iter().zip(holders.iter()).enumerate() {
            if !job.shape.allows(slot.type_ix, slot.zone, slot.spot)
                || zones.as_ref().is_some_and(|zones| !zones.contains(&slot.zone))
                || job.failed_on.contains(&slot.machine)
            {
                continue;
            }
            if slot.reserved || !slot.free.fits(job.shape.room) {
                search.holder_full |= holds;
                continue;
            }
            let score = (holds, slot.spot, -slot.type_cpus, -slot.free.cpus);
            if best_score.is_none_or(|other| score > other) {
                best_score = Some(score);
                search.best = Some(place);
                search.best_holds = holds;
            }
        }
        search
    }

    /// Takes room at a place; gives its machine.
    pub fn take(&mut self, place: usize, room: Room) -> Ix {
        self.slots[place].free.take(room);
        self.slots[place].machine
    }

    /// A machine fetches an image from now on.
    pub fn note_image(&mut self, place: usize, image: Ix) {
        if let Some(holders) = self.holders.get_mut(&image) {
            holders[place] = true;
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

    pub fn machine_at(&self, place: usize) -> Ix {
        self.slots[place].machine
    }

    pub fn type_of(&self, place: usize) -> Ix {
        self.slots[place].type_ix
    }

    pub fn is_full_for(&self, shape: &Shape) -> bool {
        self.full.contains(shape)
    }

    pub fn note_full(&mut self, shape: &Shape) {
        self.full.push(shape.clone());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::controller::share_with;
    use proptest::prelude::*;

    fn share(machines: &[(bool, bool, f64, Option<u32>)]) -> (Share, Ix) {
        let mut share = share_with(1, &[("small", 8.0), ("large", 16.0)], 40, true);
        let job = share.jobs.find("j-1").expect("known");
        let image = share.jobs.get(job).expect("there").image;
        for (number, &(large, spot, used, holds)) in machines.iter().enumerate() {
            let type_name = if large { "large" } else { "small" };
            let ix = share.add_machine(0, &format!("host-{number}"), type_name, "north", spot);
            let machine = share.machines.get_mut(ix).expect("there");
            machine.written = true;
            machine.heard_at = Some(0);
            machine.used.cpus = used;
            if let Some(other) = holds {
                machine.touch(image + other, 1.0, 50.0);
            }
        }
        (share, job)
    }

    /// Algorithm 1 as the plain scan of all machines states it.
    fn plain_scan(share: &Share, job: &Job) -> Option<Ix> {
        let mut best: Option<((bool, bool, f64, f64), Ix)> = None;
        for (ix, machine) in share.machines.iter() {
            let info = share.type_info[machine.type_ix as usize].as_ref().expect("known");
            let free = info.room.less(machine.used);
            if !machine.usable(0) || !job.shape.allows(machine.type_ix, machine.zone, machine.spot) {
                continue;
            }
            let score = (machine.holds(job.image), machine.spot, -info.room.cpus, -free.cpus);
            if free.fits(job.shape.room) && best.is_none_or(|(other, _)| score > other) {
                best = Some((score, ix));
            }
        }
        best.map(|(_, ix)| ix)
    }

    proptest! {
        #[test]
        fn the_board_chooses_what_the_plain_scan_chooses(
            machines in proptest::collection::vec(
                (any::<bool>(), any::<bool>(), 0.0f64..16.0, proptest::option::of(0u32..2)), 1..30
            ),
            tasks in 1usize..40
        ) {
            let (mut share, job_ix) = share(&machines);
            let mut board = Board::new(&share, 0);
            for _ in 0..tasks {
                let job = share.jobs.get(job_ix).expect("there");
                let expected = plain_scan(&share, job);
                let (room, image) = (job.shape.room, job.image);
                let found = board.search(&share, job, &None);
                prop_assert_eq!(found.best.map(|place| board.machine_at(place)), expected);
                let Some(place) = found.best else {
                    break;
                };
                board.note_image(place, image);
                let machine = share.machines.get_mut(board.take(place, room)).expect("there");
                machine.used.add(room);
                machine.touch(image, 1.0, 50.0);
            }
        }
    }
}
