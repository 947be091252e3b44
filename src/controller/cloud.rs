//! The leader's calls to the cloud: catalogue, machine requests, deletions, lists.

use super::{CloudReply, CloudRequest, Controller, Output, Purpose};
use crate::Millis;
use crate::fleet::MachineRequestRecord;
use crate::store::{StoreRequest, TokenBucket};
use crate::topology::Offer;
use crate::wire::{Change, MachineNames, MachineRequest, Transaction};
use serde_json::json;
use std::collections::BTreeMap;

const LIST_EVERY_MS: Millis = 3_000;
const CATALOGUE_EVERY_MS: Millis = 60_000;
const RETRY_MS: Millis = 1_000;
/// How long an offer that was refused or cut short is left alone.
const REFUSED_MS: Millis = 15_000;
const MAX_DELETE: usize = 100;

#[derive(Debug)]
enum Call {
    Catalogue,
    RequestMachines(String),
    Delete(Vec<String>),
    List,
}

#[derive(Debug)]
pub struct Calls {
    rate: TokenBucket,
    calls: BTreeMap<u64, Call>,
    catalogue_due: Millis,
    list_after: String,
}

impl Calls {
    pub fn new(rps: f64) -> Calls {
        Calls {
            rate: TokenBucket::new(rps),
            calls: BTreeMap::new(),
            catalogue_due: 0,
            list_after: String::new(),
        }
    }

    pub fn forget(&mut self) {
        self.calls.clear();
        self.list_after.clear();
    }
}

impl Controller {
    fn cloud(&mut self, what: Call, request: CloudRequest) {
        let call = self.call();
        self.cloud.rate.spend(1.0);
        self.cloud.calls.insert(call, what);
        self.outputs.push(Output::Cloud { call, request });
    }

    pub(super) fn advance_cloud(&mut self) {
        let now = self.now;
        if self.cloud.rate.ready(now) && now >= self.cloud.catalogue_due {
            self.cloud.catalogue_due = now + CATALOGUE_EVERY_MS;
            self.cloud(Call::Catalogue, CloudRequest::Catalogue);
        }
        while self.cloud.rate.ready(now)
            && let Some(value) = self.next_machine_request()
        {
            let request = MachineRequest {
                request: value.request.clone(),
                machine_type: value.machine_type,
                zone: value.zone,
                spot: value.spot,
                count: value.count,
            };
            self.cloud(
                Call::RequestMachines(value.request),
                CloudRequest::RequestMachines(request),
            );
        }
        let Some(shard) = &mut self.shard else {
            return;
        };
        if !shard.fleet.listing && now >= shard.fleet.listed_at + LIST_EVERY_MS && self.cloud.rate.ready(now) {
            shard.fleet.listing = true;
            let after = self.cloud.list_after.clone();
            self.cloud(Call::List, CloudRequest::List { after });
        }
    }

    /// A written machine request that is due, now taken to be in flight.
    fn next_machine_request(&mut self) -> Option<MachineRequestRecord> {
        let now = self.now;
        let machine_requests = &mut self.shard.as_mut()?.fleet.machine_requests;
        let machine_request = machine_requests
            .iter_mut()
            .find(|machine_request| !machine_request.in_flight && now >= machine_request.not_before)?;
        machine_request.in_flight = true;
        Some(machine_request.value.clone())
    }

    pub(super) fn delete_decommissioned(&mut self) {
        let now = self.now;
        let Some(shard) = &mut self.shard else {
            return;
        };
        if shard.fleet.deleting || now < shard.fleet.delete_not_before || !self.cloud.rate.ready(now) {
            return;
        }
        let mut names = Vec::new();
        for (_, machine) in shard.workers.machines.iter() {
            if machine.decommissioned && names.len() < MAX_DELETE {
                names.push(machine.name.clone());
            }
        }
        if names.is_empty() {
            return;
        }
        shard.fleet.deleting = true;
        let request = MachineNames {
            machines: names.clone(),
        };
        self.cloud(Call::Delete(names), CloudRequest::Delete(request));
    }

    pub(super) fn cloud_reply(&mut self, call: u64, reply: CloudReply) {
        let Some(what) = self.cloud.calls.remove(&call) else {
            return;
        };
        let now = self.now;
        match (what, reply) {
            (Call::Catalogue, CloudReply::Catalogue(catalogue)) => {
                let value = json!(catalogue);
                let stored = self.watch_cache.catalogue.as_ref();
                if stored.is_none_or(|(stored, _)| *stored != value) && self.election.is_acting_leader(now) {
                    // Kept, so that a restart while the cloud is out of reach
                    // can still decide on submissions.
                    let transaction = Transaction {
                        conditions: vec![self.election.condition(&self.keys)],
                        changes: vec![Change::put(self.keys.catalogue(), value)],
                    };
                    self.enqueue(Purpose::Catalogue, StoreRequest::Transact(transaction.into()));
                }
                self.set_catalogue(catalogue);
            }
            (Call::Catalogue, _) => self.cloud.catalogue_due = now + RETRY_MS,
            (Call::RequestMachines(request), reply) => self.on_machines_reply(&request, reply),
            (Call::Delete(names), reply) => {
                let Some(shard) = &mut self.shard else {
                    return;
                };
                shard.fleet.deleting = false;
                if reply == CloudReply::Deleted {
                    shard.machines_gone(now, &names);
                    self.place_wanted = true;
                } else {
                    shard.fleet.delete_not_before = now + RETRY_MS;
                }
            }
            (Call::List, reply) => {
                let Some(shard) = &mut self.shard else {
                    return;
                };
                shard.fleet.listing = false;
                let CloudReply::Listed(list) = reply else {
                    shard.fleet.listed_at = now;
                    self.cloud.list_after.clear();
                    return;
                };
                shard.listed(now, &list.machines, !list.more);
                match list.machines.last() {
                    Some(last) if list.more => self.cloud.list_after = last.id.clone(),
                    _ => {
                        self.cloud.list_after.clear();
                        shard.fleet.listed_at = now;
                    }
                }
            }
        }
    }

    fn on_machines_reply(&mut self, request: &str, reply: CloudReply) {
        let now = self.now;
        let Some(shard) = &mut self.shard else {
            return;
        };
        let Some(position) = shard
            .fleet
            .machine_requests
            .iter()
            .position(|machine_request| machine_request.value.request == request)
        else {
            return;
        };
        let machine_request = &mut shard.fleet.machine_requests[position];
        let got = match reply {
            CloudReply::Provisioned(names) => names.machines,
            CloudReply::NoCapacity | CloudReply::Malformed => Vec::new(),
            _ => {
                // The very same request again, until it is answered: it may
                // have been carried out, or may yet be.
                machine_request.in_flight = false;
                machine_request.not_before = now + RETRY_MS;
                return;
            }
        };
        let machine_request = shard.fleet.machine_requests.remove(position);
        let value = machine_request.value;
        tracing::info!(
            machine_type = value.machine_type,
            zone = value.zone,
            spot = value.spot,
            asked = value.count,
            got = got.len(),
            "scaled out"
        );
        if got.len() < value.count as usize
            && let (Some(type_ix), Some(zone)) = (
                shard.topology.types.get(&value.machine_type),
                shard.topology.zones.get(&value.zone),
            )
        {
            let offer = Offer {
                type_ix,
                zone,
                spot: value.spot,
            };
            shard.fleet.refused.insert(offer, now + REFUSED_MS);
        }
        for name in &got {
            if shard.workers.machines.find(name).is_none() && !shard.workers.tombstones.contains_key(name) {
                shard.add_machine(now, name, &value.machine_type, &value.zone, value.spot);
            }
        }
        shard
            .pending_writes
            .settled
            .push_back((value.request, machine_request.version));
    }
}
