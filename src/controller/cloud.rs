//! The leader's calls to the cloud: catalogue, machine requests, deletions and machine lists.

use super::shard::Shard;
use super::{CloudReply, CloudRequest, Controller, Output, Purpose};
use crate::Millis;
use crate::fleet::{LISTING_INTERVAL_MS, MachineRequestRecord};
use crate::persistence::AnsweredRequest;
use crate::store::{StoreRequest, TokenBucket, encoded_size};
use crate::wire::{Catalogue, Change, MachineList, MachineNames, MachineRequest, Transaction};
use serde_json::json;
use std::collections::BTreeMap;

/// How often the leader reads the catalogue.
const CATALOGUE_INTERVAL_MS: Millis = 60_000;
/// Delay before a failed or unanswered call is repeated, except for machine lists.
const RETRY_MS: Millis = 1_000;
/// How long an offer is not requested again after the cloud provided fewer machines than requested.
const REFUSED_OFFER_BACKOFF_MS: Millis = 15_000;
/// The largest number of machines that one call deletes.
const MAX_DELETED_PER_CALL: usize = 100;

/// The purpose of a call to the cloud, which determines how its reply is handled.
#[derive(Debug)]
enum CloudPurpose {
    /// Reads the machine types and their prices.
    ReadCatalogue,
    /// Sends the machine request of this name.
    RequestMachines { request: String },
    /// Deletes these machines.
    DeleteMachines { machines: Vec<String> },
    /// Reads one page of the list of machines.
    ListMachines,
}

/// The calls to the cloud that are in flight, and the rate limit for new ones.
#[derive(Debug)]
pub struct CloudCalls {
    rate: TokenBucket,
    /// Keyed by call id.
    in_flight: BTreeMap<u64, CloudPurpose>,
    /// When the next read of the catalogue is due.
    catalogue_due: Millis,
    /// The last machine of the previous page; empty before the first page of a list.
    list_after: String,
}

impl CloudCalls {
    /// Creates the state without any calls, limited to `rps` calls per second.
    pub fn new(rps: f64) -> CloudCalls {
        CloudCalls {
            rate: TokenBucket::new(rps),
            in_flight: BTreeMap::new(),
            catalogue_due: 0,
            list_after: String::new(),
        }
    }

    /// Discards the calls in flight at the end of a term, so that their replies are ignored.
    pub fn clear(&mut self) {
        self.in_flight.clear();
        self.list_after.clear();
    }
}

impl Controller {
    /// Sends a request to the cloud and counts it against the rate limit.
    fn call_cloud(&mut self, purpose: CloudPurpose, request: CloudRequest) {
        let call = self.next_call_id();
        self.cloud.rate.spend(1.0);
        self.cloud.in_flight.insert(call, purpose);
        self.outputs.push(Output::Cloud { call, request });
    }

    /// Sends the calls that are due, within the rate limit.
    pub(super) fn advance_cloud(&mut self) {
        self.read_catalogue();
        self.request_machines();
        self.list_machines();
    }

    fn read_catalogue(&mut self) {
        let now = self.now;
        if self.cloud.rate.ready(now) && now >= self.cloud.catalogue_due {
            self.cloud.catalogue_due = now + CATALOGUE_INTERVAL_MS;
            self.call_cloud(CloudPurpose::ReadCatalogue, CloudRequest::Catalogue);
        }
    }

    fn request_machines(&mut self) {
        let now = self.now;
        while self.cloud.rate.ready(now)
            && let Some(shard) = &mut self.shard
            && let Some(record) = shard.fleet.start_machine_request(now)
        {
            let purpose = CloudPurpose::RequestMachines {
                request: record.request.clone(),
            };
            let request = MachineRequest {
                request: record.request,
                machine_type: record.machine_type,
                zone: record.zone,
                spot: record.spot,
                count: record.count,
            };
            self.call_cloud(purpose, CloudRequest::RequestMachines(request));
        }
    }

    fn list_machines(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        if shard.fleet.listing.is_due(self.now) && self.cloud.rate.ready(self.now) {
            shard.fleet.listing.start();
            let after = self.cloud.list_after.clone();
            self.call_cloud(CloudPurpose::ListMachines, CloudRequest::List { after });
        }
    }

    /// Requests the deletion of decommissioned machines, one batch at a time.
    pub(super) fn delete_decommissioned(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        if !shard.fleet.deletion.is_due(self.now) || !self.cloud.rate.ready(self.now) {
            return;
        }
        let machines = shard.workers.machines.iter().map(|(_, machine)| machine);
        let decommissioned = machines.filter(|machine| machine.decommissioned);
        let machines: Vec<String> = decommissioned
            .take(MAX_DELETED_PER_CALL)
            .map(|machine| machine.name.clone())
            .collect();
        if machines.is_empty() {
            return;
        }
        shard.fleet.deletion.start();
        let request = MachineNames {
            machines: machines.clone(),
        };
        self.call_cloud(CloudPurpose::DeleteMachines { machines }, CloudRequest::Delete(request));
    }

    /// Handles the reply to a call, or schedules the call again if it failed.
    pub(super) fn on_cloud_reply(&mut self, call: u64, reply: CloudReply) {
        let Some(purpose) = self.cloud.in_flight.remove(&call) else {
            return;
        };
        match (purpose, reply) {
            (CloudPurpose::ReadCatalogue, CloudReply::Catalogue(catalogue)) => self.catalogue_read(catalogue),
            (CloudPurpose::RequestMachines { request }, CloudReply::Provisioned(names)) => {
                self.machines_provisioned(&request, &names.machines);
            }
            (CloudPurpose::RequestMachines { request }, CloudReply::NoCapacity | CloudReply::Malformed) => {
                self.machines_provisioned(&request, &[]);
            }
            (CloudPurpose::DeleteMachines { machines }, CloudReply::Deleted) => self.machines_deleted(&machines),
            (CloudPurpose::ListMachines, CloudReply::Listed(list)) => self.machines_listed(&list),
            (purpose, _) => self.retry_cloud_call(&purpose),
        }
    }

    /// Schedules the retry of a call that failed or went unanswered. An unanswered call may still
    /// be executed.
    fn retry_cloud_call(&mut self, purpose: &CloudPurpose) {
        let retry_at = self.now + RETRY_MS;
        let fleet = self.shard.as_mut().map(|shard| &mut shard.fleet);
        match (purpose, fleet) {
            (CloudPurpose::ReadCatalogue, _) => self.cloud.catalogue_due = retry_at,
            (CloudPurpose::RequestMachines { request }, Some(fleet)) => {
                fleet.retry_machine_request(request, retry_at);
            }
            (CloudPurpose::DeleteMachines { .. }, Some(fleet)) => fleet.deletion.finish(retry_at),
            (CloudPurpose::ListMachines, Some(fleet)) => {
                // Restart the list from its first page at the next regular time.
                self.cloud.list_after.clear();
                fleet.listing.finish(self.now + LISTING_INTERVAL_MS);
            }
            (_, None) => {}
        }
    }

    /// Sets the catalogue. If it has changed, also stores it in the state service, so that a
    /// controller that restarts while the cloud is unreachable can still decide on submissions.
    /// One that is too large to be stored is only used here.
    fn catalogue_read(&mut self, catalogue: Catalogue) {
        let value = json!(catalogue);
        let stored = self.watch_cache.catalogue();
        let is_changed = stored.is_none_or(|stored| *stored != value);
        let (bytes, max_bytes) = (encoded_size(&value), self.settings.params.state.value_bytes());
        if bytes > max_bytes {
            tracing::warn!(bytes, max_bytes, "the catalogue is too large to be stored");
        } else if is_changed && self.election.is_acting_leader(self.now) {
            let transaction = Transaction {
                conditions: vec![self.election.claim_condition(&self.keys)],
                changes: vec![Change::put(self.keys.catalogue(), value)],
            };
            self.enqueue(Purpose::WriteCatalogue, StoreRequest::Transact(transaction.into()));
        }
        self.set_catalogue(catalogue);
    }

    /// Completes a machine request, possibly with fewer machines than requested.
    fn machines_provisioned(&mut self, request: &str, machines: &[String]) {
        let now = self.now;
        let Some(shard) = &mut self.shard else {
            return;
        };
        let Some(pending) = shard.fleet.finish_machine_request(request) else {
            return;
        };
        let record = pending.value;
        tracing::info!(
            machine_type = record.machine_type,
            zone = record.zone,
            spot = record.spot,
            asked = record.count,
            got = machines.len(),
            "scaled out"
        );
        if machines.len() < record.count as usize
            && let Some(offer) = shard
                .topology
                .find_offer(&record.machine_type, &record.zone, record.spot)
        {
            shard.fleet.suspend_offer(offer, now + REFUSED_OFFER_BACKOFF_MS);
        }
        add_provisioned(shard, now, &record, machines);
        shard.pending_writes.queue_answered_request(AnsweredRequest {
            request: record.request,
            version: pending.version,
        });
    }

    /// Completes a deletion and removes the machines from the shard.
    fn machines_deleted(&mut self, machines: &[String]) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.fleet.deletion.finish(self.now);
        shard.remove_deleted_machines(self.now, machines);
        self.placement_rounds.request();
    }

    /// Merges one page of the machine list. The next page, if any, is due immediately.
    fn machines_listed(&mut self, list: &MachineList) {
        let now = self.now;
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.merge_machine_list(now, list);
        match list.machines.last() {
            Some(last) if list.more => {
                self.cloud.list_after = last.id.clone();
                shard.fleet.listing.finish(now);
            }
            _ => {
                self.cloud.list_after.clear();
                shard.fleet.listing.finish(now + LISTING_INTERVAL_MS);
            }
        }
    }
}

/// Adds the machines that were provisioned for a request, except those already known or deleted.
fn add_provisioned(shard: &mut Shard, now: Millis, record: &MachineRequestRecord, machines: &[String]) {
    for name in machines {
        if shard.workers.machines.find(name).is_none() && !shard.workers.tombstones.contains_key(name) {
            shard.add_machine(now, name, &record.machine_type, &record.zone, record.spot);
        }
    }
}

#[cfg(test)]
mod tests;
