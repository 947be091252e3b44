//! Which machines have which images cached, as far as the round has asked.

use super::slot::Slot;
use crate::ids::ImageIx;
use crate::pipeline::Job;
use crate::placement::image_state::ImageState;
use crate::resources::Shape;
use crate::workers::Workers;
use std::collections::BTreeMap;

/// For the images that were asked for: the slots whose machines have them cached or
/// are fetching them.
#[derive(Debug, Default)]
pub struct ImageCaches {
    /// For each image, its state on each slot's machine.
    states: BTreeMap<ImageIx, Vec<ImageState>>,
    /// For each image, shapes for which every holder is too full. Until another
    /// machine fetches the image this only grows.
    too_large_for_holders: BTreeMap<ImageIx, Vec<Shape>>,
}

impl ImageCaches {
    /// Looks up which slots have an image, once a round.
    pub fn look_up(&mut self, image: ImageIx, slots: &[Slot], workers: &Workers) {
        self.states.entry(image).or_insert_with(|| {
            let machines = slots.iter().map(|slot| workers.machines.get(slot.machine));
            machines
                .map(|machine| machine.map_or(ImageState::Missing, |machine| ImageState::new(machine, image)))
                .collect()
        });
    }

    /// The state of the image in each slot. Empty before it is looked up.
    pub fn states(&self, image: ImageIx) -> &[ImageState] {
        self.states.get(&image).map_or(&[][..], Vec::as_slice)
    }

    /// The state of the image in this slot, as far as it was looked up.
    pub fn state(&self, image: ImageIx, slot: usize) -> ImageState {
        self.states
            .get(&image)
            .map_or(ImageState::Missing, |states| states[slot])
    }

    /// The machine of this slot fetches the image from now on.
    pub fn add(&mut self, image: ImageIx, slot: usize) {
        if let Some(states) = self.states.get_mut(&image)
            && std::mem::replace(&mut states[slot], ImageState::Cached) == ImageState::Missing
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
