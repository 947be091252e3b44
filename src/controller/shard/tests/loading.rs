//! Loading of the values that the former leader stored.

use super::*;
use crate::wire::Entry;
use crate::workers::ReportPath;
use serde_json::Value;

fn entry(key: &str, value: Value) -> Entry {
    Entry {
        key: key.into(),
        value,
        version: 8,
    }
}

fn shard_with_a_loaded_machine() -> Shard {
    let mut shard = shard_with(5, &[("small", 8.0)], 4, true);
    let group = json!({"machines": [["host-1", "small", "north", true, "127.0.0.1:9"]]});
    shard.load_group(0, "4-0", &entry("kept/pool/roster/4-0", group));
    shard
}

#[test]
fn open_attempts_and_done_tasks_are_loaded() {
    let mut shard = shard_with_a_loaded_machine();
    // `host-2` is not in the inventory: the cloud has confirmed its deletion.
    let chunk = json!({"next": 9, "done": "0-1", "open": [[2, 7, "host-1", 3], [3, 8, "host-2", 1]]});
    shard.load_chunk(10, "j-1", 0, &entry("kept/pool/firing/j-1/0", chunk));
    let job = shard.jobs.find("j-1").expect("known job");
    assert_eq!((job.chunks[0].version, job.chunks[0].next_attempt), (8, 9));
    assert_eq!((job.done.len(), job.open.len()), (2, 1));
    let (_, attempt) = shard.workers.attempts.iter().next().expect("an open attempt");
    assert_eq!((attempt.task, attempt.number, attempt.agent_epoch), (2, 7, 3));
    assert!(attempt.record.is_written() && attempt.stop_grace_s.is_none());
    let machine = shard.workers.machines.get(attempt.machine).expect("known machine");
    assert_eq!(
        (machine.name.as_str(), machine.agent_epoch, machine.open.len()),
        ("host-1", 3, 1)
    );
    assert_eq!(shard.jobs.team_quotas[0].used.cpus, 4.0);
    assert_eq!(machine.used.cpus, 4.0);
}

/// Guards against closing an attempt that the former leader's direct start may still begin.
#[test]
fn the_start_of_a_loaded_attempt_may_still_arrive_until_the_worker_has_seen_the_present_term() {
    let mut shard = shard_with_a_loaded_machine();
    let chunk = json!({"next": 9, "done": "0-1", "open": [[2, 7, "host-1", 1]]});
    shard.load_chunk(10, "j-1", 0, &entry("kept/pool/firing/j-1/0", chunk));
    let (ix, _) = shard.workers.attempts.iter().next().expect("an open attempt");
    let attempt = shard.workers.attempts.get_mut(ix).expect("an open attempt");
    attempt.stop_grace_s = Some(0.0);
    for (seq, fencing_token, is_over) in [(1, 4, false), (2, 5, true)] {
        let empty_report = worker_fixture::report(1, seq, fencing_token, Vec::new());
        shard.merge_report(20, &empty_report, ReportPath::Heartbeat);
        let attempt = shard.workers.attempts.get(ix).expect("an open attempt");
        assert_eq!(attempt.record.is_withdrawn(), is_over);
    }
}

#[test]
fn unreadable_values_and_chunks_of_unknown_jobs_change_nothing() {
    let mut shard = shard_with_a_loaded_machine();
    let unreadable = json!({"next": 9, "open": [[2, 7, "host-1", 3]]});
    shard.load_chunk(10, "j-1", 0, &entry("kept/pool/firing/j-1/0", unreadable));
    let readable = json!({"next": 9, "done": "", "open": [[2, 7, "host-1", 3]]});
    shard.load_chunk(10, "j-2", 0, &entry("kept/pool/firing/j-2/0", readable));
    shard.load_machine_request(&entry("kept/pool/hire/r", json!({"request": "r"})));
    shard.load_group(
        0,
        "4-1",
        &entry("kept/pool/roster/4-1", json!({"machines": [["host-3"]]})),
    );
    assert!(shard.workers.attempts.iter().next().is_none());
    assert_eq!(shard.jobs.find("j-1").expect("known job").chunks[0].version, 0);
    assert!(shard.fleet.machine_requests().is_empty());
    assert_eq!(shard.workers.machines.len(), 1);
}
