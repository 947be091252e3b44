use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn every_machine_belongs_to_one_group_within_the_size_limit(
        ops in proptest::collection::vec((any::<bool>(), 0u32..40), 0..300)
    ) {
        let mut inventory = Inventory::new(1.0);
        let mut placed = std::collections::BTreeMap::new();
        for (add, machine) in ops {
            let machine = MachineIx(machine);
            match placed.get(&machine) {
                None if add => {
                    placed.insert(machine, inventory.add(3, machine, 160));
                }
                Some(&group) if !add => {
                    inventory.remove(group, machine, 160);
                    placed.remove(&machine);
                }
                _ => {}
            }
            for (ix, group) in inventory.groups.iter() {
                // A value of 1 KiB has space for 5 members.
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
fn group_is_due_until_its_write_starts_and_again_after_a_failed_write() {
    let mut inventory = Inventory::new(1.0);
    let group = inventory.add(3, MachineIx(0), 160);
    assert!(inventory.has_urgent());
    assert_eq!(inventory.due(DueGroups::Urgent), [group].into());
    inventory.write_started(group);
    assert!(inventory.due(DueGroups::All).is_empty());
    inventory.retry_writes([group]);
    assert_eq!(inventory.due(DueGroups::Urgent), [group].into());
    inventory.write_started(group);
    inventory.confirm_write(group, 7);
    assert_eq!(inventory.groups.get(group).expect("known group").version, 7);
    // A changed address is written, but not urgently.
    inventory.address_changed(Some(group));
    assert!(!inventory.has_urgent());
    assert_eq!(inventory.due(DueGroups::All), [group].into());
}

#[test]
fn group_is_removed_with_its_key_unless_machines_were_added() {
    let mut inventory = Inventory::new(1.0);
    let group = inventory.add_stored_group("2-0", 5);
    inventory.add_member(group, MachineIx(0));
    inventory.confirm_deletion(group);
    assert_eq!(inventory.groups.get(group).expect("known group").version, 0);
    inventory.remove(group, MachineIx(0), 160);
    inventory.confirm_deletion(group);
    assert!(inventory.groups.get(group).is_none());
}

/// Guards against a group whose value the state service rejects because the names in it are long.
#[test]
fn the_value_of_a_full_group_stays_within_the_size_limit_with_names_of_any_length() {
    for name_length in [4, 40, 400] {
        let mut inventory = Inventory::new(16.0);
        let name = |machine: u32| format!("{machine:0name_length$}");
        let bytes = member_bytes(&name(0), "yard-hauler", "watkinsville-office");
        let first = inventory.add(3, MachineIx(0), bytes);
        let mut members = 1;
        while inventory.add(3, MachineIx(members), bytes) == first {
            members += 1;
        }
        let machines = (0..members).map(|machine| InventoryMember {
            name: name(machine),
            machine_type: "yard-hauler".into(),
            zone: "watkinsville-office".into(),
            spot: false,
            address: Some("9".repeat(MAX_ADDRESS_BYTES)),
        });
        let value = GroupValue {
            machines: machines.collect(),
        };
        let stored = serde_json::to_string(&value).expect("a value").len();
        assert!(
            stored <= 16 * 1024,
            "{members} members with names of {name_length}: {stored} bytes"
        );
        assert!(members > 20);
    }
}
