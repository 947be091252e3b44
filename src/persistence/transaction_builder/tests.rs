use super::*;
use serde_json::json;

fn builder(max_changes: usize) -> TransactionBuilder {
    let claim = Condition {
        key: "live/pool/owner".into(),
        version: 7,
    };
    TransactionBuilder::new(claim, max_changes)
}

fn put(key: &str, value: Value) -> ChangeSet {
    let mut set = ChangeSet::default();
    set.put(key.into(), value);
    set
}

/// Returns a set whose put takes this number of bytes in a transaction.
fn put_of_size(bytes: usize) -> ChangeSet {
    let overhead = put("a", json!("")).encoded_size();
    put("a", json!("x".repeat(bytes - overhead)))
}

#[test]
fn the_number_of_changes_is_limited() {
    let mut builder = builder(2);
    assert!(builder.has_space(2) && !builder.has_space(3));
    assert!(builder.try_add(put("a", json!(1))));
    builder.limit_changes(1);
    assert!(!builder.has_space(1));
    assert!(!builder.try_add(put("b", json!(2))));
    builder.limit_changes(2);
    assert!(builder.try_add(put("b", json!(2))));
    assert!(!builder.try_add(put("c", json!(3))));
}

#[test]
fn the_total_size_is_limited() {
    let mut builder = builder(10);
    let frame = builder.bytes;
    assert!(builder.try_add(put_of_size(1_000)));
    assert!(!builder.try_add(put_of_size(COLLECTED_BYTES - frame - 999)));
    assert!(builder.try_add(put_of_size(COLLECTED_BYTES - frame - 1_000)));
    assert!(!builder.try_add(put("b", json!(1))));
}

/// Guards against sizes that are estimated: every part of a transaction counts as it is sent.
#[test]
fn the_counted_size_bounds_the_encoded_size() {
    let mut builder = builder(10);
    for number in 0..5 {
        let mut set = put(
            &format!("kept/pool/end/j-{number}"),
            json!({"state": "done", "é": number}),
        );
        set.require(format!("live/pool/job/j-{number}"), u64::MAX);
        set.delete(format!("kept/pool/firing/j-{number}/0"), number);
        assert!(builder.try_add(set));
    }
    let counted = builder.bytes;
    let encoded = encoded_size(&builder.build());
    assert!(
        encoded <= counted && counted <= encoded + 3,
        "{encoded} bytes, counted {counted}"
    );
}

/// Guards against a change that waits for ever because it is larger than what is collected.
#[test]
fn a_large_change_is_added_to_an_empty_transaction_and_stays_alone() {
    let mut builder = builder(10);
    assert!(builder.try_add(put_of_size(2 * COLLECTED_BYTES)));
    assert!(!builder.try_add(put("b", json!(1))));
}

#[test]
fn only_the_first_condition_on_a_key_is_kept() {
    let mut builder = builder(10);
    let mut set = ChangeSet::default();
    set.require("a".into(), 3);
    set.require("a".into(), 4);
    set.delete("b".into(), 5);
    assert!(builder.try_add(set));
    let transaction = builder.build();
    let conditions: Vec<(&str, u64)> = transaction
        .conditions
        .iter()
        .map(|condition| (condition.key.as_str(), condition.version))
        .collect();
    assert_eq!(conditions, [("live/pool/owner", 7), ("a", 3), ("b", 5)]);
    assert_eq!(transaction.changes, [Change::delete("b")]);
}
