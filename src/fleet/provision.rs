//! Scaling decisions: requests the cheapest machines for forecast tasks that do not fit on
//! the existing ones, and selects idle machines to be decommissioned.

use super::demand::CapacityNeed;
use super::offers::{OfferSearch, PurchaseScope};
use super::planned::PlannedMachine;
use super::{Fleet, FleetContext, MachineRequestRecord};
use crate::ids::MachineIx;
use crate::resources::Offer;
use std::collections::BTreeMap;

/// The largest number of machines that the cloud accepts in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Unanswered requests allowed per offer. More would only queue up behind the cloud's rate
/// limit, and all but the first would be useless where there is no capacity.
const MAX_PENDING_REQUESTS_PER_OFFER: usize = 2;
/// The idle timeout of on-demand machines is that of spot machines divided by this.
const ON_DEMAND_IDLE_DIVISOR: u64 = 3;

/// The changes to the fleet that one planning step decided on.
#[derive(Debug, Default)]
pub struct ScalingPlan {
    /// Requests to be written to the state service and then sent to the cloud.
    pub machine_requests: Vec<MachineRequestRecord>,
    /// Machines to be decommissioned because nothing has needed them for long enough.
    pub idle_machines: Vec<MachineIx>,
}

impl Fleet {
    /// Packs the forecast tasks onto the existing and requested machines, requests machines
    /// for the tasks that do not fit, and selects idle machines to be decommissioned.
    pub(crate) fn plan_scaling(&mut self, context: &FleetContext<'_>, needs: &[CapacityNeed]) -> ScalingPlan {
        let mut machines = self.planned_machines(context);
        let purchases = self.choose_purchases(context, needs, &mut machines);
        ScalingPlan {
            machine_requests: self.request_machines(context, purchases),
            idle_machines: idle_machines(context, &machines),
        }
    }

    /// Returns the number of machines to request of each offer for the tasks that do not fit
    /// on `machines`.
    fn choose_purchases(
        &self,
        context: &FleetContext<'_>,
        needs: &[CapacityNeed],
        machines: &mut [PlannedMachine],
    ) -> BTreeMap<Offer, u32> {
        let mut search = OfferSearch::new(self, context);
        search.set_overdue_offers(self.overdue_offers(context));
        for machine in machines.iter() {
            search.count_machine(machine.offer.zone);
        }
        let mut purchases: BTreeMap<Offer, u32> = BTreeMap::new();
        for need in needs {
            let mut tasks_left = pack(machines, need);
            while tasks_left > 0 {
                let scope = if need.count - tasks_left < need.on_demand_count {
                    PurchaseScope::SpotOrOnDemand
                } else {
                    PurchaseScope::SpotOnly
                };
                let Some(choice) = search.best(need, tasks_left, scope) else {
                    break;
                };
                *purchases.entry(choice.offer).or_default() += 1;
                search.count_machine(choice.offer.zone);
                tasks_left = tasks_left.saturating_sub(choice.tasks_per_machine);
            }
        }
        purchases
    }

    /// Creates the requests for these machines, within the limits on the size of the fleet,
    /// the size of a request and the number of pending requests.
    fn request_machines(
        &mut self,
        context: &FleetContext<'_>,
        purchases: BTreeMap<Offer, u32>,
    ) -> Vec<MachineRequestRecord> {
        // Decommissioned machines count until the cloud confirms their deletion.
        let requested: u32 = self.requested_capacity(context).map(|requested| requested.count).sum();
        let mut total = context.workers.machines.len() as u32 + requested;
        let mut requests = Vec::new();
        for (offer, count) in purchases {
            let limit = (context.policy.max_machines as u32).saturating_sub(total);
            let mut left = count.min(limit);
            let pending = self.requested_capacity(context).filter(|other| other.offer == offer);
            let mut pending = pending.count();
            while left > 0 && pending < MAX_PENDING_REQUESTS_PER_OFFER {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                requests.push(self.machine_request(context, offer, count));
                total += count;
                left -= count;
                pending += 1;
            }
        }
        requests
    }

    fn machine_request(&mut self, context: &FleetContext<'_>, offer: Offer, count: u32) -> MachineRequestRecord {
        // No other leader has this term, so the name is unique.
        let request = format!("{}-{}-{}", context.shard_name, context.term, self.next_request);
        self.next_request += 1;
        MachineRequestRecord {
            request,
            machine_type: context.topology.types.name(offer.type_ix).into(),
            zone: context.topology.zones.name(offer.zone).into(),
            spot: offer.spot,
            count,
        }
    }
}

/// Reserves capacity for the needed tasks on these machines. Returns the number of tasks
/// that did not fit.
fn pack(machines: &mut [PlannedMachine], need: &CapacityNeed) -> u32 {
    let mut left = need.count;
    for machine in machines {
        if left == 0 {
            break;
        }
        if !need.shape.allows(machine.offer) {
            continue;
        }
        // An on-demand machine is not kept just for headroom, so tasks beyond
        // `on_demand_count` are only packed onto spot machines.
        let limit = if machine.offer.spot || !need.shape.spot {
            left
        } else {
            left.saturating_sub(need.count.saturating_sub(need.on_demand_count))
        };
        left -= machine.reserve(need.shape.resources, limit);
    }
    left
}

/// Returns the machines that no forecast task was packed onto and whose idle timeout has passed.
fn idle_machines(context: &FleetContext<'_>, machines: &[PlannedMachine]) -> Vec<MachineIx> {
    let spot_idle_ms = crate::millis(context.policy.idle_return_s);
    let mut idle = Vec::new();
    for ix in machines.iter().filter_map(PlannedMachine::unused_machine) {
        let Some(machine) = context.workers.machines.get(ix) else {
            continue;
        };
        let idle_ms = if machine.spot {
            spot_idle_ms
        } else {
            spot_idle_ms / ON_DEMAND_IDLE_DIVISOR
        };
        let is_up = machine.last_report_at.is_some();
        if is_up && machine.open.is_empty() && context.now > machine.idle_since + idle_ms {
            tracing::info!(machine = machine.name, "scaling in an idle machine");
            idle.push(ix);
        }
    }
    idle
}
