//! Changes to the set of machines: adds the ones that are provisioned, listed by the cloud or
//! seen in reports, and removes deleted ones.

use super::Shard;
use crate::Millis;
use crate::fleet::member_bytes;
use crate::ids::MachineIx;
use crate::resources::Offer;
use crate::wire::{ListedMachine, MachineList, Report};
use crate::workers::{Machine, Outcome};

impl Shard {
    /// Adds a machine that the cloud has listed or has provisioned for a request, and puts it into
    /// the inventory.
    pub fn add_machine(&mut self, now: Millis, name: &str, type_name: &str, zone: &str, spot: bool) -> MachineIx {
        let offer = self.offer(type_name, zone, spot);
        let ix = self.workers.machines.insert(name, Machine::new(name, offer, now));
        self.add_to_inventory(ix);
        ix
    }

    /// Adds a machine that is known only from a report. The report may be a delayed copy from a
    /// machine that was deleted long ago. The machine is therefore neither used nor counted as
    /// capacity until the cloud lists it or its worker replies to the direct command that is sent
    /// next.
    pub fn add_unverified_machine(&mut self, now: Millis, report: &Report) -> MachineIx {
        let offer = self.offer(&report.machine_type, &report.zone, report.spot);
        let machine = Machine::new(&report.machine, offer, now);
        let ix = self.workers.machines.insert(&report.machine, machine);
        self.workers.delivery_due.insert(ix);
        ix
    }

    /// Returns the offer for the names of a machine type and a zone, as the cloud and the workers
    /// use them.
    fn offer(&mut self, type_name: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            type_ix: self.topology.type_ix(type_name),
            zone: self.topology.zones.intern(zone),
            spot,
        }
    }

    /// Puts a machine that certainly exists into the inventory, so that the next leader will know
    /// of it. Has no effect if the machine is already there.
    pub fn add_to_inventory(&mut self, ix: MachineIx) {
        let Some(machine) = self.workers.machines.get(ix).filter(|machine| machine.group.is_none()) else {
            return;
        };
        let bytes = self.inventory_bytes(machine);
        let group = self.fleet.inventory.add(self.term, ix, bytes);
        if let Some(machine) = self.workers.machines.get_mut(ix) {
            machine.group = Some(group);
        }
    }

    /// Returns the bytes that a machine takes in the inventory.
    fn inventory_bytes(&self, machine: &Machine) -> usize {
        let machine_type = self.topology.types.name(machine.type_ix);
        let zone = self.topology.zones.name(machine.zone);
        member_bytes(&machine.name, machine_type, zone)
    }

    /// Removes machines whose deletion the cloud has confirmed. All attempts on them are lost.
    pub fn remove_deleted_machines(&mut self, now: Millis, names: &[String]) {
        for name in names {
            if let Some(ix) = self.workers.machines.find(name) {
                self.remove_deleted_machine(now, name, ix);
            }
        }
        self.workers.expire_tombstones(now);
    }

    /// Removes a deleted machine from the table of machines, from the inventory and from the jobs
    /// that avoid it. All attempts on it are lost.
    fn remove_deleted_machine(&mut self, now: Millis, name: &str, ix: MachineIx) {
        let Some(machine) = self.workers.machines.get(ix) else {
            return;
        };
        for attempt in machine.open.clone() {
            self.close_attempt(now, attempt, Outcome::Lost);
        }
        let removed = self.workers.remove_machine(now, name);
        if let Some(machine) = removed
            && let Some(group) = machine.group
        {
            let bytes = self.inventory_bytes(&machine);
            self.fleet.inventory.remove(group, ix, bytes);
        }
        // The index may be reused for another machine.
        for (_, job) in self.jobs.table.iter_mut() {
            job.failed_on.retain(|&failed| failed != ix);
        }
    }

    /// Merges one page of the cloud's machine list: adds and updates the machines on it. Lists lag
    /// and may go back in time, so the absence of a machine proves nothing.
    pub fn merge_machine_list(&mut self, now: Millis, page: &MachineList) {
        for listed in &page.machines {
            if !self.workers.was_recently_deleted(&listed.id) {
                self.merge_listed_machine(now, listed);
            }
        }
        if !page.more {
            self.workers.finish_cloud_list();
        }
    }

    /// Adds or updates a machine from its entry in the cloud's list, which shows that it exists.
    fn merge_listed_machine(&mut self, now: Millis, listed: &ListedMachine) {
        let ix = match self.workers.machines.find(&listed.id) {
            Some(ix) => ix,
            None => self.add_machine(now, &listed.id, &listed.machine_type, &listed.zone, listed.spot),
        };
        self.add_to_inventory(ix);
        let group_to_rewrite = self.workers.note_listed(now, ix, listed);
        self.fleet.inventory.address_changed(group_to_rewrite);
    }
}
