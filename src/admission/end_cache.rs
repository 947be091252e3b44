//! A cache of the ends of jobs that users have recently asked about or cancelled.

use crate::store::EndValue;
use std::collections::{HashMap, VecDeque};

/// The maximum number of cached ends. Ends of other jobs are read from the state service.
const MAX_CACHED_ENDS: usize = 20_000;

/// How a job ended.
#[derive(Clone, Copy, Debug)]
struct CachedEnd {
    end: EndValue,
    /// Whether no other controller answers with an older state of the job any more.
    is_confirmed: bool,
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
    pub(super) fn get(&self, job_id: &str) -> Option<EndValue> {
        self.ends.get(job_id).map(|cached| cached.end)
    }

    /// Returns how the job ended, if its end is cached and the other controllers have confirmed
    /// it.
    pub(super) fn get_confirmed(&self, job_id: &str) -> Option<EndValue> {
        let cached = self.ends.get(job_id).filter(|cached| cached.is_confirmed);
        cached.map(|cached| cached.end)
    }

    /// Adds an end. Evicts the oldest entry if the cache is full.
    pub(super) fn insert(&mut self, job_id: &str, end: EndValue) {
        if self.ends.contains_key(job_id) {
            return;
        }
        let is_confirmed = false;
        self.ends.insert(job_id.into(), CachedEnd { end, is_confirmed });
        self.order.push_back(job_id.into());
        if self.order.len() > MAX_CACHED_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// Adds an end that the other controllers have confirmed.
    pub(super) fn insert_confirmed(&mut self, job_id: &str, end: EndValue) {
        self.insert(job_id, end);
        if let Some(cached) = self.ends.get_mut(job_id) {
            cached.is_confirmed = true;
        }
    }
}

#[cfg(test)]
mod tests;
