use super::*;
use serde_json::json;

fn builder(max_changes: usize) -> TransactionBuilder {
    let claim = Condition {
        key: "live/pool/owner".into(),
        version: 7,
    };
    TransactionBuilder::new(claim, max_changes)
}

#[test]
fn the_number_and_total_size_of_changes_are_limited() {
    let mut builder = builder(2);
    assert!(builder.has_space(2, MAX_TRANSACTION_BYTES - FRAME_BYTES));
    assert!(!builder.has_space(2, MAX_TRANSACTION_BYTES - FRAME_BYTES + 1));
    assert!(!builder.has_space(3, 1));
    builder.change(Change::put("a", json!(1)), 1_000);
    assert!(builder.has_space(1, MAX_TRANSACTION_BYTES - FRAME_BYTES - 1_000));
    assert!(!builder.has_space(1, MAX_TRANSACTION_BYTES - FRAME_BYTES - 999));
    builder.limit_changes(1);
    assert!(!builder.has_space(1, 1));
}

#[test]
fn only_the_first_condition_on_a_key_is_kept() {
    let mut builder = builder(10);
    builder.require("a".into(), 3);
    builder.require("a".into(), 4);
    builder.delete("b".into(), 5);
    let transaction = builder.build();
    let conditions: Vec<(&str, u64)> = transaction
        .conditions
        .iter()
        .map(|condition| (condition.key.as_str(), condition.version))
        .collect();
    assert_eq!(conditions, [("live/pool/owner", 7), ("a", 3), ("b", 5)]);
    assert_eq!(transaction.changes, [Change::delete("b")]);
}
