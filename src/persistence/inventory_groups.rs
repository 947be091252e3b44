//! Groups of the inventory: the machines that a successor must know of.

use super::WriteContext;
use super::next_transaction::Draft;
use crate::fleet::{DueGroups, Group, GroupValue, InventoryMember};
use crate::ids::{GroupIx, MachineIx};
use crate::topology::Topology;
use crate::wire::Change;
use crate::workers::{Machine, Workers};
use serde_json::json;
use std::collections::BTreeSet;

const GROUP_BYTES: usize = 100;
const MEMBER_BYTES: usize = 120;

/// A group in the transaction in flight.
#[derive(Debug)]
pub(super) struct WrittenGroup {
    group: GroupIx,
    /// The machines that its value names, by name: an index may be another machine's by
    /// the time of the answer. None if its key is removed.
    machines: Vec<String>,
}

/// Groups with machines that can't be used until they are written.
pub(super) fn add_urgent_groups(context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
    let due = context.inventory.due(DueGroups::Urgent);
    add_groups(due, context, draft);
}

/// All groups whose keys do not say what they should.
pub(super) fn add_all_groups(context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
    let due = context.inventory.due(DueGroups::All);
    add_groups(due, context, draft);
}

fn add_groups(due: BTreeSet<GroupIx>, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
    for ix in due {
        let Some(group) = context.inventory.group(ix) else {
            context.inventory.write_started(ix);
            continue;
        };
        let bytes = GROUP_BYTES + group.members.len() * MEMBER_BYTES;
        if !draft.builder.has_space(1, bytes) {
            return;
        }
        if group.members.is_empty() && group.version == 0 {
            context.inventory.remove_group(ix);
        } else {
            let written = add_group(ix, group, bytes, context, draft);
            draft.content.groups.push(written);
        }
        context.inventory.write_started(ix);
    }
}

fn add_group(
    ix: GroupIx,
    group: &Group,
    bytes: usize,
    context: &WriteContext<'_>,
    draft: &mut Draft<'_>,
) -> WrittenGroup {
    let key = draft.keys.inventory(&group.name);
    let machines: Vec<&Machine> = machines_of(group, context.workers).collect();
    if machines.is_empty() {
        draft.builder.delete(key, group.version);
    } else {
        draft.builder.require(key.clone(), group.version);
        let members = machines.iter().map(|machine| member(machine, context.topology));
        let value = GroupValue {
            machines: members.collect(),
        };
        draft.builder.change(Change::put(key, json!(value)), bytes);
    }
    WrittenGroup {
        group: ix,
        machines: machines.iter().map(|machine| machine.name.clone()).collect(),
    }
}

fn machines_of<'a>(group: &'a Group, workers: &'a Workers) -> impl Iterator<Item = &'a Machine> {
    group.members.iter().filter_map(|&ix| workers.machines.get(ix))
}

fn member(machine: &Machine, topology: &Topology) -> InventoryMember {
    InventoryMember {
        name: machine.name.clone(),
        machine_type: topology.types.name(machine.type_ix).to_owned(),
        zone: topology.zones.name(machine.zone).to_owned(),
        spot: machine.spot,
        address: machine.address.clone(),
    }
}

/// The keys of these groups say what was written.
pub(super) fn groups_committed(groups: Vec<WrittenGroup>, context: &mut WriteContext<'_>, revision: u64) {
    for WrittenGroup { group: ix, machines } in groups {
        if machines.is_empty() {
            context.inventory.confirm_deletion(ix);
            continue;
        }
        context.inventory.confirm_write(ix, revision);
        for name in machines {
            mark_written(&name, context.workers);
        }
    }
}

fn mark_written(name: &str, workers: &mut Workers) {
    let ix: Option<MachineIx> = workers.machines.find(name);
    if let Some(machine) = ix.and_then(|ix| workers.machines.get_mut(ix)) {
        machine.written = true;
    }
}

/// The keys of these groups are as they were.
pub(super) fn groups_not_applied(groups: &[WrittenGroup], context: &mut WriteContext<'_>) {
    context
        .inventory
        .retry_writes(groups.iter().map(|written| written.group));
}
