use super::*;
use crate::wire::Entry;
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

/// Guards against missing changes made while later pages are read: the revision after a full
/// read must be that of the first page, so that the log after it contains these changes.
#[test]
fn a_full_read_has_the_revision_of_its_first_page_and_reports_removed_jobs() {
    let (keys, mut cache) = (keys(), WatchCache::default());
    cache.record_job("j-9", serde_json::from_value(job_value("j-9", 5)).expect("a job"), 1);
    let first = page(10, true, vec![(keys.job("j-1"), job_value("j-1", 2), 4)]);
    assert_eq!(cache.apply_page(&keys, first), None);
    assert!(!cache.is_complete());
    let claim = json!({"node": "a", "life": 1, "term": 3});
    let last = page(
        12,
        false,
        vec![(keys.leader(), claim, 11), (keys.term(), json!({"term": 3}), 11)],
    );
    let changes = cache.apply_page(&keys, last).expect("the last page");
    let expected = [
        WatchedChange::Job("j-1".into()),
        WatchedChange::Leader,
        WatchedChange::JobRemoved("j-9".into()),
    ];
    assert_eq!(changes, expected);
    assert!(cache.is_complete());
    assert_eq!((cache.revision(), cache.tasks(), cache.term()), (10, 2, (3, 11)));
}

#[test]
fn an_older_change_does_not_overwrite_a_newer_one() {
    let (keys, mut cache) = (keys(), WatchCache::default());
    let jobs = [
        put(keys.job("j-1"), job_value("j-1", 2), 4),
        removal(keys.job("j-1"), 6),
    ];
    let changes = cache.apply_log(&keys, 6, jobs.to_vec());
    let created_and_removed = [
        WatchedChange::Job("j-1".into()),
        WatchedChange::JobRemoved("j-1".into()),
    ];
    assert_eq!(changes, created_and_removed);
    assert_eq!(cache.apply_log(&keys, 5, jobs.to_vec()), []);
    assert_eq!((cache.revision(), cache.tasks(), cache.jobs().len()), (6, 0, 0));
}

#[test]
fn a_claim_is_removed_with_its_key_and_an_unparsable_job_is_ignored() {
    let (keys, mut cache) = (keys(), WatchCache::default());
    let claim = json!({"node": "a", "life": 1, "term": 3});
    let events = vec![
        put(keys.leader(), claim, 1),
        put(keys.job("j-1"), json!({"spec": null}), 2),
        put(keys.catalogue(), json!({"rigs": []}), 3),
    ];
    let changes = cache.apply_log(&keys, 3, events);
    assert_eq!(changes, [WatchedChange::Leader, WatchedChange::Catalogue]);
    assert_eq!(
        cache.leader().map(|(leader, version)| (leader.term, *version)),
        Some((3, 1))
    );
    let events = vec![removal(keys.leader(), 4), removal(keys.catalogue(), 4)];
    assert_eq!(cache.apply_log(&keys, 4, events), [WatchedChange::Leader]);
    assert_eq!(cache.leader(), None);
    assert!(cache.catalogue().is_some());
}
