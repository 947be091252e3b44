//! Which machines have which images cached, as far as the round has asked.

use super::slot::Slot;
use crate::ids::ImageIx;
use crate::pipeline::Job;
use crate::resources::Shape;
use crate::workers::Workers;
use std::collections::BTreeMap;

/// For the images that were asked for: the slots whose machines have them cached or
/// are fetching them.
#[derive(Debug, Default)]
pub struct ImageCaches {
    /// For each image, whether each slot's machine has it.
    holders: BTreeMap<ImageIx, Vec<bool>>,
    /// For each image, shapes for which every holder is too full. Until another
    /// machine fetches the image this only grows.
    too_large_for_holders: BTreeMap<ImageIx, Vec<Shape>>,
}

impl ImageCaches {
    /// Looks up which slots have an image, once a round.
    pub fn look_up(&mut self, image: ImageIx, slots: &[Slot], workers: &Workers) {
        self.holders.entry(image).or_insert_with(|| {
            let machines = slots.iter().map(|slot| workers.machines.get(slot.machine));
            machines
                .map(|machine| machine.is_some_and(|machine| machine.holds(image)))
                .collect()
        });
    }

    /// For each slot, whether its machine has the image. Empty before it is looked up.
    pub fn holders(&self, image: ImageIx) -> &[bool] {
        self.holders.get(&image).map_or(&[][..], Vec::as_slice)
    }

    /// Whether the machine of this slot has the image, as far as was looked up.
    pub fn has(&self, image: ImageIx, slot: usize) -> bool {
        self.holders.get(&image).is_some_and(|holders| holders[slot])
    }

    /// The machine of this slot fetches the image from now on.
    pub fn add(&mut self, image: ImageIx, slot: usize) {
        if let Some(holders) = self.holders.get_mut(&image)
            && !std::mem::replace(&mut holders[slot], true)
        {
            self.too_large_for_holders.remove(&image);
        }
    }

    /// Whether it is known that the job may use holders of its image, and that none of
    /// them has room for its tasks.
    pub fn are_full_for(&self, job: &Job) -> bool {
        let asks_as_much =
            |shape: &Shape| shape.allows_same_machines(&job.shape) && job.shape.resources.fits(shape.resources);
        let known = self.too_large_for_holders.get(&job.image);
        known.is_some_and(|shapes| shapes.iter().any(asks_as_much))
    }

    /// Remembers that holders of the job's image which it may use are all too full.
    pub fn note_full_for(&mut self, job: &Job) {
        let shapes = self.too_large_for_holders.entry(job.image).or_default();
        shapes.push(job.shape.clone());
    }
}
