//! Machines that appear, are listed and are deleted.

use super::Shard;
use crate::Millis;
use crate::ids::MachineIx;
use crate::wire::{ListedMachine, MachineState, Report};
use crate::workers::{Machine, Outcome};

/// Machines deleted are remembered this long, since lists and reports lag.
const TOMBSTONE_MS: Millis = 120_000;

impl Shard {
    pub fn add_machine(&mut self, now: Millis, name: &str, type_name: &str, zone: &str, spot: bool) -> MachineIx {
        let type_ix = self.topology.type_ix(type_name);
        let zone = self.topology.zones.intern(zone);
        let ix = self
            .workers
            .machines
            .insert(name, Machine::new(name, type_ix, zone, spot, now));
        self.add_to_inventory(ix);
        ix
    }

    /// A machine that only a report speaks of. The report may be a late copy,
    /// from a machine returned long ago, so it counts for nothing until the
    /// cloud lists it or it answers a command.
    pub fn add_unverified(&mut self, now: Millis, report: &Report) -> MachineIx {
        let type_ix = self.topology.type_ix(&report.machine_type);
        let zone = self.topology.zones.intern(&report.zone);
        let machine = Machine::new(&report.machine, type_ix, zone, report.spot, now);
        let ix = self.workers.machines.insert(&report.machine, machine);
        self.workers.delivery_due.insert(ix);
        ix
    }

    /// The machine is surely there: a successor must know of it.
    pub fn add_to_inventory(&mut self, ix: MachineIx) {
        let Some(machine) = self
            .workers
            .machines
            .get_mut(ix)
            .filter(|machine| machine.group.is_none())
        else {
            return;
        };
        machine.group = Some(self.fleet.inventory.add(self.term, ix));
    }

    /// The cloud confirmed that these machines are gone, with all on them.
    pub fn machines_gone(&mut self, now: Millis, names: &[String]) {
        for name in names {
            let Some(ix) = self.workers.machines.find(name) else {
                continue;
            };
            let Some(machine) = self.workers.machines.get(ix) else {
                continue;
            };
            for attempt in machine.open.clone() {
                self.close(now, attempt, Outcome::Lost);
            }
            self.workers.delivery_due.remove(&ix);
            if let Some(group) = self.workers.machines.remove(name).and_then(|machine| machine.group) {
                self.fleet.inventory.remove(group, ix);
            }
            self.workers.tombstones.insert(name.clone(), now);
            // The index may be given to another machine.
            for (_, job) in self.jobs.table.iter_mut() {
                job.failed_on.retain(|&failed| failed != ix);
            }
        }
        self.workers.tombstones.retain(|_, &mut at| now < at + TOMBSTONE_MS);
    }

    /// One page of the cloud's list. Lists lag and may go back in time, so
    /// absence proves nothing; what is there is learned. `last`: of its list.
    pub fn listed(&mut self, now: Millis, machines: &[ListedMachine], last: bool) {
        for listed in machines {
            if self.workers.tombstones.contains_key(&listed.id) {
                continue;
            }
            let ix = match self.workers.machines.find(&listed.id) {
                Some(ix) => ix,
                None => self.add_machine(now, &listed.id, &listed.machine_type, &listed.zone, listed.spot),
            };
            self.add_to_inventory(ix);
            let Some(machine) = self.workers.machines.get_mut(ix) else {
                continue;
            };
            machine.listed = true;
            machine.once_listed = true;
            if machine.heard_at.is_none() {
                machine.requested_at = now.saturating_sub(crate::millis(listed.age_s));
            }
            if machine.address.is_none() && listed.address.is_some() {
                machine.address = listed.address.clone();
                self.fleet.inventory.late.extend(machine.group);
            }
            if listed.state == MachineState::Running && machine.heard_at.is_none() {
                self.workers.delivery_due.insert(ix);
            }
            if listed.state == MachineState::Failed && !machine.decommissioned {
                tracing::info!(machine = machine.name, "decommissioning a failed machine");
                machine.decommissioned = true;
            }
        }
        if last {
            for (_, machine) in self.workers.machines.iter_mut() {
                machine.unlisted = machine.once_listed && !machine.listed;
                machine.listed = false;
            }
        }
    }
}
