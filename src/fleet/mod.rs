//! Scaling the fleet out and in: what the forecast needs, at what price, and which
//! machines are past use.
//!
//! The planning reads the rest of the shard through a [`FleetContext`] and returns what
//! is to be done: machine requests to be written, and machines to be decommissioned.

mod boot;
mod cloud_calls;
mod context;
pub(crate) mod demand;
mod forecast;
mod health;
mod inventory;
pub(crate) mod offers;
mod planned;
mod provision;

pub use cloud_calls::{CallState, PendingMachineRequest};
pub use context::FleetContext;
pub use health::HealthAssessment;
pub use inventory::{DueGroups, Group, GroupValue, Inventory, InventoryMember};
pub use provision::ScalingPlan;

use crate::Millis;
use crate::ids::ZoneIx;
use crate::resources::Offer;
use demand::CapacityNeed;
use forecast::Forecast;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

const PLAN_EVERY_MS: Millis = 1_000;
/// The cloud's list is read again this long after its end.
pub(crate) const LISTING_INTERVAL_MS: Millis = 3_000;
/// Beyond a boot: until a new machine is listed or has reported.
const FIRST_SIGN_MS: Millis = 10_000;

/// A machine request's key, written before the cloud is asked, so that a successor can
/// repeat the same request and learn what came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRequestRecord {
    /// Name of the request, by which the cloud knows a repetition.
    pub request: String,
    /// Name of the type of the machines.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether spot machines are asked for.
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// What the leader knows of the fleet beyond the single machines.
#[derive(Debug, Default)]
pub struct Fleet {
    /// What a successor must know of the machines.
    pub inventory: Inventory,
    /// The reading of the cloud's list, page by page.
    pub(crate) listing: CallState,
    /// The deletion of decommissioned machines.
    pub(crate) deletion: CallState,
    /// Zones most of whose machines have become unresponsive: most likely cut off.
    pub(crate) unresponsive_zones: BTreeSet<ZoneIx>,
    machine_requests: Vec<PendingMachineRequest>,
    next_request: u64,
    /// Offers refused lately, and until when they are left alone.
    refused: BTreeMap<Offer, Millis>,
    forecast: Forecast,
    planned_at: Millis,
}

impl Fleet {
    /// Nothing known yet; `value_kb` bounds a value of the state service.
    pub fn new(value_kb: f64) -> Fleet {
        Fleet {
            inventory: Inventory::new(value_kb),
            listing: CallState::NotBefore(LISTING_INTERVAL_MS),
            ..Fleet::default()
        }
    }

    /// Whether the fleet is to be planned now; if so, the next time is a while from now.
    pub fn start_planning(&mut self, now: Millis) -> bool {
        let is_due = now >= self.planned_at + PLAN_EVERY_MS;
        if is_due {
            self.planned_at = now;
        }
        is_due
    }

    /// Adds a sample of what is wanted now to the forecast; gives the tasks of each class
    /// to be ready for.
    pub(crate) fn update_forecast(&mut self, context: &FleetContext<'_>) -> Vec<CapacityNeed> {
        self.forecast.update(context)
    }
}

#[cfg(test)]
mod tests;
