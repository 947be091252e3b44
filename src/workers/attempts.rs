//! Storage of the open attempts of all jobs.

use super::{Attempt, Outcome};
use crate::Millis;
use crate::ids::{AttemptIx, Index};
use crate::wire::{TaskReport, TaskState};

/// Open attempts, addressed by indices that are reused after removal.
#[derive(Debug, Default)]
pub struct Attempts {
    slots: Vec<Option<Attempt>>,
    free: Vec<AttemptIx>,
}

impl Attempts {
    /// Adds an attempt and returns its index.
    pub fn insert(&mut self, attempt: Attempt) -> AttemptIx {
        let ix = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            AttemptIx::from_usize(self.slots.len() - 1)
        });
        self.slots[ix.usize()] = Some(attempt);
        ix
    }

    /// Removes and returns an attempt. Its index may be reused for another attempt.
    pub fn remove(&mut self, ix: AttemptIx) -> Option<Attempt> {
        let attempt = self.slots.get_mut(ix.usize())?.take();
        if attempt.is_some() {
            self.free.push(ix);
        }
        attempt
    }

    /// Returns the attempt with this index, if it is open.
    pub fn get(&self, ix: AttemptIx) -> Option<&Attempt> {
        self.slots.get(ix.usize())?.as_ref()
    }

    /// Returns the attempt with this index for modification, if it is open.
    pub fn get_mut(&mut self, ix: AttemptIx) -> Option<&mut Attempt> {
        self.slots.get_mut(ix.usize())?.as_mut()
    }

    /// Iterates over all open attempts in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptIx, &Attempt)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(ix, slot)| slot.as_ref().map(|attempt| (AttemptIx::from_usize(ix), attempt)))
    }

    /// Records the state in which a report lists an attempt. Returns the outcome if the attempt
    /// has exited.
    pub(super) fn observe(&mut self, now: Millis, ix: AttemptIx, task: &TaskReport) -> Option<Outcome> {
        if task.state == TaskState::Exited {
            return Some(Outcome::from_exit_reason(task.exit_reason));
        }
        if let Some(attempt) = self.get_mut(ix) {
            attempt.observe(now, task.state);
        }
        None
    }
}
