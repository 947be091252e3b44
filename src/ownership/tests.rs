#![allow(clippy::field_reassign_with_default)]

use super::*;

const AGE_MS: Millis = 5_000;

fn claimed(sent: Millis) -> (Ownership, Keys, Mirror) {
    let keys = Keys::new("pool");
    let mut mirror = Mirror::default();
    mirror.complete = true;
    let mut ownership = Ownership::new("a", 1, AGE_MS);
    ownership.mirror_read(sent + LEASE_MS);
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
    ownership.renewed(2_000, 2_000);
    assert!(ownership.acting(2_000 + LEASE_MS - MARGIN_MS - 1));
    // Guards against acting again on a renewal alone: after a lapse another
    // controller may have claimed and lost the share in between.
    let lapsed = 2_000 + LEASE_MS;
    ownership.poll(lapsed, &mirror, true);
    ownership.renewed(lapsed + 1, lapsed);
    assert!(!ownership.acting(lapsed + 1));
    // Nor is a read from before the renewal enough, or an old mirror.
    assert!(!ownership.may_resume(lapsed + 1, lapsed));
    ownership.mirror_read(lapsed + 1);
    assert!(ownership.may_resume(lapsed + 2, lapsed + 1));
    ownership.resume();
    assert!(ownership.acting(lapsed + 2));
}

/// Guards against an owner that renews and answers workers while it hears of no
/// cancellation: it held their leases, and the cancelled tasks, for as long as
/// its reads were lost.
#[test]
fn an_owner_with_an_old_mirror_neither_acts_nor_renews() {
    let (mut ownership, _, mirror) = claimed(0);
    let old = LEASE_MS + AGE_MS;
    ownership.renewed(old - 1, old - 1);
    assert!(ownership.acting(old - 1));
    assert!(!ownership.acting(old));
    assert_eq!(ownership.poll(old, &mirror, true), None);
    ownership.mirror_read(old);
    assert_eq!(ownership.poll(old + 1, &mirror, true), Some(Wish::Renew(9)));
    assert!(!ownership.acting(old + 1));
}

#[test]
fn a_controller_that_hears_nobody_lets_others_claim_first() {
    let mut mirror = Mirror::default();
    mirror.complete = true;
    let mut ownership = Ownership::new("a", 1, AGE_MS);
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
