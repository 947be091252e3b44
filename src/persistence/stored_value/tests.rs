use super::*;
use crate::pipeline::ChunkValue;
use serde_json::json;

fn entry(value: serde_json::Value) -> Entry {
    Entry {
        key: "kept/pool/firing/j-1/0".into(),
        value,
        version: 3,
    }
}

#[test]
fn a_stored_chunk_is_parsed_as_a_chunk_value() {
    let entry = entry(json!({"next": 4, "done": "0-2", "open": [[3, 1, "host-1", 9]]}));
    let value: ChunkValue = read_value(&entry).expect("a chunk");
    assert_eq!((value.next_attempt, value.done.as_str()), (4, "0-2"));
    assert_eq!(value.open[0].machine, "host-1");
}

#[test]
fn the_parse_error_names_the_key_and_the_missing_field() {
    let error = read_value::<ChunkValue>(&entry(json!({"next": 4, "done": ""}))).expect_err("no `open`");
    let text = error.to_string();
    assert!(
        text.contains("`kept/pool/firing/j-1/0`") && text.contains("`open`"),
        "{text}"
    );
}
