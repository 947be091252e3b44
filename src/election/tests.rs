use super::extension::REQUEST_LEASE_AGE_MS;
use super::phase::ISOLATED_CLAIM_DELAY_MS;
use super::*;
use crate::fencing::last_token;
use crate::store::{Keys, LeaderValue, WatchCache};
use crate::wire::{Change, Entry, Page, Transaction};
use serde_json::json;

const MAX_WATCH_CACHE_AGE_MS: Millis = 5_000;

/// Returns a completely read watch cache that contains these keys.
fn watch_cache_with(keys: &Keys, items: Vec<Entry>) -> WatchCache {
    let mut watch_cache = WatchCache::default();
    let page = Page {
        items,
        more: false,
        revision: 0,
    };
    let read = watch_cache.begin_full_read();
    watch_cache.apply_page(keys, read, page);
    assert!(watch_cache.is_complete());
    watch_cache
}

/// Returns the leader key with a claim by this incarnation of a controller, under term 1.
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

/// Returns the election of an active leader whose lease was requested at `sent`.
fn active_leader(sent: Millis) -> (LeaderElection, Keys, WatchCache) {
    let keys = Keys::new("pool");
    let watch_cache = watch_cache_with(&keys, Vec::new());
    let mut election = LeaderElection::new("a", 1, MAX_WATCH_CACHE_AGE_MS);
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
fn validity_is_measured_from_the_time_at_which_the_renewal_was_sent() {
    let (mut election, _, watch_cache) = active_leader(1_000);
    assert!(election.is_acting_leader(1_000 + LEASE_MS - SAFETY_MARGIN_MS - 1));
    assert!(!election.is_acting_leader(1_000 + LEASE_MS - SAFETY_MARGIN_MS));
    election.on_lease_renewed(2_000, 2_000);
    assert!(election.is_acting_leader(2_000 + LEASE_MS - SAFETY_MARGIN_MS - 1));
    // A renewal alone must not end the suspension: after the expiry, another controller may
    // have claimed and lost the shard.
    let expired = 2_000 + LEASE_MS;
    election.poll(expired, &watch_cache, Connectivity::Connected);
    election.on_lease_renewed(expired + 1, expired);
    assert!(!election.is_acting_leader(expired + 1));
    // A read sent before the renewal, or a stale watch cache, is not sufficient either.
    assert!(!election.may_resume(expired + 1, expired));
    election.on_watch_cache_read(expired + 1);
    assert!(election.may_resume(expired + 2, expired + 1));
    election.resume();
    assert!(election.is_acting_leader(expired + 2));
}

/// Guards against a leader that renews its lease and answers workers while its reads fail: it
/// does not learn of cancellations, and keeps the workers' leases and the cancelled tasks alive
/// for as long as its reads fail.
#[test]
fn a_leader_with_a_stale_watch_cache_neither_acts_nor_renews() {
    let (mut election, _, watch_cache) = active_leader(0);
    let expired = LEASE_MS + MAX_WATCH_CACHE_AGE_MS;
    election.on_lease_renewed(expired - 1, expired - 1);
    assert!(election.is_acting_leader(expired - 1));
    assert!(!election.is_acting_leader(expired));
    assert_eq!(election.poll(expired, &watch_cache, Connectivity::Connected), None);
    election.on_watch_cache_read(expired);
    assert_eq!(
        election.poll(expired + 1, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Renew(9))
    );
    assert!(!election.is_acting_leader(expired + 1));
}

#[test]
fn an_isolated_controller_claims_later_than_a_connected_one() {
    let watch_cache = watch_cache_with(&Keys::new("pool"), Vec::new());
    let mut election = LeaderElection::new("a", 1, MAX_WATCH_CACHE_AGE_MS);
    assert_eq!(election.poll(0, &watch_cache, Connectivity::Isolated), None);
    assert_eq!(
        election.poll(ISOLATED_CLAIM_DELAY_MS, &watch_cache, Connectivity::Isolated),
        Some(LeaseRequest::Grant)
    );
}

#[test]
fn every_claim_raises_the_term_and_is_conditional_on_it() {
    let (mut election, keys, watch_cache) = active_leader(0);
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

/// Returns the number that a claim stores under the term key.
fn stored_term(transaction: &Transaction, keys: &Keys) -> u64 {
    let stored = transaction.changes.iter().find_map(|change| match change {
        Change::Put { put, value, .. } if *put == keys.term() => value["term"].as_u64(),
        _ => None,
    });
    stored.expect("a term")
}

/// Guards against a fencing token that two leaders give out, also with a leader without ranges in between.
#[test]
fn no_two_terms_reserve_the_same_fencing_token() {
    let keys = Keys::new("pool");
    let mut stored = 0;
    let mut highest_token = 0;
    for claim in 0..6_u64 {
        if claim % 2 == 1 {
            // An earlier version of the program takes the number after the stored one.
            stored += 1;
            assert!(stored > highest_token);
            highest_token = stored;
            continue;
        }
        let term = Entry {
            key: keys.term(),
            value: json!({ "term": stored }),
            version: claim,
        };
        let mut election = LeaderElection::new("a", 1 + claim, MAX_WATCH_CACHE_AGE_MS);
        let watch_cache = watch_cache_with(&keys, vec![term]);
        let first = election.claim_with_lease(9, 0, &keys, &watch_cache).expect("a claim");
        assert!(election.term() > highest_token);
        stored = stored_term(&first, &keys);
        assert_eq!(stored, last_token(election.term()));
        // The watch cache does not show the first claim yet.
        let second = election.raise_term(&keys, &watch_cache);
        assert!(election.term() > stored);
        stored = stored_term(&second, &keys);
        highest_token = last_token(election.term());
    }
}

/// Guards against stopping all running tasks in an outage of the state service that affects
/// every controller, in which no controller can claim the shard. The extension counts from the
/// time of the request, and only if the leadership has not expired before the grant.
#[test]
fn a_leader_acts_while_its_lease_extension_is_valid() {
    let (mut election, _, watch_cache) = active_leader(0);
    let lease_expiry = LEASE_MS - SAFETY_MARGIN_MS;
    assert!(!election.take_extension_request_due(REQUEST_LEASE_AGE_MS - SAFETY_MARGIN_MS - 1));
    assert!(election.take_extension_request_due(lease_expiry - 500));
    assert!(!election.take_extension_request_due(lease_expiry - 499));
    election.on_lease_extended(lease_expiry - 100, lease_expiry - 500);
    let until = lease_expiry - 500 + EXTENSION_MS;
    assert!(election.is_acting_leader(until - 1));
    assert!(!election.is_lease_valid(until - 1));
    assert!(!election.is_acting_leader(until));
    // A late grant does not restore the leadership: another controller may have led since.
    election.on_lease_extended(until + 10, until + 5);
    assert!(!election.is_acting_leader(until + 10));
    election.poll(until + 10, &watch_cache, Connectivity::Connected);
    assert!(
        !election.grant_extension(until + 10),
        "a suspended leader must not grant an extension"
    );
}

#[test]
fn a_granted_extension_delays_claims_also_of_the_next_incarnation() {
    let keys = Keys::new("pool");
    let term = Entry {
        key: keys.term(),
        value: json!({ "term": 3 }),
        version: 8,
    };
    let watch_cache = watch_cache_with(&keys, vec![term]);
    assert_eq!(watch_cache.term(), (3, 8));
    let mut election = LeaderElection::new("a", 1, MAX_WATCH_CACHE_AGE_MS);
    let delay = EXTENSION_MS + SAFETY_MARGIN_MS;
    // An earlier incarnation may have granted an extension just before this one started.
    assert_eq!(election.poll(0, &watch_cache, Connectivity::Connected), None);
    assert_eq!(election.poll(delay - 1, &watch_cache, Connectivity::Connected), None);
    assert!(election.grant_extension(delay - 1));
    assert_eq!(
        election.poll(2 * delay - 2, &watch_cache, Connectivity::Connected),
        None
    );
    assert_eq!(
        election.poll(2 * delay - 1, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Grant)
    );
    assert!(
        !election.grant_extension(2 * delay),
        "a controller that is claiming must not grant an extension"
    );
}

/// Guards against two leaders at the same time: a controller that saw another controller's
/// claim while its own lease was being requested used the version of that claim as the one to
/// replace, and the replaced leader continued to act until it learned of the new claim
/// (observed with `fleetbench real`).
#[test]
fn a_claim_seen_while_the_lease_is_requested_is_not_replaced() {
    let keys = Keys::new("pool");
    let watch_cache = watch_cache_with(&keys, Vec::new());
    let mut election = LeaderElection::new("a", 1, MAX_WATCH_CACHE_AGE_MS);
    assert_eq!(
        election.poll(0, &watch_cache, Connectivity::Connected),
        Some(LeaseRequest::Grant)
    );
    let watch_cache = watch_cache_with(&keys, vec![claim_entry(&keys, "b", 2)]);
    assert_eq!(election.claim_with_lease(9, 0, &keys, &watch_cache), None);
    // A claim by an earlier incarnation of the same controller may be replaced.
    let watch_cache = watch_cache_with(&keys, vec![claim_entry(&keys, "a", 2)]);
    assert!(election.claim_with_lease(9, 0, &keys, &watch_cache).is_some());
}
