//! The stored list of machines, from which a new leader takes over. Many machines share a
//! key, since a fleet is scaled out far faster than single keys may be written.

use crate::ids::{GroupIx, MachineIx, Table};
use crate::wire::MAX_ADDRESS_BYTES;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeSet;

/// The share of the size limit of a stored value that a group is planned to fill. The rest is
/// a margin for names that are written with escapes.
const VALUE_FILL_SHARE: f64 = 0.8;
/// Bytes that a member takes of its group's value in addition to its names and its address.
const MEMBER_OVERHEAD_BYTES: usize = 24;
/// The most members of a group, however large a stored value may be.
const MAX_MEMBERS: usize = 64;

/// A machine as stored under the key of its group.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "StoredMember")]
pub struct InventoryMember {
    /// Name of the machine.
    pub name: String,
    /// Name of the machine's type in the cloud's catalogue.
    pub machine_type: String,
    /// Name of the zone that the machine is in.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Network address of the machine's worker. `None` until it is known.
    pub address: Option<String>,
}

/// Returns the bytes that a member with these names takes of its group's value. The address,
/// which may become known or change later, counts with its greatest length.
pub fn member_bytes(name: &str, machine_type: &str, zone: &str) -> usize {
    MEMBER_OVERHEAD_BYTES + name.len() + machine_type.len() + zone.len() + MAX_ADDRESS_BYTES
}

/// The stored form of a member. It is an array because a fleet has thousands of members, and
/// field names would make up most of each value.
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
    // Serializes by reference: `#[serde(into)]` would clone every member that is written.
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

/// The value stored under a group's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupValue {
    /// The machines of the group.
    pub machines: Vec<InventoryMember>,
}

/// A group of machines that are stored under one key.
#[derive(Debug, Default)]
pub struct Group {
    /// Name of the group, which is the last part of its key.
    pub name: String,
    /// Version of the group's key, or 0 if the key does not exist.
    pub version: u64,
    /// The machines that belong to the group, including those not yet stored under its key.
    pub members: BTreeSet<MachineIx>,
    /// Bytes that the members take that were added by this leader.
    bytes: usize,
}

/// Selects the groups to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueGroups {
    /// Groups with machines that can't be used until they are written.
    Urgent,
    /// All groups whose stored value is out of date, including those that nothing waits for.
    All,
}

/// The machines of the shard by group, and the groups whose stored values are out of date.
#[derive(Debug, Default)]
pub struct Inventory {
    /// All groups that have members or a key.
    groups: Table<GroupIx, Group>,
    /// Groups with machines that can't be used until they are written.
    urgent: BTreeSet<GroupIx>,
    /// Groups whose stored value only names a deleted machine or lacks an address. Nothing
    /// waits for these to be written.
    deferred: BTreeSet<GroupIx>,
    /// The most bytes that the members of a group take, so that its stored value stays within the
    /// size limit.
    max_bytes: usize,
    /// The group that new machines are added to.
    open_group: Option<GroupIx>,
    next_group_number: u32,
}

impl Inventory {
    /// Creates an empty inventory whose stored values stay below `value_kb` KiB.
    pub fn new(value_kb: f64) -> Inventory {
        Inventory {
            max_bytes: (value_kb * 1024.0 * VALUE_FILL_SHARE) as usize,
            ..Inventory::default()
        }
    }

    /// Returns a group that has members or a key.
    pub fn group(&self, ix: GroupIx) -> Option<&Group> {
        self.groups.get(ix)
    }

    /// Adds a machine to a group with space for it, which is created if there is none. The machine
    /// takes this many [`member_bytes`]. The name of a new group contains the leader's `term` and
    /// so is unique.
    pub fn add(&mut self, term: u64, machine: MachineIx, bytes: usize) -> GroupIx {
        let with_room = self.open_group.filter(|&ix| {
            let group = self.groups.get(ix);
            group.is_some_and(|group| group.members.len() < MAX_MEMBERS && group.bytes + bytes <= self.max_bytes)
        });
        let ix = with_room.unwrap_or_else(|| {
            let name = format!("{term}-{}", self.next_group_number);
            self.next_group_number += 1;
            self.add_stored_group(&name, 0)
        });
        self.open_group = Some(ix);
        self.add_member(ix, machine);
        if let Some(group) = self.groups.get_mut(ix) {
            group.bytes += bytes;
        }
        self.urgent.insert(ix);
        ix
    }

    /// Adds a group without members. `version` is that of its stored key, or 0 if there is none.
    pub fn add_stored_group(&mut self, name: &str, version: u64) -> GroupIx {
        let group = Group {
            name: name.into(),
            version,
            members: BTreeSet::new(),
            bytes: 0,
        };
        self.groups.insert(name, group)
    }

    /// Adds a machine to a group, without scheduling a write of the group.
    pub fn add_member(&mut self, group: GroupIx, machine: MachineIx) {
        if let Some(group) = self.groups.get_mut(group) {
            group.members.insert(machine);
        }
    }

    /// Removes a deleted machine, which took this many [`member_bytes`]. Its group is to be written
    /// again, which is not urgent.
    pub fn remove(&mut self, group_ix: GroupIx, machine: MachineIx, bytes: usize) {
        if let Some(group) = self.groups.get_mut(group_ix) {
            group.members.remove(&machine);
            group.bytes = group.bytes.saturating_sub(bytes);
            self.deferred.insert(group_ix);
        }
    }

    /// Records that the address of a machine in this group became known or changed.
    pub fn address_changed(&mut self, group: Option<GroupIx>) {
        self.deferred.extend(group);
    }

    /// Whether there are machines that can't be used until their group is written.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Returns the groups that are to be written.
    pub fn due(&self, which: DueGroups) -> BTreeSet<GroupIx> {
        let mut due = self.urgent.clone();
        if which == DueGroups::All {
            due.extend(&self.deferred);
        }
        due
    }

    /// Records that the group's current value is being written to the state service.
    pub fn write_started(&mut self, ix: GroupIx) {
        self.urgent.remove(&ix);
        self.deferred.remove(&ix);
    }

    /// Schedules another write of groups whose writes were definitely not applied.
    pub fn retry_writes(&mut self, groups: impl IntoIterator<Item = GroupIx>) {
        self.urgent.extend(groups);
    }

    /// Records that a group's key was written and now has this version.
    pub fn confirm_write(&mut self, ix: GroupIx, version: u64) {
        if let Some(group) = self.groups.get_mut(ix) {
            group.version = version;
        }
    }

    /// Records that a group's key was deleted. The group is removed unless machines were added
    /// to it in the meantime.
    pub fn confirm_deletion(&mut self, ix: GroupIx) {
        match self.groups.get_mut(ix) {
            Some(group) if !group.members.is_empty() => group.version = 0,
            _ => self.remove_group(ix),
        }
    }

    /// Removes a group that has neither members nor a key.
    pub fn remove_group(&mut self, ix: GroupIx) {
        if let Some(name) = self.groups.get(ix).map(|group| group.name.clone()) {
            self.groups.remove(&name);
        }
        if self.open_group == Some(ix) {
            self.open_group = None;
        }
    }
}

#[cfg(test)]
mod tests;
