//! Machine requests: written before the cloud is asked, and removed once it answered and
//! the machines are written.

use super::next_transaction::Draft;
use super::transaction_builder::DELETE_BYTES;
use super::{PendingWrites, WriteContext};
use crate::fleet::MachineRequestRecord;
use crate::wire::Change;
use serde_json::json;

const REQUEST_BYTES: usize = 200;

/// A machine request that may be sent to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct WrittenRequest {
    /// What is asked for.
    pub record: MachineRequestRecord,
    /// The version of its key.
    pub version: u64,
}

impl WrittenRequest {
    /// The requests that one transaction has written.
    pub(super) fn all(records: Vec<MachineRequestRecord>, version: u64) -> Vec<WrittenRequest> {
        let requests = records.into_iter();
        requests.map(|record| WrittenRequest { record, version }).collect()
    }
}

/// A machine request that the cloud has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// Its name.
    pub request: String,
    /// The version of its key.
    pub version: u64,
}

impl PendingWrites {
    pub(super) fn add_machine_requests(&mut self, draft: &mut Draft<'_>) {
        while draft.builder.has_space(1, REQUEST_BYTES) {
            let Some(record) = self.machine_requests.pop_front() else {
                return;
            };
            let key = draft.keys.machine_request(&record.request);
            draft.builder.require(key.clone(), 0);
            draft.builder.change(Change::put(key, json!(record)), REQUEST_BYTES);
            draft.content.machine_requests.push(record);
        }
    }

    /// A machine request's key goes only after the machines it brought are written.
    pub(super) fn add_answered_requests(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        while !context.inventory.has_urgent() && draft.builder.has_space(1, DELETE_BYTES) {
            let Some(answered) = self.answered_requests.pop_front() else {
                return;
            };
            let key = draft.keys.machine_request(&answered.request);
            draft.builder.delete(key, answered.version);
            draft.content.answered_requests.push(answered);
        }
    }
}
