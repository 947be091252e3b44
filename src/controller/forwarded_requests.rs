//! User requests that were forwarded to another controller.

use std::collections::BTreeMap;

/// Old entries are removed only when there are more entries than this.
const MAX_TRACKED_REQUESTS: usize = 2_000;
/// The number of most recent ids whose entries are kept when old entries are removed. Relayed
/// worker reports use ids of the same sequence.
const RETAINED_IDS: u64 = 1_000;

/// The ids of the admission requests that wait for a reply, keyed by the id of the forwarded
/// request.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    admission_request_ids: BTreeMap<u64, u64>,
}

impl ForwardedRequests {
    /// Records that an admission request was forwarded under `id`.
    pub(super) fn add(&mut self, id: u64, admission_request_id: u64) {
        self.admission_request_ids.insert(id, admission_request_id);
    }

    /// Removes and returns the admission request that waits for the reply with this id.
    pub(super) fn take(&mut self, id: u64) -> Option<u64> {
        self.admission_request_ids.remove(&id)
    }

    /// Removes old entries if there are many. Admission handles the timeouts of its requests
    /// itself, so the entries of requests without a reply remain here.
    pub(super) fn prune(&mut self, last_id: u64) {
        if self.admission_request_ids.len() > MAX_TRACKED_REQUESTS {
            let oldest = last_id.saturating_sub(RETAINED_IDS);
            self.admission_request_ids.retain(|&id, _| id > oldest);
        }
    }
}
