//! The ranking of the slots for a job, by Pheromone's Algorithm 1.

use super::slot::Slot;
use crate::placement::image_state::ImageState;
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// How well a slot suits a job, by Pheromone's Algorithm 1. Slots with the image cached come
/// first; then spot machines, since they are cheap, the smallest machine type and the fullest
/// machine, so that other machines become idle and are decommissioned. Among equal slots, the
/// one with the lowest index wins.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    image: ImageState,
    spot: bool,
    type_cpus: f64,
    free_cpus: f64,
    slot_index: Reverse<usize>,
}

impl Score {
    /// Computes the score of the slot at this index of the view.
    pub fn new(slot_index: usize, slot: &Slot, image: ImageState) -> Score {
        Score {
            image,
            spot: slot.offer.spot,
            type_cpus: slot.type_cpus,
            free_cpus: slot.free.cpus,
            slot_index: Reverse(slot_index),
        }
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> Ordering {
        let kind = (self.image, self.spot).cmp(&(other.image, other.spot));
        let smaller = other.type_cpus.total_cmp(&self.type_cpus);
        let fuller = other.free_cpus.total_cmp(&self.free_cpus);
        let lower_index = self.slot_index.cmp(&other.slot_index);
        kind.then(smaller).then(fuller).then(lower_index)
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

/// The slots with room for a job's tasks, ranked by one scan of all machines.
///
/// A slot that is given a task becomes fuller and fetches the image, so it remains the best
/// slot until it is full. One ranking is therefore valid for all tasks of the job that are
/// placed consecutively.
#[derive(Debug)]
pub struct Ranking {
    scores: BinaryHeap<Score>,
    /// The resources that each task of the job asks for.
    pub resources: Resources,
    /// Whether a machine that the job may use has its image cached but no room.
    pub cache_holder_full: bool,
    is_complete: bool,
}

impl Ranking {
    /// Ranks slots by their scores. `scores` holds all slots with room for a task that asks
    /// for `resources`.
    pub fn new(scores: Vec<Score>, resources: Resources, cache_holder_full: bool) -> Ranking {
        Ranking {
            scores: scores.into(),
            resources,
            cache_holder_full,
            is_complete: true,
        }
    }

    /// Removes the best slot, which has room but can't take the next task. This ranking does
    /// not offer it to later tasks either.
    pub fn skip_best(&mut self) {
        self.scores.pop();
        self.is_complete = false;
    }

    /// Whether no slot with room was removed by [`Ranking::skip_best`].
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the index of the best remaining slot, which may have become full since the
    /// slots were ranked.
    pub fn best_slot(&self) -> Option<usize> {
        self.scores.peek().map(|score| score.slot_index.0)
    }

    /// Removes the best slot, which has become full. `image` is the state of the job's image
    /// in that slot.
    pub fn drop_full(&mut self, image: ImageState) {
        self.cache_holder_full |= image == ImageState::Cached;
        self.scores.pop();
    }
}

/// The best slot for a task, with the data that decides whether to wait instead.
#[derive(Debug, PartialEq)]
pub struct BestSlot {
    /// Index of the slot in the view.
    pub slot: usize,
    /// The state of the image on the slot's machine.
    pub image: ImageState,
    /// Whether a machine that the job may use has its image cached but no room.
    pub cache_holder_full: bool,
}
