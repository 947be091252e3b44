use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn text_brings_back_the_same_set(limit in 1u32..700, tasks in proptest::collection::vec(0u32..700, 0..400), chunk in 8u32..300) {
        let mut set = TaskSet::new(limit);
        for task in tasks {
            set.insert(task);
        }
        let mut back = TaskSet::new(limit);
        for start in (0..limit).step_by(chunk as usize) {
            back.insert_ranges(start, &set.format_ranges(start..(start + chunk).min(limit)));
        }
        prop_assert_eq!(set, back);
    }
}
