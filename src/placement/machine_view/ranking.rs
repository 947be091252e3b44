//! The order in which slots suit a job, by Pheromone's Algorithm 1.

use super::slot::Slot;
use crate::placement::image_state::ImageState;
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// How well a slot suits a job, by Pheromone's Algorithm 1: most of the input first; then cheap
/// machines, the smallest type and the fullest machine, so that others fall idle and
/// are returned. Among equals the first slot wins.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    image: ImageState,
    spot: bool,
    type_cpus: f64,
    free_cpus: f64,
    slot_index: Reverse<usize>,
}

impl Score {
    /// The score of the slot at this index of the view.
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
        let first = self.slot_index.cmp(&other.slot_index);
        kind.then(smaller).then(fuller).then(first)
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
    scores: BinaryHeap<Score>,
    /// What each task of the job asks for.
    pub resources: Resources,
    /// Whether a machine that the job may use has its image cached and no room.
    pub cache_holder_full: bool,
    is_complete: bool,
}

impl Ranking {
    /// Ranks all slots with room for a task that asks for this much.
    pub fn new(scores: Vec<Score>, resources: Resources, cache_holder_full: bool) -> Ranking {
        Ranking {
            scores: scores.into(),
            resources,
            cache_holder_full,
            is_complete: true,
        }
    }

    /// Leaves out the best slot, which has room but can't take the next task. The
    /// tasks that follow are not placed there by this ranking either.
    pub fn skip_best(&mut self) {
        self.scores.pop();
        self.is_complete = false;
    }

    /// Whether no slot with room was left out.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The index of the best slot when it was ranked.
    pub fn best_slot(&self) -> Option<usize> {
        self.scores.peek().map(|score| score.slot_index.0)
    }

    /// Drops the best slot, which is full by now.
    pub fn drop_full(&mut self, image: ImageState) {
        self.cache_holder_full |= image == ImageState::Cached;
        self.scores.pop();
    }
}

/// The best slot for a task, and what speaks for waiting.
#[derive(Debug, PartialEq)]
pub struct Best {
    /// Index of the slot in the view.
    pub slot: usize,
    /// Whether its machine has the image.
    pub image: ImageState,
    /// Whether a machine that the job may use has its image cached and no room.
    pub cache_holder_full: bool,
}
