//! Records of machine requests, which are written before a request is sent to the cloud and
//! removed once the cloud has answered and the new machines are written.

use super::next_transaction::Draft;
use super::transaction_builder::DELETE_BYTES;
use super::{PendingWrites, WriteContext};
use crate::fleet::MachineRequestRecord;
use crate::wire::Change;
use serde_json::json;

/// Estimated size of the change that writes a machine request.
const REQUEST_BYTES: usize = 200;

/// A machine request that is written and may be sent to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct WrittenRequest {
    /// The request as it is stored.
    pub record: MachineRequestRecord,
    /// Version of the request's key.
    pub version: u64,
}

impl WrittenRequest {
    /// Returns the requests that one transaction has written, all at the same version.
    pub(super) fn from_records(records: Vec<MachineRequestRecord>, version: u64) -> Vec<WrittenRequest> {
        let requests = records.into_iter();
        requests.map(|record| WrittenRequest { record, version }).collect()
    }
}

/// A machine request that the cloud has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// Name of the request.
    pub request: String,
    /// Version of the request's key.
    pub version: u64,
}

impl PendingWrites {
    /// Adds the records of new machine requests while the transaction has space.
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

    /// Adds the removal of the keys of answered machine requests while the transaction has space.
    /// A key is removed no earlier than by the transaction that writes the machines that the
    /// cloud created for the request.
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
