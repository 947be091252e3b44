//! A cache of the ends of jobs that users have recently asked about or cancelled.

use crate::store::EndValue;
use std::collections::{HashMap, VecDeque};

/// The maximum number of cached ends. Ends of other jobs are read from the state service.
const MAX_CACHED_ENDS: usize = 20_000;

/// A bounded cache of how jobs ended, which evicts the entry inserted first. An end is
/// final, so entries are never stale.
#[derive(Debug, Default)]
pub(super) struct EndCache {
    ends: HashMap<String, EndValue>,
    /// Ids of the cached jobs in the order of insertion.
    order: VecDeque<String>,
}

impl EndCache {
    /// Returns how the job ended, if its end is cached.
    pub(super) fn get(&self, job_id: &str) -> Option<EndValue> {
        self.ends.get(job_id).copied()
    }

    /// Adds an end. Evicts the oldest entry if the cache is full.
    pub(super) fn insert(&mut self, job_id: &str, end: EndValue) {
        if self.ends.insert(job_id.into(), end).is_some() {
            return;
        }
        self.order.push_back(job_id.into());
        if self.order.len() > MAX_CACHED_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
