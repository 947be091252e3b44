//! Users' requests that were forwarded to another controller.

use std::collections::BTreeMap;

const MAX_REMEMBERED: usize = 2_000;
const KEPT_IDS: u64 = 1_000;

/// The operations of admission that wait for a reply, by the id of the forwarded request.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    admission_ops: BTreeMap<u64, u64>,
}

impl ForwardedRequests {
    /// A request was forwarded under this id.
    pub(super) fn add(&mut self, id: u64, admission_op: u64) {
        self.admission_ops.insert(id, admission_op);
    }

    /// The operation that waits for the reply with this id.
    pub(super) fn take(&mut self, id: u64) -> Option<u64> {
        self.admission_ops.remove(&id)
    }

    /// Admission gives up requests by itself; what is left of many is forgotten here.
    pub(super) fn forget_old(&mut self, last_id: u64) {
        if self.admission_ops.len() > MAX_REMEMBERED {
            let oldest = last_id.saturating_sub(KEPT_IDS);
            self.admission_ops.retain(|&id, _| id > oldest);
        }
    }
}
