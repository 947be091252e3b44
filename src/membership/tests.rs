use super::*;
use crate::wire::{Entry, Page};

const NODE: &str = "stall-0";
const START: Millis = 1_000_000;

fn keys() -> Keys {
    Keys::new("pool")
}

/// Returns a completely read watch cache with this version of the member key, if any.
fn watch_cache(revision: u64, member_version: Option<u64>) -> WatchCache {
    let items = member_version.map(|version| Entry {
        key: keys().member(NODE),
        value: json!({"life": 7}),
        version,
    });
    let page = Page {
        items: items.into_iter().collect(),
        more: false,
        revision,
    };
    let mut watch_cache = WatchCache::default();
    let read = watch_cache.begin_full_read();
    watch_cache.apply_page(&keys(), read, page);
    watch_cache
}

/// Returns the transaction with which a controller registers that requested its lease at `START`.
fn registration(membership: &mut Membership, watch_cache: &WatchCache) -> Transaction {
    assert_eq!(membership.poll(START, watch_cache), Some(MembershipRequest::Grant));
    let granted = StoreReply::Granted { lease: 3 };
    match membership.on_granted(START + 10, &keys(), watch_cache, &granted) {
        Some(MembershipRequest::Register(transaction)) => transaction,
        other => panic!("{other:?}"),
    }
}

/// Returns a controller that is a member as of revision 20.
fn member() -> Membership {
    let mut membership = Membership::new(NODE, 7);
    registration(&mut membership, &watch_cache(10, None));
    membership.on_registered(START + 20, &StoreReply::Committed { revision: 20 });
    membership
}

#[test]
fn a_member_counts_its_lease_from_the_sending_of_the_request() {
    let membership = member();
    assert_eq!(membership.member_since(START + 20), Some(START + 20));
    let last_valid = START + LEASE_MS - SAFETY_MARGIN_MS - 1;
    assert_eq!(membership.member_since(last_valid), Some(START + 20));
    assert_eq!(membership.member_since(last_valid + 1), None);
}

#[test]
fn a_renewal_extends_the_membership_from_its_sending() {
    let mut membership = member();
    let now = START + RENEW_INTERVAL_MS;
    assert_eq!(membership.poll(now - 1, &watch_cache(20, Some(20))), None);
    let renewal = membership.poll(now, &watch_cache(20, Some(20)));
    assert_eq!(renewal, Some(MembershipRequest::Renew(3)));
    membership.on_renewed(now + 400, 3, now, &StoreReply::Renewed);
    let last_valid = now + LEASE_MS - SAFETY_MARGIN_MS - 1;
    assert_eq!(membership.member_since(last_valid), Some(START + 20));
    assert_eq!(membership.member_since(last_valid + 1), None);
}

/// One lost renewal must not interrupt the membership: the next one is sent without its reply.
#[test]
fn renewals_go_on_while_one_is_unanswered() {
    let mut membership = member();
    let shown = watch_cache(20, Some(20));
    for round in 1..=2 {
        let renewal = membership.poll(START + round * RENEW_INTERVAL_MS, &shown);
        assert_eq!(renewal, Some(MembershipRequest::Renew(3)));
    }
}

/// Guards against a late copy of an unanswered registration that replaces the key of a newer one: when
/// its lease expires, the others take this controller for no member while it believes to be one.
#[test]
fn a_registration_requires_the_version_that_the_watch_cache_shows() {
    let version_required = |member_version| {
        let mut membership = Membership::new(NODE, 7);
        registration(&mut membership, &watch_cache(10, member_version)).conditions[0].version
    };
    assert_eq!((version_required(None), version_required(Some(9))), (0, 9));
}

#[test]
fn a_failed_registration_is_tried_again_with_a_new_lease() {
    for reply in [
        StoreReply::Unanswered,
        StoreReply::Conflict { failed: Vec::new() },
        StoreReply::LeaseExpired,
    ] {
        let mut membership = Membership::new(NODE, 7);
        let empty = watch_cache(10, None);
        registration(&mut membership, &empty);
        membership.on_registered(START + 20, &reply);
        assert_eq!(membership.member_since(START + 20), None);
        assert_eq!(membership.poll(START + 20 + RETRY_MS - 1, &empty), None);
        let retried = membership.poll(START + 20 + RETRY_MS, &empty);
        assert_eq!(retried, Some(MembershipRequest::Grant));
    }
}

/// A controller whose key is gone is skipped by the others, so it must not take itself for a member.
#[test]
fn a_member_whose_key_is_gone_or_replaced_registers_anew() {
    for shown in [None, Some(25)] {
        let mut membership = member();
        assert_eq!(
            membership.poll(START + 30, &watch_cache(19, None)),
            None,
            "not shown yet"
        );
        let request = membership.poll(START + 30, &watch_cache(25, shown));
        assert_eq!(request, Some(MembershipRequest::Grant));
        assert_eq!(membership.member_since(START + 30), None);
    }
}

#[test]
fn a_member_whose_lease_has_expired_registers_anew() {
    let mut membership = member();
    membership.on_renewed(START + 50, 2, START + 40, &StoreReply::LeaseExpired);
    assert_eq!(
        membership.member_since(START + 50),
        Some(START + 20),
        "an earlier lease"
    );
    membership.on_renewed(START + 50, 3, START + 40, &StoreReply::LeaseExpired);
    assert_eq!(membership.member_since(START + 50), None);
    let request = membership.poll(START + 50, &watch_cache(20, Some(20)));
    assert_eq!(request, Some(MembershipRequest::Grant));
}

#[test]
fn nothing_is_registered_before_the_watch_cache_is_complete() {
    let mut membership = Membership::new(NODE, 7);
    assert_eq!(membership.poll(START, &WatchCache::default()), None);
    assert!(!membership.is_registering());
}
