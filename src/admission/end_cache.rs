//! How jobs ended, for those lately asked about.

use crate::store::EndValue;
use std::collections::{HashMap, VecDeque};

/// Ends remembered; those of other jobs are read again when asked for.
const MAX_REMEMBERED: usize = 20_000;

/// A bounded cache of how jobs ended, which forgets the one remembered first. An end
/// can't change any more, so what is remembered is never out of date.
#[derive(Debug, Default)]
pub(super) struct RememberedEnds {
    ends: HashMap<String, EndValue>,
    /// Ids of the remembered jobs, the oldest first.
    order: VecDeque<String>,
}

impl RememberedEnds {
    pub(super) fn get(&self, job_id: &str) -> Option<EndValue> {
        self.ends.get(job_id).copied()
    }

    pub(super) fn remember(&mut self, job_id: &str, end: EndValue) {
        if self.ends.insert(job_id.into(), end).is_some() {
            return;
        }
        self.order.push_back(job_id.into());
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
