//! The existing and requested machines that the forecast tasks are packed onto.

use super::{Fleet, FleetContext, MachineRequestRecord};
use crate::ids::MachineIx;
use crate::resources::Offer;
use crate::resources::Resources;
use crate::workers::Machine;

/// Whether a machine is known or only requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The machine has an entry in the shard's table of machines.
    Known(MachineIx),
    /// The cloud has not yet answered the request for the machine.
    Requested,
}

/// A machine that forecast tasks may be packed onto, with its remaining capacity.
#[derive(Debug)]
pub(crate) struct PlannedMachine {
    origin: Origin,
    pub(super) offer: Offer,
    is_idle: bool,
    free: Resources,
    is_used: bool,
}

impl PlannedMachine {
    /// Reserves capacity for up to `max_tasks` tasks. Returns the number of tasks that fit.
    pub(super) fn reserve(&mut self, task: Resources, max_tasks: u32) -> u32 {
        let count = self.free.capacity_for(task).min(max_tasks);
        for _ in 0..count {
            self.free.subtract(task);
        }
        self.is_used |= count > 0;
        count
    }

    /// Returns the machine if it is known and no task was packed onto it.
    pub(super) fn unused_machine(&self) -> Option<MachineIx> {
        match self.origin {
            Origin::Known(ix) if !self.is_used => Some(ix),
            _ => None,
        }
    }
}

/// The machines of one offer that one request asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedCapacity {
    pub offer: Offer,
    pub count: u32,
}

impl Fleet {
    /// Returns the known and the requested machines in the order in which they are filled:
    /// small and busy machines first, idle and on-demand machines last.
    pub(crate) fn planned_machines(&self, context: &FleetContext<'_>) -> Vec<PlannedMachine> {
        let mut planned = Vec::with_capacity(context.workers.machines.len());
        for (ix, machine) in context.workers.machines.iter() {
            if let Some(info) = context.topology.info(machine.type_ix)
                && self.is_expected_to_stay(context, machine)
            {
                planned.push(PlannedMachine {
                    origin: Origin::Known(ix),
                    offer: machine.offer(),
                    is_idle: machine.open.is_empty(),
                    free: info.resources,
                    is_used: false,
                });
            }
        }
        for RequestedCapacity { offer, count } in self.requested_capacity(context) {
            if let Some(info) = context.topology.info(offer.type_ix) {
                planned.extend((0..count).map(|_| PlannedMachine {
                    origin: Origin::Requested,
                    offer,
                    is_idle: true,
                    free: info.resources,
                    is_used: false,
                }));
            }
        }
        planned.sort_by(|a, b| {
            let idle_and_on_demand_last = (a.is_idle, !a.offer.spot).cmp(&(b.is_idle, !b.offer.spot));
            a.free.cpus.total_cmp(&b.free.cpus).then(idle_and_on_demand_last)
        });
        planned
    }

    /// Whether tasks may be packed onto a known machine: it belongs to a group of the inventory,
    /// its boot is not overdue, and it is neither unresponsive nor about to be deleted or
    /// reclaimed.
    fn is_expected_to_stay(&self, context: &FleetContext<'_>, machine: &Machine) -> bool {
        let is_leaving = machine.decommissioned || machine.marked_unresponsive || machine.spot_reclaim_at.is_some();
        !is_leaving && machine.group.is_some() && !self.is_boot_overdue(context, machine)
    }

    /// Returns the machines of all requests that the cloud has not yet answered, written or not.
    pub(super) fn requested_capacity<'a>(
        &'a self,
        context: &FleetContext<'a>,
    ) -> impl Iterator<Item = RequestedCapacity> + use<'a> {
        let topology = context.topology;
        let written = self.machine_requests.iter().map(|pending| &pending.value);
        written
            .chain(context.unwritten_requests)
            .filter_map(move |request: &MachineRequestRecord| {
                Some(RequestedCapacity {
                    offer: topology.find_offer(&request.machine_type, &request.zone, request.spot)?,
                    count: request.count,
                })
            })
    }
}
