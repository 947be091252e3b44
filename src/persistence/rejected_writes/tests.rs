use super::*;

fn chunk(job: u32) -> QueuedWrite {
    QueuedWrite::Chunk(ChunkId {
        job: JobIx(job),
        number: 0,
    })
}

#[test]
fn the_changes_of_a_rejected_transaction_are_due_alone_at_once() {
    let mut rejected = RejectedWrites::default();
    assert_eq!(rejected.record(1_000, vec![chunk(1), chunk(2)]), None);
    assert!(rejected.contains(&chunk(1)) && rejected.contains(&chunk(2)));
    assert!(rejected.next_due(1_000).is_some());
    rejected.remove(&chunk(1));
    assert!(!rejected.contains(&chunk(1)));
    assert_eq!(rejected.next_due(1_000), Some(chunk(2)));
}

#[test]
fn a_change_that_is_rejected_alone_is_due_again_later() {
    let mut rejected = RejectedWrites::default();
    assert_eq!(rejected.record(1_000, vec![chunk(1)]), Some(chunk(1)));
    assert_eq!(rejected.next_due(1_000 + REJECTED_RETRY_MS - 1), None);
    assert_eq!(rejected.next_due(1_000 + REJECTED_RETRY_MS), Some(chunk(1)));
}

#[test]
fn the_change_that_has_waited_longest_is_due_first() {
    let mut rejected = RejectedWrites::default();
    rejected.record(2_000, vec![chunk(1), chunk(2)]);
    rejected.record(1_000, vec![chunk(3), chunk(4)]);
    assert_eq!(rejected.next_due(5_000), Some(chunk(3)));
}

#[test]
fn the_changes_of_a_forgotten_job_are_like_all_others() {
    let mut rejected = RejectedWrites::default();
    rejected.record(1_000, vec![chunk(1), QueuedWrite::FinishedJob(JobIx(1)), chunk(2)]);
    rejected.forget_job(JobIx(1));
    assert!(!rejected.contains(&chunk(1)) && rejected.contains(&chunk(2)));
}
