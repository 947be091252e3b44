use super::*;
use crate::ids::{TypeIx, ZoneIx};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_cache_stays_within_its_size_and_keeps_the_latest(
        touches in proptest::collection::vec((0u32..8, 1.0f64..30.0), 1..50)
    ) {
        let mut machine = Machine::new("m", TypeIx(0), ZoneIx(0), false, 0);
        for (image, gb) in touches {
            let image = ImageIx(image);
            machine.touch(image, gb, 40.0);
            prop_assert!(machine.holds(image));
            let total: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
            prop_assert!(total <= 40.0 || machine.images.len() == 1);
        }
    }
}
