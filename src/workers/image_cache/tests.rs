use super::*;
use crate::ids::{TypeIx, ZoneIx};
use crate::resources::Offer;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_cache_stays_within_its_size_and_keeps_the_image_used_last(
        touches in proptest::collection::vec((0u32..8, 1.0f64..30.0), 1..50)
    ) {
        let offer = Offer {
            type_ix: TypeIx(0),
            zone: ZoneIx(0),
            spot: false,
        };
        let mut machine = Machine::new("m", offer, 0);
        for (image, gb) in touches {
            let image = ImageIx(image);
            machine.touch_image(image, gb, 40.0);
            prop_assert!(machine.holds_image(image));
            let total_gb: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
            prop_assert!(total_gb <= 40.0 || machine.images.len() == 1);
        }
    }
}
