//! Scaling of the fleet: applies the fleet's health assessment and its scaling plan to the
//! machines and to the pending writes.

use super::Shard;
use crate::Millis;
use crate::fleet::{Fleet, FleetContext};
use crate::ids::MachineIx;

impl Shard {
    /// Decommissions failed machines, updates the forecast, then requests new machines and
    /// decommissions idle ones. Does nothing until planning is due again.
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

    /// Decommissions failed machines and marks unresponsive ones. Only the deletion of a failed
    /// machine proves that its tasks are over.
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

    /// Marks machines as decommissioned, so that they get no new tasks and are deleted.
    fn decommission(&mut self, machines: &[MachineIx]) {
        for &ix in machines {
            if let Some(machine) = self.workers.machines.get_mut(ix) {
                machine.decommissioned = true;
            }
        }
    }

    /// Returns the fleet, and the parts of the shard that its planning reads.
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
