use super::*;
use proptest::prelude::*;

proptest! {
    /// Guards against tasks that are lost or added when a set is stored chunk by chunk and
    /// loaded again.
    #[test]
    fn formatted_ranges_restore_the_same_set(limit in 1u32..700, tasks in proptest::collection::vec(0u32..700, 0..400), chunk in 8u32..300) {
        let mut set = TaskSet::new(limit);
        for task in tasks {
            set.insert(task);
        }
        let mut restored = TaskSet::new(limit);
        for start in (0..limit).step_by(chunk as usize) {
            restored.insert_ranges(start, &set.format_ranges(start..(start + chunk).min(limit)));
        }
        prop_assert_eq!(set, restored);
    }
}
