//! The open attempts of all jobs.

use super::{Attempt, Outcome};
use crate::Millis;
use crate::ids::{AttemptIx, Index};
use crate::wire::{TaskReport, TaskState};

/// Attempts by a reusable index.
#[derive(Debug, Default)]
pub struct Attempts {
    slots: Vec<Option<Attempt>>,
    free: Vec<AttemptIx>,
}

impl Attempts {
    /// Adds an attempt.
    pub fn insert(&mut self, attempt: Attempt) -> AttemptIx {
        let ix = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            AttemptIx::from_usize(self.slots.len() - 1)
        });
        self.slots[ix.usize()] = Some(attempt);
        ix
    }

    /// Removes an attempt; its index may be given to another.
    pub fn remove(&mut self, ix: AttemptIx) -> Option<Attempt> {
        let attempt = self.slots.get_mut(ix.usize())?.take();
        if attempt.is_some() {
            self.free.push(ix);
        }
        attempt
    }

    /// The attempt that has this index, if it is still open.
    pub fn get(&self, ix: AttemptIx) -> Option<&Attempt> {
        self.slots.get(ix.usize())?.as_ref()
    }

    /// The attempt that has this index, if it is still open, to be changed.
    pub fn get_mut(&mut self, ix: AttemptIx) -> Option<&mut Attempt> {
        self.slots.get_mut(ix.usize())?.as_mut()
    }

    /// All open attempts in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptIx, &Attempt)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(ix, slot)| slot.as_ref().map(|attempt| (AttemptIx::from_usize(ix), attempt)))
    }

    /// Takes the state in which a report lists an attempt: its outcome, if it has exited.
    pub(super) fn observe(&mut self, now: Millis, ix: AttemptIx, task: &TaskReport) -> Option<Outcome> {
        if task.state == TaskState::Exited {
            return Some(Outcome::of_exit(task.exit_reason));
        }
        if let Some(attempt) = self.get_mut(ix) {
            attempt.observe(now, task.state);
        }
        None
    }
}
