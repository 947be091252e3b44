//! Writing the groups of the inventory, from which the next leader learns of the machines.

use super::content::WrittenGroup;
use super::draft::Draft;
use super::transaction_builder::ChangeSet;
use super::{QueuedWrite, WriteContext};
use crate::fleet::{DueGroups, Group, GroupValue, InventoryMember};
use crate::ids::{GroupIx, MachineIx};
use crate::topology::Topology;
use crate::workers::{Machine, Workers};
use serde_json::json;
use std::collections::BTreeSet;

/// Adds the groups with machines that cannot be used until they are written.
pub(super) fn add_urgent_groups(context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
    let due = context.inventory.due(DueGroups::Urgent);
    add_groups(due, context, draft);
}

/// Adds all groups whose stored values are out of date.
pub(super) fn add_all_groups(context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
    let due = context.inventory.due(DueGroups::All);
    add_groups(due, context, draft);
}

/// Adds these groups while the transaction has space.
fn add_groups(due: BTreeSet<GroupIx>, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
    for ix in due {
        let Some(group) = context.inventory.group(ix) else {
            context.inventory.write_started(ix);
            continue;
        };
        if !draft.admits(&QueuedWrite::Group(ix)) {
            continue;
        }
        if group.members.is_empty() && group.version == 0 {
            context.inventory.remove_group(ix);
        } else {
            if !draft.builder.has_space(1) {
                return;
            }
            let Some(written) = add_group(ix, group, context, draft) else {
                return;
            };
            draft.content.groups.push(written);
        }
        context.inventory.write_started(ix);
    }
}

/// Adds the change that writes a group, or removes its key if it has no machines. Returns `None`
/// if there is no space for it.
fn add_group(ix: GroupIx, group: &Group, context: &WriteContext<'_>, draft: &mut Draft<'_>) -> Option<WrittenGroup> {
    let key = draft.keys.machine_group(&group.name);
    let machines: Vec<&Machine> = group_machines(group, context.workers).collect();
    let mut set = ChangeSet::default();
    if machines.is_empty() {
        set.delete(key, group.version);
    } else {
        set.require(key.clone(), group.version);
        let members = machines
            .iter()
            .map(|machine| inventory_member(machine, context.topology));
        let value = GroupValue {
            machines: members.collect(),
        };
        set.put(key, json!(value));
    }
    draft.builder.try_add(set).then(|| WrittenGroup {
        group: ix,
        machines: machines.iter().map(|machine| machine.name.clone()).collect(),
    })
}

/// Iterates over the machines of a group.
fn group_machines<'a>(group: &'a Group, workers: &'a Workers) -> impl Iterator<Item = &'a Machine> {
    group.members.iter().filter_map(|&ix| workers.machines.get(ix))
}

/// Returns the stored form of a machine.
fn inventory_member(machine: &Machine, topology: &Topology) -> InventoryMember {
    InventoryMember {
        name: machine.name.clone(),
        machine_type: topology.types.name(machine.type_ix).to_owned(),
        zone: topology.zones.name(machine.zone).to_owned(),
        spot: machine.spot,
        address: machine.address.clone(),
    }
}

/// Records that the values of these groups were written at `revision`.
pub(super) fn groups_committed(groups: Vec<WrittenGroup>, context: &mut WriteContext<'_>, revision: u64) {
    for WrittenGroup { group: ix, machines } in groups {
        if machines.is_empty() {
            context.inventory.confirm_deletion(ix);
            continue;
        }
        context.inventory.confirm_write(ix, revision);
        for name in machines {
            mark_persisted(&name, context.workers);
        }
    }
}

/// Records that the stored inventory names this machine, if it still exists.
fn mark_persisted(name: &str, workers: &mut Workers) {
    let ix: Option<MachineIx> = workers.machines.find(name);
    if let Some(machine) = ix.and_then(|ix| workers.machines.get_mut(ix)) {
        machine.is_persisted = true;
    }
}

/// Queues these groups again, since their values were not written.
pub(super) fn groups_not_applied(groups: &[WrittenGroup], context: &mut WriteContext<'_>) {
    context
        .inventory
        .retry_writes(groups.iter().map(|written| written.group));
}
