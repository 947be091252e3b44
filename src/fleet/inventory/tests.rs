use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn every_machine_is_in_one_group_within_its_capacity(
        ops in proptest::collection::vec((any::<bool>(), 0u32..40), 0..300)
    ) {
        let mut inventory = Inventory::new(1.0);
        let mut placed = std::collections::BTreeMap::new();
        for (add, machine) in ops {
            let machine = MachineIx(machine);
            match placed.get(&machine) {
                None if add => {
                    placed.insert(machine, inventory.add(3, machine));
                }
                Some(&group) if !add => {
                    inventory.remove(group, machine);
                    placed.remove(&machine);
                }
                _ => {}
            }
            for (ix, group) in inventory.groups.iter() {
                prop_assert!(group.members.len() <= 5);
                for member in &group.members {
                    prop_assert_eq!(placed.get(member), Some(&ix));
                }
            }
            let members: usize = inventory.groups.iter().map(|(_, group)| group.members.len()).sum();
            prop_assert_eq!(members, placed.len());
        }
    }
}

#[test]
fn a_group_is_due_until_its_write_starts_and_again_when_it_fails() {
    let mut inventory = Inventory::new(1.0);
    let group = inventory.add(3, MachineIx(0));
    assert!(inventory.has_urgent());
    assert_eq!(inventory.due(DueGroups::Urgent), [group].into());
    inventory.write_started(group);
    assert!(inventory.due(DueGroups::All).is_empty());
    inventory.retry_writes([group]);
    assert_eq!(inventory.due(DueGroups::Urgent), [group].into());
    inventory.write_started(group);
    inventory.confirm_write(group, 7);
    assert_eq!(inventory.groups.get(group).expect("there").version, 7);
    // Nothing waits for an address.
    inventory.address_changed(Some(group));
    assert!(!inventory.has_urgent());
    assert_eq!(inventory.due(DueGroups::All), [group].into());
}

#[test]
fn a_group_whose_key_is_deleted_goes_unless_machines_joined_it() {
    let mut inventory = Inventory::new(1.0);
    let group = inventory.add_stored_group("2-0", 5);
    inventory.add_member(group, MachineIx(0));
    inventory.confirm_deletion(group);
    assert_eq!(inventory.groups.get(group).expect("there").version, 0);
    inventory.remove(group, MachineIx(0));
    inventory.confirm_deletion(group);
    assert!(inventory.groups.get(group).is_none());
}
