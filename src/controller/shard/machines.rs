//! Machines that appear, are listed and are deleted.

use super::Shard;
use crate::Millis;
use crate::ids::MachineIx;
use crate::resources::Offer;
use crate::wire::{ListedMachine, MachineList, Report};
use crate::workers::{Machine, Outcome};

impl Shard {
    /// A machine that the cloud told of, or one asked for and granted.
    pub fn add_machine(&mut self, now: Millis, name: &str, type_name: &str, zone: &str, spot: bool) -> MachineIx {
        let offer = self.offer(type_name, zone, spot);
        let ix = self.workers.machines.insert(name, Machine::new(name, offer, now));
        self.add_to_inventory(ix);
        ix
    }

    /// A machine that only a report speaks of. The report may be a late copy,
    /// from a machine returned long ago, so it counts for nothing until the
    /// cloud lists it or it answers a command.
    pub fn add_unverified_machine(&mut self, now: Millis, report: &Report) -> MachineIx {
        let offer = self.offer(&report.machine_type, &report.zone, report.spot);
        let machine = Machine::new(&report.machine, offer, now);
        let ix = self.workers.machines.insert(&report.machine, machine);
        self.workers.delivery_due.insert(ix);
        ix
    }

    /// A way of renting a machine, by the names that the cloud and the workers use.
    fn offer(&mut self, type_name: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            type_ix: self.topology.type_ix(type_name),
            zone: self.topology.zones.intern(zone),
            spot,
        }
    }

    /// The machine is surely there: a successor must know of it.
    pub fn add_to_inventory(&mut self, ix: MachineIx) {
        if let Some(machine) = self.workers.machines.get_mut(ix)
            && machine.group.is_none()
        {
            machine.group = Some(self.fleet.inventory.add(self.term, ix));
        }
    }

    /// The cloud confirmed that these machines are gone, with all on them.
    pub fn remove_deleted_machines(&mut self, now: Millis, names: &[String]) {
        for name in names {
            if let Some(ix) = self.workers.machines.find(name) {
                self.machine_gone(now, name, ix);
            }
        }
        self.workers.expire_tombstones(now);
    }

    fn machine_gone(&mut self, now: Millis, name: &str, ix: MachineIx) {
        let Some(machine) = self.workers.machines.get(ix) else {
            return;
        };
        for attempt in machine.open.clone() {
            self.close_attempt(now, attempt, Outcome::Lost);
        }
        let removed = self.workers.remove_machine(now, name);
        if let Some(group) = removed.and_then(|machine| machine.group) {
            self.fleet.inventory.remove(group, ix);
        }
        // The index may be given to another machine.
        for (_, job) in self.jobs.table.iter_mut() {
            job.failed_on.retain(|&failed| failed != ix);
        }
    }

    /// One page of the cloud's list. Lists lag and may go back in time, so
    /// absence proves nothing; what is there is learned.
    pub fn merge_machine_list(&mut self, now: Millis, page: &MachineList) {
        for listed in &page.machines {
            if !self.workers.was_recently_deleted(&listed.id) {
                self.machine_listed(now, listed);
            }
        }
        if !page.more {
            self.workers.finish_cloud_list();
        }
    }

    fn machine_listed(&mut self, now: Millis, listed: &ListedMachine) {
        let ix = match self.workers.machines.find(&listed.id) {
            Some(ix) => ix,
            None => self.add_machine(now, &listed.id, &listed.machine_type, &listed.zone, listed.spot),
        };
        self.add_to_inventory(ix);
        let group_to_rewrite = self.workers.note_listed(now, ix, listed);
        self.fleet.inventory.address_changed(group_to_rewrite);
    }
}
