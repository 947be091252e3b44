use super::*;

#[test]
fn a_record_counts_as_written_only_after_its_transaction_is_applied() {
    let mut record = RecordState::Planned;
    record.start_write();
    assert_eq!(record, RecordState::BeingWritten);
    assert!(!record.is_written());
    record.write_failed();
    assert_eq!(record, RecordState::Planned);
    record.start_write();
    assert_eq!(record.write_committed(), Some(CommittedRecord::Written));
    assert!(record.is_written());
}

#[test]
fn a_written_record_is_unchanged_by_later_writes_of_its_chunk() {
    let mut record = RecordState::Written;
    record.start_write();
    assert_eq!(record, RecordState::Written);
    assert_eq!(record.write_committed(), None);
    record.write_failed();
    assert_eq!(record, RecordState::Written);
}

#[test]
fn a_withdrawn_record_is_removed_only_by_a_transaction_sent_after_the_withdrawal() {
    let mut record = RecordState::Withdrawn;
    assert_eq!(
        record.write_committed(),
        None,
        "the transaction was sent before the withdrawal"
    );
    record.start_write();
    assert!(record.is_withdrawn() && record.is_written());
    record.write_failed();
    assert_eq!(record, RecordState::Withdrawn);
    record.start_write();
    assert_eq!(record.write_committed(), Some(CommittedRecord::Removed));
}
