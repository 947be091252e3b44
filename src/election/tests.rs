use super::extension::REQUEST_AFTER_MS;
use super::phase::ISOLATED_CLAIM_DELAY_MS;
use super::*;
use crate::store::{Keys, LeaderValue, WatchCache};
use crate::wire::{Entry, Page};
use serde_json::json;

const AGE_MS: Millis = 5_000;

/// A watch cache that was read whole, with these keys.
fn watch_cache_with(keys: &Keys, items: Vec<Entry>) -> WatchCache {
    let mut watch_cache = WatchCache::default();
    let page = Page {
        items,
        more: false,
        revision: 0,
    };
    watch_cache.apply_page(keys, page).expect("the last page");
    watch_cache
}

/// The claim of a controller's incarnation, under term 1.
fn claim_entry(keys: &Keys, node: &str, incarnation: u64) -> Entry {
    let claim = LeaderValue {
        node: node.into(),
        incarnation,
        term: 1,
    };
    Entry {
        key: keys.leader(),
        value: json!(claim),
        version: 1,
    }
}

fn claimed(sent: Millis) -> (LeaderElection, Keys, WatchCache) {
    let keys = Keys::new("pool");
    let watch_cache = watch_cache_with(&keys, Vec::new());
    let mut election = LeaderElection::new("a", 1, AGE_MS);
    election.on_watch_cache_read(sent + LEASE_MS);
    assert_eq!(
        election.poll(sent, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Grant)
    );
    assert!(election.claim_with_lease(9, sent, &keys, &watch_cache).is_some());
    election.on_claim_committed(5);
    election.activate();
    (election, keys, watch_cache)
}

#[test]
fn validity_counts_from_when_the_renewal_was_sent() {
    let (mut election, _, watch_cache) = claimed(1_000);
    assert!(election.is_acting_leader(1_000 + LEASE_MS - MARGIN_MS - 1));
    assert!(!election.is_acting_leader(1_000 + LEASE_MS - MARGIN_MS));
    election.on_lease_renewed(2_000, 2_000);
    assert!(election.is_acting_leader(2_000 + LEASE_MS - MARGIN_MS - 1));
    // Guards against acting again on a renewal alone: after an expiry another
    // controller may have claimed and lost the shard in between.
    let expired = 2_000 + LEASE_MS;
    election.poll(expired, &watch_cache, Connectivity::Connected);
    election.on_lease_renewed(expired + 1, expired);
    assert!(!election.is_acting_leader(expired + 1));
    // Nor is a read from before the renewal enough, or an old watch cache.
    assert!(!election.may_resume(expired + 1, expired));
    election.on_watch_cache_read(expired + 1);
    assert!(election.may_resume(expired + 2, expired + 1));
    election.resume();
    assert!(election.is_acting_leader(expired + 2));
}

/// Guards against a leader that renews and answers workers while it hears of no
/// cancellation: it held their leases, and the cancelled tasks, for as long as
/// its reads were lost.
#[test]
fn a_leader_with_an_old_watch_cache_neither_acts_nor_renews() {
    let (mut election, _, watch_cache) = claimed(0);
    let old = LEASE_MS + AGE_MS;
    election.on_lease_renewed(old - 1, old - 1);
    assert!(election.is_acting_leader(old - 1));
    assert!(!election.is_acting_leader(old));
    assert_eq!(election.poll(old, &watch_cache, Connectivity::Connected), None);
    election.on_watch_cache_read(old);
    assert_eq!(
        election.poll(old + 1, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Renew(9))
    );
    assert!(!election.is_acting_leader(old + 1));
}

#[test]
fn a_controller_that_hears_nobody_lets_others_claim_first() {
    let watch_cache = watch_cache_with(&Keys::new("pool"), Vec::new());
    let mut election = LeaderElection::new("a", 1, AGE_MS);
    assert_eq!(election.poll(0, &watch_cache, Connectivity::Isolated), None);
    assert_eq!(
        election.poll(ISOLATED_CLAIM_DELAY_MS, &watch_cache, Connectivity::Isolated),
        Some(LeaseRequest::Grant)
    );
}

#[test]
fn every_claim_raises_the_term_and_depends_on_it() {
    let (mut election, keys, watch_cache) = claimed(0);
    let first = election.term;
    let transaction = election.raise_term(&keys, &watch_cache);
    assert!(election.term > first);
    assert!(transaction.conditions.iter().any(|c| c.key == keys.term()));
    assert!(
        transaction
            .conditions
            .iter()
            .any(|c| c.key == keys.leader() && c.version == 5)
    );
}

/// An outage that all share: nobody can claim, and stopping would cost all that
/// runs. The promise counts from when it was asked for, and only without a break.
#[test]
fn a_leader_acts_as_long_as_all_others_promise_not_to_claim() {
    let (mut election, _, watch_cache) = claimed(0);
    let expire = LEASE_MS - MARGIN_MS;
    assert!(!election.take_extension_request_due(REQUEST_AFTER_MS - MARGIN_MS - 1));
    assert!(election.take_extension_request_due(expire - 500));
    assert!(!election.take_extension_request_due(expire - 499));
    election.on_lease_extended(expire - 100, expire - 500);
    let until = expire - 500 + EXTENSION_MS;
    assert!(election.is_acting_leader(until - 1));
    assert!(!election.is_lease_valid(until - 1));
    assert!(!election.is_acting_leader(until));
    // Late promises revive nothing: another may have been the leader meanwhile.
    election.on_lease_extended(until + 10, until + 5);
    assert!(!election.is_acting_leader(until + 10));
    election.poll(until + 10, &watch_cache, Connectivity::Connected);
    assert!(!election.grant_extension(until + 10), "it may still be the leader");
}

#[test]
fn a_controller_that_promised_does_not_claim_nor_does_its_next_life() {
    let keys = Keys::new("pool");
    let term = Entry {
        key: keys.term(),
        value: json!({ "term": 3 }),
        version: 8,
    };
    let watch_cache = watch_cache_with(&keys, vec![term]);
    assert_eq!(watch_cache.term(), (3, 8));
    let mut election = LeaderElection::new("a", 1, AGE_MS);
    let settled = EXTENSION_MS + MARGIN_MS;
    // A former incarnation may have promised just before this one began.
    assert_eq!(election.poll(0, &watch_cache, Connectivity::Connected), None);
    assert_eq!(election.poll(settled - 1, &watch_cache, Connectivity::Connected), None);
    assert!(election.grant_extension(settled - 1));
    assert_eq!(
        election.poll(2 * settled - 2, &watch_cache, Connectivity::Connected),
        None
    );
    assert_eq!(
        election.poll(2 * settled - 1, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Grant)
    );
    assert!(!election.grant_extension(2 * settled), "it is about to claim");
}

/// Guards against two leaders at once: another's claim, seen while the lease was
/// asked for, was taken for the version to claim over, and its leader acted on for
/// as long as it did not hear of it (`fleetbench real`, a log of inc-a48c).
#[test]
fn nobody_claims_over_a_claim_seen_while_the_lease_was_asked_for() {
    let keys = Keys::new("pool");
    let watch_cache = watch_cache_with(&keys, Vec::new());
    let mut election = LeaderElection::new("a", 1, AGE_MS);
    assert_eq!(
        election.poll(0, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Grant)
    );
    let watch_cache = watch_cache_with(&keys, vec![claim_entry(&keys, "b", 2)]);
    assert_eq!(election.claim_with_lease(9, 0, &keys, &watch_cache), None);
    // One of its own earlier incarnation is as good as none.
    let watch_cache = watch_cache_with(&keys, vec![claim_entry(&keys, "a", 2)]);
    assert!(election.claim_with_lease(9, 0, &keys, &watch_cache).is_some());
}
