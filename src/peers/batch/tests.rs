use super::*;
use crate::wire::{TaskReport, TaskState};

fn relayed_report(id: u64, tasks: usize) -> RelayedReport {
    let task = |number: usize| TaskReport {
        task: format!("j-000007/{number}"),
        attempt: u64::MAX,
        state: TaskState::Exited,
        exit_reason: None,
    };
    let report = Report {
        machine: "host-1".into(),
        address: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: true,
        agent_epoch: u64::MAX,
        seq: u64::MAX,
        fencing_token: u64::MAX,
        reclaim_in_s: Some(0.1),
        tasks: (0..tasks).map(task).collect(),
    };
    RelayedReport { id, report }
}

fn ids(batches: Vec<Vec<RelayedReport>>) -> Vec<Vec<u64>> {
    let batches = batches.iter();
    batches
        .map(|batch| batch.iter().map(|item| item.id).collect())
        .collect()
}

#[test]
fn small_items_are_batched_by_their_number() {
    let items = (0..130).map(|id| relayed_report(id, 1)).collect();
    let sizes: Vec<usize> = batches(items).map(|batch| batch.len()).collect();
    assert_eq!(sizes, [MAX_ITEMS, MAX_ITEMS, 2]);
}

/// Guards against a message that its receiver refuses, together with the link, because its items
/// are counted whatever their size.
#[test]
fn large_items_are_batched_by_their_size() {
    let items = (0..5).map(|id| relayed_report(id, 5_000)).collect();
    let batches: Vec<Vec<RelayedReport>> = batches(items).collect();
    for batch in &batches {
        let bytes = rmp_serde::to_vec(batch).expect("a report").len();
        assert!(bytes <= MAX_BATCH_BYTES, "{bytes} bytes");
    }
    assert_eq!(ids(batches), [vec![0, 1], vec![2, 3], vec![4]]);
}

#[test]
fn an_item_of_any_size_is_in_a_batch() {
    let items = vec![relayed_report(1, 20_000), relayed_report(2, 1)];
    assert_eq!(ids(batches(items).collect()), [vec![1], vec![2]]);
}

#[test]
fn the_bound_of_an_item_is_not_below_its_size() {
    for tasks in [0, 1, 300] {
        let item = relayed_report(u64::MAX, tasks);
        let bytes = rmp_serde::to_vec(&item).expect("a report").len();
        assert!(bytes <= item.max_frame_bytes(), "{bytes} bytes, {tasks} tasks");
    }
}
