#![allow(clippy::field_reassign_with_default)]

use super::*;

fn claimed(sent: Millis) -> (Ownership, Keys, Mirror) {
    let keys = Keys::new("pool");
    let mut mirror = Mirror::default();
    mirror.complete = true;
    let mut ownership = Ownership::new("a", 1);
    assert_eq!(ownership.poll(sent, &mirror, true), Some(Wish::Grant));
    ownership.granted(9, sent, &keys, &mirror);
    ownership.claimed(5);
    ownership.phase = Phase::Active;
    (ownership, keys, mirror)
}

#[test]
fn validity_counts_from_when_the_renewal_was_sent() {
    let (mut ownership, _, mirror) = claimed(1_000);
    assert!(ownership.acting(1_000 + LEASE_MS - MARGIN_MS - 1));
    assert!(!ownership.acting(1_000 + LEASE_MS - MARGIN_MS));
    ownership.renewed(2_000);
    assert!(ownership.acting(2_000 + LEASE_MS - MARGIN_MS - 1));
    // Guards against acting again on a renewal alone: after a lapse another
    // controller may have claimed and lost the share in between.
    let lapsed = 2_000 + LEASE_MS;
    ownership.poll(lapsed, &mirror, true);
    ownership.renewed(lapsed);
    assert!(!ownership.acting(lapsed + 1));
    ownership.resume(lapsed + 1);
    assert!(ownership.acting(lapsed + 1));
}

#[test]
fn a_controller_that_hears_nobody_lets_others_claim_first() {
    let mut mirror = Mirror::default();
    mirror.complete = true;
    let mut ownership = Ownership::new("a", 1);
    assert_eq!(ownership.poll(0, &mirror, false), None);
    assert_eq!(ownership.poll(ALONE_DELAY_MS, &mirror, false), Some(Wish::Grant));
}

#[test]
fn every_claim_raises_the_term_and_depends_on_it() {
    let (mut ownership, keys, mirror) = claimed(0);
    let first = ownership.term;
    let transaction = ownership.reclaim(&keys, &mirror);
    assert!(ownership.term > first);
    assert!(transaction.conditions.iter().any(|c| c.key == keys.term()));
    assert!(
        transaction
            .conditions
            .iter()
            .any(|c| c.key == keys.owner() && c.version == 5)
    );
}
