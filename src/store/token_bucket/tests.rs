use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn spending_never_exceeds_the_rate_and_one_burst(
        rate in 1.0f64..500.0, gaps in proptest::collection::vec(0u64..50, 1..300)
    ) {
        let mut bucket = TokenBucket::new(rate);
        let (mut now, mut spent) = (0, 0.0);
        for gap in gaps {
            now += gap;
            while bucket.ready(now) {
                bucket.spend(1.0);
                spent += 1.0;
            }
            prop_assert!(spent <= rate / 2.0 + rate * now as f64 / 1000.0 + 2.0);
        }
    }
}
