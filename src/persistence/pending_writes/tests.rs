use super::*;

fn chunk(job: u32, number: u32) -> ChunkId {
    ChunkId {
        job: JobIx(job),
        number,
    }
}

#[test]
fn urgent_chunks_make_the_queue_urgent_and_deferrable_changes_do_not() {
    let mut pending = PendingWrites::default();
    pending.queue_deferrable_chunk(chunk(1, 0));
    pending.queue_clean_up(JobIx(1));
    assert!(!pending.is_urgent());
    pending.queue_urgent_chunk(chunk(1, 1));
    assert!(pending.is_urgent());
    pending.unqueue_chunk(chunk(1, 1));
    assert!(!pending.is_urgent());
}

#[test]
fn forgetting_a_job_removes_only_its_own_changes() {
    let mut pending = PendingWrites::default();
    for job in [1, 2] {
        pending.queue_urgent_chunk(chunk(job, 0));
        pending.queue_deferrable_chunk(chunk(job, 1));
        pending.queue_finished_job(JobIx(job));
        pending.queue_clean_up(JobIx(job));
    }
    pending.forget_job(JobIx(1));
    for number in [0, 1] {
        assert!(!pending.is_chunk_queued(chunk(1, number)));
        assert!(pending.is_chunk_queued(chunk(2, number)));
    }
    assert!(!pending.is_clean_up_queued(JobIx(1)));
    assert!(pending.is_clean_up_queued(JobIx(2)));
    assert!(pending.finished.iter().eq(&[JobIx(2)]));
    assert!(pending.has_job_changes());
    pending.forget_job(JobIx(2));
    assert!(!pending.has_job_changes());
}
