//! What a successor must know of the machines: many to a key, since a fleet is
//! rented far faster than single keys may be written.

use crate::ids::{GroupIx, MachineIx, Table};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeSet;

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
    pub name: String,
    /// Version of its key; 0 while there is none.
    pub version: u64,
    pub members: BTreeSet<MachineIx>,
}

#[derive(Debug, Default)]
pub struct Inventory {
    pub groups: Table<GroupIx, Group>,
    /// Members a key holds at most.
    capacity: usize,
    filling: Option<GroupIx>,
    next: u32,
    /// Groups with machines that can't be used until they are written.
    pub urgent: BTreeSet<GroupIx>,
    /// Groups whose key only says too much, or lacks an address.
    pub late: BTreeSet<GroupIx>,
}

impl Inventory {
    pub fn new(value_kb: f64) -> Inventory {
        Inventory {
            // Well within a value, however long the names are in practice.
            capacity: ((value_kb * 1024.0 * 0.8 / 160.0) as usize).clamp(1, 64),
            ..Inventory::default()
        }
    }

    /// Puts a machine into a group that has room, under `term`'s own names.
    pub fn add(&mut self, term: u64, machine: MachineIx) -> GroupIx {
        let roomy = self.filling.filter(|&ix| {
            let group = self.groups.get(ix);
            group.is_some_and(|group| group.members.len() < self.capacity)
        });
        let ix = roomy.unwrap_or_else(|| {
            let name = format!("{term}-{}", self.next);
            self.next += 1;
            self.load(&name, 0)
        });
        self.filling = Some(ix);
        if let Some(group) = self.groups.get_mut(ix) {
            group.members.insert(machine);
        }
        self.urgent.insert(ix);
        ix
    }

    /// A group as its key has it, still without members.
    pub fn load(&mut self, name: &str, version: u64) -> GroupIx {
        let group = Group {
            name: name.into(),
            version,
            members: BTreeSet::new(),
        };
        self.groups.insert(name, group)
    }

    pub fn remove(&mut self, group: GroupIx, machine: MachineIx) {
        if let Some(members) = self.groups.get_mut(group).map(|group| &mut group.members) {
            members.remove(&machine);
            self.late.insert(group);
        }
    }

    /// Its key is gone: nothing is left of the group.
    pub fn forget(&mut self, ix: GroupIx) {
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
