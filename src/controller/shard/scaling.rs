//! Scaling the fleet of the shard: the plan of the fleet, applied to the machines and to
//! what is to be written.

use super::Shard;
use crate::Millis;
use crate::fleet::{Fleet, FleetContext};
use crate::ids::MachineIx;

impl Shard {
    /// Looks over the machines and the forecast; asks for machines and decommissions them.
    pub fn plan_fleet(&mut self, now: Millis) {
        if !self.fleet.start_planning(now) {
            return;
        }
        self.decommission_failed(now);
        let (fleet, context) = self.fleet_and_context(now);
        let needs = fleet.update_forecast(&context);
        let plan = fleet.plan_scaling(&context, &needs);
        for request in plan.machine_requests {
            self.pending_writes.queue_machine_request(request);
        }
        self.decommission(&plan.idle_machines);
    }

    /// Decommissions what is past use; its deletion is the proof that its tasks are over.
    pub(super) fn decommission_failed(&mut self, now: Millis) {
        let (fleet, context) = self.fleet_and_context(now);
        let assessment = fleet.assess_health(&context);
        for (ix, machine) in self.workers.machines.iter_mut() {
            if !machine.decommissioned {
                machine.marked_unresponsive = assessment.unresponsive.contains(&ix);
            }
        }
        self.decommission(&assessment.failed);
    }

    fn decommission(&mut self, machines: &[MachineIx]) {
        for &ix in machines {
            if let Some(machine) = self.workers.machines.get_mut(ix) {
                machine.decommissioned = true;
            }
        }
    }

    /// The fleet, and what its planning reads of the shard.
    pub(super) fn fleet_and_context(&mut self, now: Millis) -> (&mut Fleet, FleetContext<'_>) {
        let context = FleetContext {
            now,
            wall_clock: self.wall_clock,
            shard_name: &self.name,
            term: self.term,
            jobs: &self.jobs,
            workers: &self.workers,
            topology: &self.topology,
            policy: &self.policy,
            unwritten_requests: self.pending_writes.machine_requests(),
        };
        (&mut self.fleet, context)
    }
}
