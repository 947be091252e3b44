use super::*;

#[test]
fn an_open_record_is_stored_as_an_array() {
    let record = OpenAttemptRecord {
        task: 7,
        attempt: 3,
        machine: "host-1".into(),
        agent_epoch: 9,
    };
    let text = serde_json::to_string(&record).expect("serializable");
    assert_eq!(text, r#"[7,3,"host-1",9]"#);
    assert_eq!(
        serde_json::from_str::<OpenAttemptRecord>(&text).expect("valid record"),
        record
    );
}

#[test]
fn an_open_record_is_not_read_from_an_object() {
    let text = r#"{"task":7,"attempt":3,"machine":"host-1","agent_epoch":9}"#;
    assert!(serde_json::from_str::<OpenAttemptRecord>(text).is_err());
}

/// Guards against a change that is lost because the chunk changed after its transaction was
/// built and the commit of that transaction marked it as written.
#[test]
fn a_chunk_changed_while_in_flight_has_to_be_written_again() {
    let mut chunk = Chunk::new();
    chunk.mark_changed();
    chunk.write_started(10);
    chunk.mark_changed();
    chunk.write_committed(4);
    assert!(!chunk.is_written());
    chunk.write_started(20);
    assert!(!chunk.is_written());
    chunk.write_committed(5);
    assert!(chunk.is_written());
    assert_eq!(chunk.version, 5);
}

#[test]
fn a_chunk_whose_write_failed_has_to_be_written_again() {
    let mut chunk = Chunk::new();
    chunk.write_started(10);
    chunk.write_failed();
    assert!(!chunk.is_written());
    assert_eq!(chunk.version, 0);
}
