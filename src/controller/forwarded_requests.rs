//! Users' requests that were forwarded to another controller.

use std::collections::BTreeMap;

const MAX_TRACKED_REQUESTS: usize = 2_000;
const RETAINED_IDS: u64 = 1_000;

/// The operations of admission that wait for a reply, by the id of the forwarded request.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    admission_request_ids: BTreeMap<u64, u64>,
}

impl ForwardedRequests {
    /// A request was forwarded under this id.
    pub(super) fn add(&mut self, id: u64, admission_request_id: u64) {
        self.admission_request_ids.insert(id, admission_request_id);
    }

    /// The operation that waits for the reply with this id.
    pub(super) fn take(&mut self, id: u64) -> Option<u64> {
        self.admission_request_ids.remove(&id)
    }

    /// Admission gives up requests by itself; what is left of many is forgotten here.
    pub(super) fn prune(&mut self, last_id: u64) {
        if self.admission_request_ids.len() > MAX_TRACKED_REQUESTS {
            let oldest = last_id.saturating_sub(RETAINED_IDS);
            self.admission_request_ids.retain(|&id, _| id > oldest);
        }
    }
}
