//! Fleet management: forecasts demand, scales the fleet out and in at the best price, and
//! detects failed machines.
//!
//! Planning reads the rest of the shard through a [`FleetContext`] and returns the changes to
//! be made: machine requests to be written and machines to be decommissioned.

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
pub use inventory::{DueGroups, Group, GroupValue, Inventory, InventoryMember, member_bytes};
pub use provision::ScalingPlan;

use crate::Millis;
use crate::ids::ZoneIx;
use crate::resources::Offer;
use demand::CapacityNeed;
use forecast::Forecast;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

const PLANNING_INTERVAL_MS: Millis = 1_000;
/// Milliseconds from the end of one reading of the cloud's machine list to the next.
pub(crate) const LISTING_INTERVAL_MS: Millis = 3_000;
/// Milliseconds allowed for the first report of a machine, both after its boot and after the
/// leader began to receive reports.
const FIRST_CONTACT_GRACE_MS: Millis = 10_000;

/// Stored value of a machine request. It is written before the request is sent to the cloud,
/// so that a new leader can repeat the same request and learn its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRequestRecord {
    /// Name of the request, by which the cloud recognizes a repetition.
    pub request: String,
    /// Name of the requested machine type in the cloud's catalogue.
    pub machine_type: String,
    /// Name of the zone in which the machines are requested.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// The number of machines requested.
    pub count: u32,
}

/// Stored value of the key that every transaction with new machine requests changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestMachineRequest {
    /// Name of the first new request of the transaction.
    pub request: String,
}

/// The leader's state of the fleet as a whole. Single machines are kept in
/// [`Workers`](crate::workers::Workers).
#[derive(Debug, Default)]
pub struct Fleet {
    /// The stored list of machines, from which a new leader takes over.
    pub inventory: Inventory,
    /// State of the calls that read the cloud's machine list page by page.
    pub(crate) listing: CallState,
    /// State of the calls that delete decommissioned machines.
    pub(crate) deletion: CallState,
    /// Zones most of whose machines have stopped reporting, and which are most likely cut off.
    pub(crate) unresponsive_zones: BTreeSet<ZoneIx>,
    machine_requests: Vec<PendingMachineRequest>,
    next_request: u64,
    /// Offers of which the cloud recently had too few machines, and the time until which no
    /// more are requested.
    suspended: BTreeMap<Offer, Millis>,
    forecast: Forecast,
    planned_at: Millis,
}

impl Fleet {
    /// Creates an empty state. `value_kb` is the size limit of a value in the state service,
    /// in KiB.
    pub fn new(value_kb: f64) -> Fleet {
        Fleet {
            inventory: Inventory::new(value_kb),
            listing: CallState::NotBefore(LISTING_INTERVAL_MS),
            ..Fleet::default()
        }
    }

    /// Whether planning is due. If so, the planning interval restarts.
    pub fn start_planning(&mut self, now: Millis) -> bool {
        let is_due = now >= self.planned_at + PLANNING_INTERVAL_MS;
        if is_due {
            self.planned_at = now;
        }
        is_due
    }

    /// Adds a sample of the current demand to the forecast. Returns the tasks of each class to
    /// have capacity for.
    pub(crate) fn update_forecast(&mut self, context: &FleetContext<'_>) -> Vec<CapacityNeed> {
        self.forecast.update(context)
    }
}

#[cfg(test)]
mod tests;
