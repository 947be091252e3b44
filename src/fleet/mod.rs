//! Renting and returning machines: what the forecast needs, at what price, and
//! which machines are past use.

mod forecast;
mod health;
mod inventory;
mod provision;

pub use inventory::{Group, GroupValue, Inventory, InventoryMember};

use crate::Millis;
use crate::controller::Shard;
use crate::ids::{ClassIx, ZoneIx};
use crate::resources::Shape;
use crate::topology::Offer;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const PLAN_EVERY_MS: Millis = 1_000;
/// Boot time of a type that the catalogue does not give.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// A machine request's key, written before the cloud is asked, so that a successor can
/// repeat the same request and learn what came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRequestRecord {
    pub request: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// A machine request written and not yet answered for.
#[derive(Clone, Debug)]
pub struct PendingMachineRequest {
    pub value: MachineRequestRecord,
    pub version: u64,
    pub in_flight: bool,
    pub not_before: Millis,
}

/// What the jobs of one class ask of machines, and how many at once.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pub shape: Shape,
    /// Runs in what the others leave, and rents no ordinary machines.
    pub best_effort: bool,
    pub now: f64,
    /// Of these, what new machines would still be there for in time.
    pub lasting: f64,
    /// The same for spot machines, which need less of a reason.
    pub spot: f64,
    /// Samples of tasks wanted at once, over the forecast period.
    pub history: VecDeque<(Millis, f64)>,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub machine_requests: Vec<PendingMachineRequest>,
    next_request: u64,
    /// What a successor must know of the machines.
    pub inventory: Inventory,
    /// Offers refused lately, and until when they are left alone.
    pub refused: BTreeMap<Offer, Millis>,
    /// Zones most of whose machines have fallen silent: most likely cut off.
    pub silent_zones: BTreeSet<ZoneIx>,
    pub demand: BTreeMap<ClassIx, Demand>,
    pub planned_at: Millis,
    pub listed_at: Millis,
    pub listing: bool,
    pub deleting: bool,
    pub delete_not_before: Millis,
}

impl Fleet {
    /// Nothing known yet; `value_kb` bounds a value of the state service.
    pub fn new(value_kb: f64) -> Fleet {
        Fleet {
            inventory: Inventory::new(value_kb),
            ..Fleet::default()
        }
    }
}

impl Shard {
    /// Looks over the machines and the forecast; rents and condemns.
    pub fn plan_fleet(&mut self, now: Millis) {
        if now < self.fleet.planned_at + PLAN_EVERY_MS {
            return;
        }
        self.fleet.planned_at = now;
        self.decommission_failed(now);
        let wants = self.forecast(now);
        self.provision(now, wants);
    }
}

#[cfg(test)]
mod tests;
