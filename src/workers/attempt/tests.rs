use super::*;

#[test]
fn a_record_is_written_once_its_transaction_was_applied() {
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
fn a_written_record_is_not_changed_by_other_writes_of_its_chunk() {
    let mut record = RecordState::Written;
    record.start_write();
    assert_eq!(record, RecordState::Written);
    assert_eq!(record.write_committed(), None);
    record.write_failed();
    assert_eq!(record, RecordState::Written);
}

#[test]
fn a_withdrawn_record_is_gone_only_after_a_transaction_that_was_sent_since() {
    let mut record = RecordState::Withdrawn;
    assert_eq!(record.write_committed(), None, "sent before it was withdrawn");
    record.start_write();
    assert!(record.is_withdrawn() && record.is_written());
    record.write_failed();
    assert_eq!(record, RecordState::Withdrawn);
    record.start_write();
    assert_eq!(record.write_committed(), Some(CommittedRecord::Removed));
}
