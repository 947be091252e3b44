//! What a successor must know of the machines: many to a key, since a fleet is
//! scaled out far faster than single keys may be written.

use crate::ids::{GroupIx, MachineIx, Table};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeSet;

/// Values are kept well within the limit, however long the names are in practice.
const VALUE_SHARE: f64 = 0.8;
/// What a member takes of its group's value.
const MEMBER_BYTES: f64 = 160.0;
const MAX_MEMBERS: usize = 64;

/// A machine as the key of its group names it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "StoredMember")]
pub struct InventoryMember {
    /// Name of the machine.
    pub name: String,
    /// Name of its type in the cloud's catalogue.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where its worker is reached, once that is known.
    pub address: Option<String>,
}

/// The stored form of a member, an array: a fleet has thousands of them, and the names of
/// the fields would make up most of each value.
type StoredMember = (String, String, String, bool, Option<String>);

impl From<StoredMember> for InventoryMember {
    fn from((name, machine_type, zone, spot, address): StoredMember) -> InventoryMember {
        InventoryMember {
            name,
            machine_type,
            zone,
            spot,
            address,
        }
    }
}

impl Serialize for InventoryMember {
    // By reference: `#[serde(into)]` would clone every member that is written.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let InventoryMember {
            name,
            machine_type,
            zone,
            spot,
            address,
        } = self;
        (name, machine_type, zone, spot, address).serialize(serializer)
    }
}

/// The value of a group's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupValue {
    /// The machines of the group.
    pub machines: Vec<InventoryMember>,
}

/// Machines written under one key.
#[derive(Debug, Default)]
pub struct Group {
    /// The last part of its key.
    pub name: String,
    /// Version of its key; 0 while there is none.
    pub version: u64,
    /// The machines that belong to it, whether its key names them yet or not.
    pub members: BTreeSet<MachineIx>,
}

/// Which groups are to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueGroups {
    /// Those with machines that can't be used until they are written.
    Urgent,
    /// Those that nothing waits for as well.
    All,
}

/// The machines of the shard by group, and the groups whose keys are behind.
#[derive(Debug, Default)]
pub struct Inventory {
    /// All groups that have members or a key.
    groups: Table<GroupIx, Group>,
    /// Groups with machines that can't be used until they are written.
    urgent: BTreeSet<GroupIx>,
    /// Groups whose key only says too much, or lacks an address.
    late: BTreeSet<GroupIx>,
    /// Members a key holds at most.
    capacity: usize,
    /// The group that new machines are put into.
    filling: Option<GroupIx>,
    next: u32,
}

impl Inventory {
    /// An empty inventory, whose values stay below `value_kb`.
    pub fn new(value_kb: f64) -> Inventory {
        let bytes = value_kb * 1024.0 * VALUE_SHARE;
        Inventory {
            capacity: ((bytes / MEMBER_BYTES) as usize).clamp(1, MAX_MEMBERS),
            ..Inventory::default()
        }
    }

    /// A group that has members or a key.
    pub fn group(&self, ix: GroupIx) -> Option<&Group> {
        self.groups.get(ix)
    }

    /// Puts a machine into a group that has room, under `term`'s own names.
    pub fn add(&mut self, term: u64, machine: MachineIx) -> GroupIx {
        let with_room = self.filling.filter(|&ix| {
            let group = self.groups.get(ix);
            group.is_some_and(|group| group.members.len() < self.capacity)
        });
        let ix = with_room.unwrap_or_else(|| {
            let name = format!("{term}-{}", self.next);
            self.next += 1;
            self.add_stored_group(&name, 0)
        });
        self.filling = Some(ix);
        self.add_member(ix, machine);
        self.urgent.insert(ix);
        ix
    }

    /// A group as its key has it, still without members.
    pub fn add_stored_group(&mut self, name: &str, version: u64) -> GroupIx {
        let group = Group {
            name: name.into(),
            version,
            members: BTreeSet::new(),
        };
        self.groups.insert(name, group)
    }

    /// Adds a machine to a group whose key names it.
    pub fn add_member(&mut self, group: GroupIx, machine: MachineIx) {
        if let Some(group) = self.groups.get_mut(group) {
            group.members.insert(machine);
        }
    }

    /// The machine is deleted: its group's key says too much.
    pub fn remove(&mut self, group: GroupIx, machine: MachineIx) {
        if let Some(members) = self.groups.get_mut(group).map(|group| &mut group.members) {
            members.remove(&machine);
            self.late.insert(group);
        }
    }

    /// The address of a machine became known or changed.
    pub fn address_changed(&mut self, group: Option<GroupIx>) {
        self.late.extend(group);
    }

    /// Whether machines wait for their group to be written.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// The groups that are to be written.
    pub fn due(&self, which: DueGroups) -> BTreeSet<GroupIx> {
        let mut due = self.urgent.clone();
        if which == DueGroups::All {
            due.extend(&self.late);
        }
        due
    }

    /// A group's value, as it is now, is on its way to the state service.
    pub fn write_started(&mut self, ix: GroupIx) {
        self.urgent.remove(&ix);
        self.late.remove(&ix);
    }

    /// Groups whose writes were surely not applied.
    pub fn retry_writes(&mut self, groups: impl IntoIterator<Item = GroupIx>) {
        self.urgent.extend(groups);
    }

    /// A group's key was written at this version.
    pub fn confirm_write(&mut self, ix: GroupIx, version: u64) {
        if let Some(group) = self.groups.get_mut(ix) {
            group.version = version;
        }
    }

    /// A group's key was deleted. Machines may have joined it meanwhile.
    pub fn confirm_deletion(&mut self, ix: GroupIx) {
        match self.groups.get_mut(ix) {
            Some(group) if !group.members.is_empty() => group.version = 0,
            _ => self.remove_group(ix),
        }
    }

    /// Its key is gone: nothing is left of the group.
    pub fn remove_group(&mut self, ix: GroupIx) {
        if let Some(name) = self.groups.get(ix).map(|group| group.name.clone()) {
            self.groups.remove(&name);
        }
        if self.filling == Some(ix) {
            self.filling = None;
        }
    }
}

#[cfg(test)]
mod tests;
