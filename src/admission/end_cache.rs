//! A cache of the ends of jobs, and of the controllers that have confirmed each of them.

use crate::Millis;
use crate::store::EndValue;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The maximum number of cached ends. Ends of other jobs are read from the state service.
const MAX_CACHED_ENDS: usize = 20_000;

/// How a job ended, and when this can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KnownEnd {
    pub(super) end: EndValue,
    /// The revision of the store from which on the end can be read.
    pub(super) revision: u64,
    /// When this controller learned of the end.
    pub(super) known_since: Millis,
}

/// Which other controllers give no older state of a job any more.
#[derive(Clone, Debug)]
enum Confirmation {
    /// Those that have confirmed the end.
    By(BTreeSet<String>),
    /// All of them, so the end may be told.
    Complete,
}

#[derive(Clone, Debug)]
struct CachedEnd {
    known: KnownEnd,
    confirmation: Confirmation,
}

/// A bounded cache of how jobs ended, which evicts the entry inserted first. An end is
/// final, so entries are never stale.
#[derive(Debug, Default)]
pub(super) struct EndCache {
    ends: HashMap<String, CachedEnd>,
    /// Ids of the cached jobs in the order of insertion.
    order: VecDeque<String>,
}

impl EndCache {
    /// Returns how the job ended, if its end is cached.
    pub(super) fn get(&self, job_id: &str) -> Option<KnownEnd> {
        self.ends.get(job_id).map(|cached| cached.known)
    }

    /// Returns whether the end is cached and the other controllers have confirmed it.
    pub(super) fn is_confirmed(&self, job_id: &str) -> bool {
        let cached = self.ends.get(job_id);
        cached.is_some_and(|cached| matches!(cached.confirmation, Confirmation::Complete))
    }

    /// Returns whether the controller `node` has confirmed the end.
    pub(super) fn is_confirmed_by(&self, job_id: &str, node: &str) -> bool {
        self.ends.get(job_id).is_some_and(|cached| match &cached.confirmation {
            Confirmation::By(nodes) => nodes.contains(node),
            Confirmation::Complete => true,
        })
    }

    /// Adds an end, unless it is cached already. Evicts the oldest entry if the cache is full.
    pub(super) fn insert(&mut self, job_id: &str, known: KnownEnd) {
        if self.ends.contains_key(job_id) {
            return;
        }
        let confirmation = Confirmation::By(BTreeSet::new());
        self.ends.insert(job_id.into(), CachedEnd { known, confirmation });
        self.order.push_back(job_id.into());
        if self.order.len() > MAX_CACHED_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// Records that the controller `node` has confirmed the end, if it is cached.
    pub(super) fn confirm(&mut self, job_id: &str, node: &str) {
        if let Some(cached) = self.ends.get_mut(job_id)
            && let Confirmation::By(nodes) = &mut cached.confirmation
        {
            nodes.insert(node.into());
        }
    }

    /// Records that the end may be told, if it is cached.
    pub(super) fn confirm_completely(&mut self, job_id: &str) {
        if let Some(cached) = self.ends.get_mut(job_id) {
            cached.confirmation = Confirmation::Complete;
        }
    }
}

#[cfg(test)]
mod tests;
