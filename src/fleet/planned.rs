//! The machines there are and on their way, into which the forecast is packed.

use super::{Fleet, FleetContext, MachineRequestRecord};
use crate::ids::MachineIx;
use crate::resources::Offer;
use crate::resources::Resources;
use crate::workers::Machine;

/// Whether a machine is there yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// It has an entry among the machines.
    Known(MachineIx),
    /// The cloud has not answered the request for it.
    Requested,
}

/// A machine that tasks may be packed into, and what is left of its room.
#[derive(Debug)]
pub(crate) struct PlannedMachine {
    origin: Origin,
    pub(super) offer: Offer,
    is_idle: bool,
    free: Resources,
    is_used: bool,
}

impl PlannedMachine {
    /// Takes room for at most `most` tasks; gives how many it has room for.
    pub(super) fn take(&mut self, task: Resources, most: u32) -> u32 {
        let count = self.free.capacity_for(task).min(most);
        for _ in 0..count {
            self.free.subtract(task);
        }
        self.is_used |= count > 0;
        count
    }

    /// The machine, if it is there and no task was packed into it.
    pub(super) fn unused_machine(&self) -> Option<MachineIx> {
        match self.origin {
            Origin::Known(ix) if !self.is_used => Some(ix),
            _ => None,
        }
    }
}

/// Machines of one offer, asked for by one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedCapacity {
    pub offer: Offer,
    pub count: u32,
}

impl Fleet {
    /// The machines there are and those asked for. Small and busy ones come
    /// first and so are filled first, idle and on-demand ones last.
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
            let rest = (a.is_idle, !a.offer.spot).cmp(&(b.is_idle, !b.offer.spot));
            a.free.cpus.total_cmp(&b.free.cpus).then(rest)
        });
        planned
    }

    fn is_expected_to_stay(&self, context: &FleetContext<'_>, machine: &Machine) -> bool {
        let is_leaving = machine.decommissioned || machine.marked_unresponsive || machine.spot_reclaim_at.is_some();
        !is_leaving && machine.group.is_some() && !self.is_boot_overdue(context, machine)
    }

    /// The machines of all requests that the cloud has not answered yet.
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
