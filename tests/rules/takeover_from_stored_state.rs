//! A leader takes over from a store that an earlier build filled: the values are those
//! of `tests/golden/stored`, so what is stored is understood, not just read.

use crate::world::{KnownState, World};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;
use sumacbend::store::JobKey;
use sumacbend::wire::JobSpec;

/// Tasks that the store says are done.
const DONE: [&str; 9] = [
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
/// Its first 240 tasks are done.
const LONG_JOB: &str = "j-000001";
/// Open attempts that run: machine, task, attempt number, and for how long yet.
const RUNNING: [(&str, &str, u64, u64); 3] = [
    ("host-000231", "j-000000/2", 5, 14_000),
    ("host-000232", "j-000000/3", 4, 9_000),
    ("host-000232", "j-000001/241", 2, 16_000),
];
/// An open attempt that is over, which nobody wrote down yet.
const OVER: (&str, &str, u64) = ("host-000233", "j-000001/242", 3);
/// An open attempt of a job that is cancelled since.
const CANCELLED: (&str, &str, u64, u64) = ("host-000232", "j-000003/0", 2, 100_000);
/// Tasks still to be started: never placed, or written and never sent.
const TO_START: [&str; 5] = ["j-000000/5", "j-000000/6", "j-000004/0", "j-000004/1", "j-000004/2"];

fn golden(name: &str) -> Vec<(String, Value)> {
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

/// The job as its key holds it, or one whose key is cleaned up already.
fn spec(stored: &[(String, Value)], index: usize) -> JobSpec {
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

/// The claim has expired, so its key is absent.
fn world_left_behind(seed: u64) -> World {
    let mut world = World::new(seed, 3, 0, Vec::new());
    let stored = golden("store.txt");
    for (key, value) in &stored {
        world.put_stored(key, value.clone());
    }
    let (done, accepted, cancelled) = (KnownState::Done, KnownState::Accepted, KnownState::Cancelled);
    let told = [accepted, accepted, done, cancelled, accepted, accepted, done];
    for (index, told) in told.into_iter().enumerate() {
        world.add_known_job(spec(&stored, index), told);
    }
    world.add_known_machine("host-000231", ("small", "north", false), 2);
    world.add_known_machine("host-000232", ("large", "south", true), 1);
    world.add_known_machine("host-000233", ("small", "south", false), 1);
    for task in DONE {
        world.add_done(task, None);
    }
    for task in 0..240 {
        world.add_done(&format!("{LONG_JOB}/{task}"), None);
    }
    for task in 0..3 {
        world.add_done(&format!("j-000002/{task}"), None);
    }
    for (machine, task, attempt, ms) in RUNNING.into_iter().chain([CANCELLED]) {
        world.add_running(machine, task, attempt, ms);
    }
    let (machine, task, attempt) = OVER;
    world.add_done(task, Some((machine, attempt)));
    world
}

#[test]
fn a_leader_finishes_what_a_store_of_golden_values_says_is_under_way() {
    for seed in 0..6 {
        let mut world = world_left_behind(seed);
        let before: BTreeSet<String> = world.done_tasks.clone();
        world.run(120_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);

        for task in &before {
            assert!(!world.ever_started(task), "seed {seed}: {task} was done and ran again");
        }
        // Every attempt that ran is taken over as it is: none is lost or started
        // again, and only the cancelled job's is stopped.
        for (_, task, ..) in RUNNING {
            assert!(world.done_tasks.contains(task), "seed {seed}: {task}");
        }
        assert!(!world.done_tasks.contains(CANCELLED.1), "seed {seed}");
        assert_eq!(world.lost_tasks, 1, "seed {seed}: only {} is stopped", CANCELLED.1);
        for task in TO_START {
            assert!(world.done_tasks.contains(task), "seed {seed}: {task}");
        }
        let started_before = RUNNING.len() + 1;
        assert_eq!(world.starts as usize, started_before + TO_START.len(), "seed {seed}");

        let told: Vec<KnownState> = world.jobs.iter().map(|job| job.known_state).collect();
        let (done, cancelled) = (KnownState::Done, KnownState::Cancelled);
        assert_eq!(told, [done, done, done, cancelled, done, done, done], "seed {seed}");
        // The machine request that was written and never answered was asked for again.
        assert!(
            world
                .machines_of_request("pool-41-7")
                .is_some_and(|names| names.len() == 2)
        );
        check_store(&mut world, seed);
    }
}

/// Jobs are cleaned up and keep their ends, and the claim goes on from the term.
fn check_store(world: &mut World, seed: u64) {
    for prefix in ["live/pool/job/", "kept/pool/firing/", "kept/pool/hire/"] {
        assert_eq!(world.count_stored_keys(prefix), 0, "seed {seed}: {prefix}");
    }
    let after = golden("store_after.txt");
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
