//! Records of machine requests, which are written before a request is sent to the cloud and
//! removed once the cloud has answered and the new machines are written.

use super::content::AnsweredRequest;
use super::draft::Draft;
use super::transaction_builder::ChangeSet;
use super::{PendingWrites, QueuedWrite, WriteContext};
use crate::fleet::{MachineRequestRecord, NewestMachineRequest};
use crate::store::Keys;
use serde_json::json;

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

impl PendingWrites {
    /// Adds the records of new machine requests while the transaction has space.
    pub(super) fn add_machine_requests(&mut self, draft: &mut Draft<'_>) {
        for record in std::mem::take(&mut self.machine_requests) {
            let write = QueuedWrite::MachineRequest(record.request.clone());
            let is_first = draft.content.machine_requests.is_empty();
            let mut set = put_of(&record, draft.keys);
            if is_first {
                self.require_newest_request(&record, draft.keys, &mut set);
            }
            if draft.admits(&write) && draft.builder.try_add(set) {
                draft.content.machine_requests.push(record);
            } else {
                self.machine_requests.push_back(record);
            }
        }
    }

    /// Makes a copy of the transaction conflict: its condition that the records do not exist holds
    /// again once they are removed.
    fn require_newest_request(&self, record: &MachineRequestRecord, keys: &Keys, set: &mut ChangeSet) {
        let key = keys.newest_machine_request();
        let request = record.request.clone();
        set.require(key.clone(), self.newest_request_version);
        set.put(key, json!(NewestMachineRequest { request }));
    }

    /// Adds the removal of the keys of answered machine requests while the transaction has space.
    /// A key is removed no earlier than by the transaction that writes the machines that the
    /// cloud created for the request.
    pub(super) fn add_answered_requests(&mut self, context: &WriteContext<'_>, draft: &mut Draft<'_>) {
        if context.inventory.has_urgent() {
            return;
        }
        for answered in std::mem::take(&mut self.answered_requests) {
            let write = QueuedWrite::AnsweredRequest(answered.request.clone());
            if draft.admits(&write) && draft.builder.try_add(removal_of(&answered, draft.keys)) {
                draft.content.answered_requests.push(answered);
            } else {
                self.answered_requests.push_back(answered);
            }
        }
    }
}

/// Returns the change that writes the record of a machine request.
fn put_of(record: &MachineRequestRecord, keys: &Keys) -> ChangeSet {
    let key = keys.machine_request(&record.request);
    let mut set = ChangeSet::default();
    set.require(key.clone(), 0);
    set.put(key, json!(record));
    set
}

/// Returns the change that removes the record of an answered machine request.
fn removal_of(answered: &AnsweredRequest, keys: &Keys) -> ChangeSet {
    let mut set = ChangeSet::default();
    set.delete(keys.machine_request(&answered.request), answered.version);
    set
}
