//! Which machines have which images cached, for the images that the round has looked up.

use super::slot::Slot;
use crate::ids::ImageIx;
use crate::pipeline::Job;
use crate::placement::image_state::ImageState;
use crate::resources::Shape;
use crate::workers::Workers;
use std::collections::BTreeMap;

/// For each image that was looked up, the slots whose machines have it cached or are
/// fetching it.
#[derive(Debug, Default)]
pub struct ImageCaches {
    /// For each image, its state on the machine of each slot.
    states: BTreeMap<ImageIx, Vec<ImageState>>,
    /// For each image, shapes for which no machine that has the image cached (cache holder) has
    /// room. Room only shrinks within a round, so entries stay valid until another machine
    /// starts to fetch the image.
    too_large_for_holders: BTreeMap<ImageIx, Vec<Shape>>,
}

impl ImageCaches {
    /// Determines the state of an image in all slots. Done once per image and round.
    pub fn ensure_states(&mut self, image: ImageIx, slots: &[Slot], workers: &Workers) {
        self.states.entry(image).or_insert_with(|| {
            let machines = slots.iter().map(|slot| workers.machines.get(slot.machine));
            machines
                .map(|machine| machine.map_or(ImageState::Missing, |machine| ImageState::new(machine, image)))
                .collect()
        });
    }

    /// Returns the state of the image in each slot. Empty before [`ImageCaches::ensure_states`].
    pub fn states(&self, image: ImageIx) -> &[ImageState] {
        self.states.get(&image).map_or(&[][..], Vec::as_slice)
    }

    /// Returns the state of the image in this slot, or [`ImageState::Missing`] before
    /// [`ImageCaches::ensure_states`].
    pub fn state(&self, image: ImageIx, slot: usize) -> ImageState {
        self.states
            .get(&image)
            .map_or(ImageState::Missing, |states| states[slot])
    }

    /// Records that the machine of this slot has the image cached or is fetching it.
    pub fn mark_cached(&mut self, image: ImageIx, slot: usize) {
        if let Some(states) = self.states.get_mut(&image)
            && std::mem::replace(&mut states[slot], ImageState::Cached) == ImageState::Missing
        {
            self.too_large_for_holders.remove(&image);
        }
    }

    /// Whether it is known that there are cache holders of the job's image which the job may
    /// use, and that none of them has room for its tasks.
    pub fn are_holders_full_for(&self, job: &Job) -> bool {
        let asks_at_least_as_much =
            |shape: &Shape| shape.allows_same_machines(&job.shape) && job.shape.resources.fits(shape.resources);
        let known = self.too_large_for_holders.get(&job.image);
        known.is_some_and(|shapes| shapes.iter().any(asks_at_least_as_much))
    }

    /// Records that all cache holders of the job's image which the job may use are too full
    /// for its tasks.
    pub fn note_holders_full_for(&mut self, job: &Job) {
        let shapes = self.too_large_for_holders.entry(job.image).or_default();
        shapes.push(job.shape.clone());
    }
}
