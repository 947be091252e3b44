use super::*;
use crate::wire::{Entry, Page};
use serde_json::json;

fn keys() -> Keys {
    Keys::new("pool")
}

fn job_value(id: &str, tasks: u32) -> Value {
    json!({"spec": {"id": id, "lotType": "sort", "consignor": "floor", "saleFormat": "array", "bidRank": "high",
        "lots": tasks, "cores": 1.0, "cards": 0.0, "memGb": 1.0, "catalog": "img", "pullGb": 1.0, "oneZone": false,
        "scatter": false, "loaner": true, "appraisedS": 5.0, "tallyS": 0.0, "ledgerS": 0.0}, "accepted_ms": 7})
}

fn page(revision: u64, more: bool, items: Vec<(String, Value, u64)>) -> Page {
    let entry = |(key, value, version)| Entry { key, value, version };
    let items = items.into_iter().map(entry).collect();
    Page { items, more, revision }
}

fn put(key: String, value: Value, version: u64) -> WatchEvent {
    WatchEvent {
        put: Some(key),
        delete: None,
        value,
        version,
    }
}

fn removal(key: String, version: u64) -> WatchEvent {
    WatchEvent {
        put: None,
        delete: Some(key),
        value: Value::Null,
        version,
    }
}

/// Returns a watch cache after a full read of these keys.
fn cache_with(keys: &Keys, revision: u64, items: Vec<(String, Value, u64)>) -> WatchCache {
    let mut cache = WatchCache::default();
    let read = cache.begin_full_read();
    let outcome = cache.apply_page(keys, read, page(revision, false, items));
    assert!(matches!(outcome, PageOutcome::Complete(_)));
    cache
}

fn position(cache: &WatchCache) -> WatchPosition {
    cache.position().expect("a complete watch cache")
}

/// Guards against missing changes made while later pages are read: the revision after a full
/// read must be that of the first page, so that the log after it contains these changes.
#[test]
fn a_full_read_has_the_revision_of_its_first_page_and_reports_removed_jobs() {
    let (keys, mut cache) = (keys(), WatchCache::default());
    cache.record_job("j-9", serde_json::from_value(job_value("j-9", 5)).expect("a job"), 1);
    let read = cache.begin_full_read();
    let first = page(10, true, vec![(keys.job("j-1"), job_value("j-1", 2), 4)]);
    let after = keys.job("j-1");
    assert_eq!(cache.apply_page(&keys, read, first), PageOutcome::Continues { after });
    assert!(!cache.is_complete());
    let claim = json!({"node": "a", "life": 1, "term": 3});
    let last = page(
        12,
        false,
        vec![(keys.leader(), claim, 11), (keys.term(), json!({"term": 3}), 11)],
    );
    let expected = vec![
        WatchedChange::Job("j-1".into()),
        WatchedChange::Leader,
        WatchedChange::JobRemoved("j-9".into()),
    ];
    assert_eq!(cache.apply_page(&keys, read, last), PageOutcome::Complete(expected));
    assert!(cache.is_complete());
    assert_eq!((cache.revision(), cache.tasks(), cache.term()), (10, 2, (3, 11)));
}

#[test]
fn an_older_change_does_not_overwrite_a_newer_one() {
    let keys = keys();
    let mut cache = cache_with(&keys, 0, Vec::new());
    let position = position(&cache);
    let jobs = [
        put(keys.job("j-1"), job_value("j-1", 2), 4),
        removal(keys.job("j-1"), 6),
    ];
    let changes = cache.apply_log(&keys, position, 6, jobs.to_vec());
    let created_and_removed = [
        WatchedChange::Job("j-1".into()),
        WatchedChange::JobRemoved("j-1".into()),
    ];
    assert_eq!(changes, Some(created_and_removed.to_vec()));
    assert_eq!(cache.apply_log(&keys, position, 5, jobs.to_vec()), Some(Vec::new()));
    assert_eq!((cache.revision(), cache.tasks(), cache.jobs().len()), (6, 0, 0));
}

#[test]
fn a_claim_is_removed_with_its_key_and_an_unparsable_job_is_ignored() {
    let keys = keys();
    let mut cache = cache_with(&keys, 0, Vec::new());
    let position = position(&cache);
    let claim = json!({"node": "a", "life": 1, "term": 3});
    let events = vec![
        put(keys.leader(), claim, 1),
        put(keys.job("j-1"), json!({"spec": null}), 2),
        put(keys.catalogue(), json!({"rigs": []}), 3),
    ];
    let changes = cache.apply_log(&keys, position, 3, events);
    assert_eq!(changes, Some(vec![WatchedChange::Leader, WatchedChange::Catalogue]));
    assert_eq!(
        cache.leader().map(|(leader, version)| (leader.term, *version)),
        Some((3, 1))
    );
    let events = vec![removal(keys.leader(), 4), removal(keys.catalogue(), 4)];
    let changes = cache.apply_log(&keys, position, 4, events);
    assert_eq!(changes, Some(vec![WatchedChange::Leader]));
    assert_eq!(cache.leader(), None);
    assert!(cache.catalogue().is_some());
}

fn first_page(keys: &Keys) -> Page {
    page(10, true, vec![(keys.job("j-1"), job_value("j-1", 2), 4)])
}

fn last_page(keys: &Keys) -> Page {
    page(10, false, vec![(keys.job("j-2"), job_value("j-2", 3), 5)])
}

/// Guards against a full read that loses its first pages: a reply to another request invalidated the
/// cache between two pages, and the page that came next was taken for the first of a new read.
#[test]
fn a_page_of_an_abandoned_full_read_does_not_count_for_the_next_one() {
    let (keys, mut cache) = (keys(), WatchCache::default());
    let abandoned = cache.begin_full_read();
    cache.apply_page(&keys, abandoned, first_page(&keys));
    cache.invalidate();
    let late = cache.apply_page(&keys, abandoned, last_page(&keys));
    assert_eq!((late, cache.is_complete()), (PageOutcome::Abandoned, false));

    let read = cache.begin_full_read();
    let late = cache.apply_page(&keys, abandoned, last_page(&keys));
    assert_eq!((late, cache.is_complete()), (PageOutcome::Abandoned, false));
    assert!(!cache.fail_full_read(abandoned));
    cache.apply_page(&keys, read, first_page(&keys));
    cache.apply_page(&keys, read, last_page(&keys));
    let jobs: Vec<&str> = cache.jobs().keys().map(String::as_str).collect();
    assert_eq!((jobs, cache.is_complete()), (vec!["j-1", "j-2"], true));
    assert_eq!(cache.apply_page(&keys, read, last_page(&keys)), PageOutcome::Abandoned);
}

/// Guards against a "too old" that reaches a controller after the cache was brought past the revision
/// that it is about: it would abandon a full read, or a complete cache, that lacks nothing.
#[test]
fn too_old_concerns_only_the_position_that_was_asked_about() {
    let keys = keys();
    let mut cache = cache_with(&keys, 5, Vec::new());
    let old = position(&cache);
    cache.apply_log(&keys, old, 9, Vec::new());
    cache.too_old(old);
    assert!(
        cache.is_complete(),
        "another reply brought the cache past that revision"
    );
    cache.too_old(position(&cache));
    assert!(!cache.is_complete());

    let read = cache.begin_full_read();
    cache.apply_page(&keys, read, first_page(&keys));
    cache.too_old(old);
    cache.apply_page(&keys, read, last_page(&keys));
    assert_eq!((cache.jobs().len(), cache.is_complete()), (2, true));
    cache.too_old(old);
    assert!(cache.is_complete());
}

/// Guards against changes that were requested before a full read and are applied after it, as if
/// nothing had been missed in between.
#[test]
fn changes_since_an_earlier_full_read_are_not_applied() {
    let keys = keys();
    let mut cache = cache_with(&keys, 5, Vec::new());
    let old = position(&cache);
    cache.invalidate();
    assert_eq!(cache.apply_log(&keys, old, 9, Vec::new()), None);
    let read = cache.begin_full_read();
    assert_eq!(cache.apply_log(&keys, old, 9, Vec::new()), None);
    cache.apply_page(&keys, read, page(7, false, Vec::new()));
    assert_eq!(cache.apply_log(&keys, old, 9, Vec::new()), None);
    assert_eq!(cache.revision(), 7);
}

/// Guards against a job that this controller accepts or cancels while it reads the pages, after the
/// page of the job: the read must not remove the job or undo the cancellation.
#[test]
fn a_full_read_does_not_undo_own_writes_that_are_newer_than_its_pages() {
    let keys = keys();
    let unfinished: JobKey = serde_json::from_value(job_value("j-1", 2)).expect("a job");
    let cancelled = JobKey {
        ended: Some(crate::wire::JobState::Cancelled),
        ..unfinished.clone()
    };
    let mut cache = cache_with(&keys, 5, vec![(keys.job("j-1"), job_value("j-1", 2), 4)]);
    let read = cache.begin_full_read();
    cache.apply_page(&keys, read, first_page(&keys));
    cache.record_job("j-1", cancelled.clone(), 11);
    cache.record_job("j-0", unfinished, 12);
    let outcome = cache.apply_page(&keys, read, last_page(&keys));
    let changes = [WatchedChange::Job("j-1".into()), WatchedChange::Job("j-2".into())];
    assert_eq!(outcome, PageOutcome::Complete(changes.to_vec()));
    assert_eq!(cache.jobs().get("j-1"), Some(&(cancelled, 11)));
    assert!(cache.jobs().contains_key("j-0"));
    assert_eq!(cache.tasks(), 2 + 2 + 3);
}

/// Guards against a full read that never ends: a page without keys that is not the last one names no
/// key to go on from.
#[test]
fn an_empty_page_that_is_not_the_last_abandons_the_full_read() {
    let (keys, mut cache) = (keys(), WatchCache::default());
    let read = cache.begin_full_read();
    let outcome = cache.apply_page(&keys, read, page(10, true, Vec::new()));
    assert_eq!((outcome, cache.is_being_read()), (PageOutcome::Malformed, false));
}
