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
