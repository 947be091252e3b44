//! Keys and values that controllers store in the state service.

use super::{decode_json, golden_lines};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sumacbend::fleet::{GroupValue, MachineRequestRecord, NewestMachineRequest};
use sumacbend::pipeline::ChunkValue;
use sumacbend::store::{EndValue, JobKey, Keys, LeaderValue, MemberValue};
use sumacbend::wire::Catalogue;

const STORE: &str = "stored/store.txt";

/// Checks that the value of every key with the prefix decodes as a `T` and encodes to the same
/// text. Transactions contain values as [`Value`], which sorts the fields.
fn check_round_trip_below<T: Serialize + DeserializeOwned>(name: &str, prefix: &str) {
    let mut found = 0;
    for line in golden_lines(name) {
        let (key, text) = line.split_once(' ').expect("a key and its value");
        if !key.starts_with(prefix) {
            continue;
        }
        found += 1;
        let value: T = decode_json(name, text);
        assert_eq!(json!(value).to_string(), text, "{key}");
    }
    assert!(found > 0, "{name} has no key below {prefix}");
}

#[test]
fn stored_values_keep_their_json() {
    check_round_trip_below::<LeaderValue>("stored/claim.txt", "live/pool/owner");
    check_round_trip_below::<MemberValue>("stored/member.txt", "live/pool/member/");
    check_round_trip_below::<Catalogue>(STORE, "live/pool/catalogue");
    check_round_trip_below::<JobKey>(STORE, "live/pool/job/");
    check_round_trip_below::<EndValue>(STORE, "kept/pool/end/");
    check_round_trip_below::<ChunkValue>(STORE, "kept/pool/firing/");
    check_round_trip_below::<GroupValue>(STORE, "kept/pool/roster/");
    check_round_trip_below::<MachineRequestRecord>(STORE, "kept/pool/hire/pool-");
    check_round_trip_below::<NewestMachineRequest>(STORE, "kept/pool/hire/newest");
}

/// All fields of stored values are required, except for how a job ended (`ended`) and the number
/// of its tasks that were done (`done` of an end key).
#[test]
fn decoding_errors_name_missing_fields_of_stored_values() {
    fn check_required_fields<T: DeserializeOwned>(text: &str, optional: &[&str]) {
        let whole: Value = serde_json::from_str(text).expect("valid JSON");
        for field in whole.as_object().expect("an object").keys() {
            let mut incomplete = whole.clone();
            incomplete.as_object_mut().expect("an object").remove(field);
            match serde_json::from_value::<T>(incomplete).err() {
                Some(error) => assert!(error.to_string().contains(&format!("`{field}`")), "{error}"),
                None => assert!(
                    optional.contains(&field.as_str()),
                    "decoding succeeded without `{field}`"
                ),
            }
        }
    }
    let all = [
        golden_lines(STORE),
        golden_lines("stored/claim.txt"),
        golden_lines("stored/member.txt"),
    ]
    .concat();
    for line in all {
        let (key, text) = line.split_once(' ').expect("a key and its value");
        let parts: Vec<&str> = key.split('/').collect();
        match parts[2] {
            "member" => check_required_fields::<MemberValue>(text, &[]),
            "owner" => check_required_fields::<LeaderValue>(text, &[]),
            "job" => check_required_fields::<JobKey>(text, &["ended"]),
            "end" => check_required_fields::<EndValue>(text, &["done"]),
            "firing" => check_required_fields::<ChunkValue>(text, &[]),
            "roster" => check_required_fields::<GroupValue>(text, &[]),
            "hire" if parts[3] == "newest" => check_required_fields::<NewestMachineRequest>(text, &[]),
            "hire" => check_required_fields::<MachineRequestRecord>(text, &[]),
            // The takeover test in `tests/rules` checks that controllers read these.
            "term" | "catalogue" => {}
            other => panic!("unexpected kind of key: {other}"),
        }
    }
}

#[test]
fn keys_keep_their_names() {
    let keys = Keys::new("pool");
    let names = [
        keys.watched(),
        keys.leader(),
        keys.term(),
        keys.catalogue(),
        keys.members(),
        keys.member("stall-0"),
        keys.jobs(),
        keys.job("j-000412"),
        keys.ends(),
        keys.end("j-000412"),
        keys.task_chunks(),
        keys.task_chunk("j-000412", 3),
        keys.machine_groups(),
        keys.machine_group("41-0"),
        keys.machine_requests(),
        keys.machine_request("pool-41-7"),
        keys.newest_machine_request(),
    ];
    assert_eq!(names.to_vec(), golden_lines("stored/keys.txt"));
}

/// A chunk's key contains the chunk's index among the chunks of its job, so the number of tasks
/// per chunk is part of the stored format.
#[test]
fn chunks_keep_their_number_of_tasks() {
    for line in golden_lines("stored/chunk_tasks.txt") {
        let (value_kb, tasks) = line.split_once(' ').expect("a value size and a number of tasks");
        let value_kb: f64 = value_kb.parse().expect("a number");
        assert_eq!(sumacbend::pipeline::tasks_per_chunk(value_kb).to_string(), tasks);
    }
}
