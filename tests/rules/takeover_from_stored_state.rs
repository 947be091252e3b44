//! Tests that a new leader takes over from the state that an earlier build stored.
//!
//! The stored values are those of `tests/golden/stored`, so these tests show that they are
//! interpreted correctly and not only parsed.

use crate::world::{KnownState, World};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;
use sumacbend::store::JobKey;
use sumacbend::wire::JobSpec;

/// Tasks that are done according to the stored state, besides the first 240 tasks of [`LONG_JOB`]
/// and the tasks of `j-000002`.
const DONE_TASKS: [&str; 9] = [
    "j-000000/0",
    "j-000000/1",
    "j-000000/4",
    "j-000001/240",
    "j-000003/1",
    "j-000005/0",
    "j-000005/1",
    "j-000006/0",
    "j-000006/1",
];
/// A job whose first 240 tasks are done.
const LONG_JOB: &str = "j-000001";
/// Open attempts that are running: machine, task, attempt number and remaining milliseconds.
const RUNNING_ATTEMPTS: [(&str, &str, u64, u64); 3] = [
    ("host-000231", "j-000000/2", 5, 14_000),
    ("host-000232", "j-000000/3", 4, 9_000),
    ("host-000232", "j-000001/241", 2, 16_000),
];
/// An open attempt that has ended on its machine, while the stored state does not record its end:
/// machine, task and attempt number.
const UNRECORDED_END: (&str, &str, u64) = ("host-000233", "j-000001/242", 3);
/// A running attempt of a cancelled job: machine, task, attempt number and remaining milliseconds.
const CANCELLED_ATTEMPT: (&str, &str, u64, u64) = ("host-000232", "j-000003/0", 2, 100_000);
/// Tasks to be started: never placed, or with an open attempt whose start command was never sent.
const TO_START: [&str; 5] = ["j-000000/5", "j-000000/6", "j-000004/0", "j-000004/1", "j-000004/2"];

/// Reads the keys and values of a file in `tests/golden/stored`.
fn read_golden(name: &str) -> Vec<(String, Value)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/stored")
        .join(name);
    let text = std::fs::read_to_string(&path).expect("a golden file");
    let entry = |line: &str| {
        let (key, value) = line.split_once(' ').expect("a key and its value");
        (key.to_owned(), serde_json::from_str(value).expect("JSON"))
    };
    text.lines().map(entry).collect()
}

/// Returns the specification in the stored key of a job, or an arbitrary one if the key has already
/// been deleted.
fn job_spec(stored: &[(String, Value)], index: usize) -> JobSpec {
    let id = format!("j-{index:06}");
    let key = format!("live/pool/job/{id}");
    match stored.iter().find(|(other, _)| *other == key) {
        Some((_, value)) => serde_json::from_value::<JobKey>(value.clone()).expect("a job").spec,
        None => JobSpec {
            id,
            tasks: 3,
            ..World::plain_spec()
        },
    }
}

/// Returns a cluster with the stored state, machines and tasks that the former leader left behind.
/// The lease of its claim has expired, so the claim key is absent.
fn world_after_former_leader(seed: u64) -> World {
    let mut world = World::new(seed, 3, 0, Vec::new());
    let stored = read_golden("store.txt");
    for (key, value) in &stored {
        world.put_stored(key, value.clone());
    }
    let (done, accepted, cancelled) = (KnownState::Done, KnownState::Accepted, KnownState::Cancelled);
    let known_states = [accepted, accepted, done, cancelled, accepted, accepted, done];
    for (index, known_state) in known_states.into_iter().enumerate() {
        world.add_known_job(job_spec(&stored, index), known_state);
    }
    world.add_known_machine("host-000231", ("small", "north", false), 2);
    world.add_known_machine("host-000232", ("large", "south", true), 1);
    world.add_known_machine("host-000233", ("small", "south", false), 1);
    for task in DONE_TASKS {
        world.add_done(task, None);
    }
    for task in 0..240 {
        world.add_done(&format!("{LONG_JOB}/{task}"), None);
    }
    for task in 0..3 {
        world.add_done(&format!("j-000002/{task}"), None);
    }
    for (machine, task, attempt, ms) in RUNNING_ATTEMPTS.into_iter().chain([CANCELLED_ATTEMPT]) {
        world.add_running(machine, task, attempt, ms);
    }
    let (machine, task, attempt) = UNRECORDED_END;
    world.add_done(task, Some((machine, attempt)));
    world
}

#[test]
fn a_new_leader_completes_the_work_of_the_stored_state() {
    for seed in 0..6 {
        let mut world = world_after_former_leader(seed);
        let done_before: BTreeSet<String> = world.done_tasks.clone();
        world.run(120_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);

        for task in &done_before {
            assert!(!world.ever_started(task), "seed {seed}: {task} was done and ran again");
        }
        // Running attempts continue: none is lost or started again, and only the attempt of the
        // cancelled job is stopped.
        for (_, task, ..) in RUNNING_ATTEMPTS {
            assert!(world.done_tasks.contains(task), "seed {seed}: {task}");
        }
        assert!(!world.done_tasks.contains(CANCELLED_ATTEMPT.1), "seed {seed}");
        assert_eq!(
            world.lost_tasks, 1,
            "seed {seed}: only {} is stopped",
            CANCELLED_ATTEMPT.1
        );
        for task in TO_START {
            assert!(world.done_tasks.contains(task), "seed {seed}: {task}");
        }
        let started_before = RUNNING_ATTEMPTS.len() + 1;
        assert_eq!(world.starts as usize, started_before + TO_START.len(), "seed {seed}");

        let known_states: Vec<KnownState> = world.jobs.iter().map(|job| job.known_state).collect();
        let (done, cancelled) = (KnownState::Done, KnownState::Cancelled);
        assert_eq!(
            known_states,
            [done, done, done, cancelled, done, done, done],
            "seed {seed}"
        );
        // The machine request that was stored but never answered has been repeated.
        assert!(
            world
                .machines_of_request("pool-41-7")
                .is_some_and(|names| names.len() == 2)
        );
        check_stored_state(&mut world, seed);
    }
}

/// Checks that ended jobs are cleaned up except for the records of their ends, and that the claim
/// has the term that follows the stored one.
fn check_stored_state(world: &mut World, seed: u64) {
    for prefix in ["live/pool/job/", "kept/pool/firing/", "kept/pool/hire/pool-"] {
        assert_eq!(world.count_stored_keys(prefix), 0, "seed {seed}: {prefix}");
    }
    let after = read_golden("store_after.txt");
    for (key, value) in &after {
        assert_eq!(world.read_stored(key).as_ref(), Some(value), "seed {seed}: {key}");
    }
    let ends = after.iter().filter(|(key, _)| key.starts_with("kept/pool/end/"));
    assert_eq!(world.count_stored_keys("kept/pool/end/"), ends.count(), "seed {seed}");
    let claim = world.read_stored("live/pool/owner").expect("a claim");
    let fields: Vec<&str> = claim
        .as_object()
        .expect("an object")
        .keys()
        .map(String::as_str)
        .collect();
    assert_eq!(fields, ["life", "node", "term"], "seed {seed}");
    assert_eq!(claim["term"], World::FORMER_TERM + 1, "seed {seed}");
}
