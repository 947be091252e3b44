//! Keys and values in the state service.

use super::{decode, lines};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sumacbend::fleet::{GroupValue, MachineRequestRecord};
use sumacbend::pipeline::ChunkValue;
use sumacbend::store::{EndValue, JobKey, Keys, LeaderValue};
use sumacbend::wire::Catalogue;

const STORE: &str = "stored/store.txt";

/// Every key below the prefix is read and written as the very same value: values
/// go into transactions as JSON, whose fields are sorted.
fn round_trip_below<T: Serialize + DeserializeOwned>(name: &str, prefix: &str) {
    let mut found = 0;
    for line in lines(name) {
        let (key, text) = line.split_once(' ').expect("a key and its value");
        if !key.starts_with(prefix) {
            continue;
        }
        found += 1;
        let value: T = decode(name, text);
        assert_eq!(json!(value).to_string(), text, "{key}");
    }
    assert!(found > 0, "{name} has nothing below {prefix}");
}

#[test]
fn stored_values_keep_their_text() {
    round_trip_below::<LeaderValue>("stored/claim.txt", "live/pool/owner");
    round_trip_below::<Catalogue>(STORE, "live/pool/catalogue");
    round_trip_below::<JobKey>(STORE, "live/pool/job/");
    round_trip_below::<EndValue>(STORE, "kept/pool/end/");
    round_trip_below::<ChunkValue>(STORE, "kept/pool/firing/");
    round_trip_below::<GroupValue>(STORE, "kept/pool/roster/");
    round_trip_below::<MachineRequestRecord>(STORE, "kept/pool/hire/");
}

/// All fields of a stored value are required, but for how a job ended and the count of
/// its tasks that were done.
#[test]
fn fields_of_stored_values_are_missed_by_name() {
    fn missed_answers<T: DeserializeOwned>(text: &str, optional: &[&str]) {
        let whole: Value = serde_json::from_str(text).expect("JSON");
        for field in whole.as_object().expect("an object").keys() {
            let mut rest = whole.clone();
            rest.as_object_mut().expect("an object").remove(field);
            match serde_json::from_value::<T>(rest).err() {
                Some(error) => assert!(error.to_string().contains(&format!("`{field}`")), "{error}"),
                None => assert!(optional.contains(&field.as_str()), "`{field}` is not missed"),
            }
        }
    }
    let all = [lines(STORE), lines("stored/claim.txt")].concat();
    for line in all {
        let (key, text) = line.split_once(' ').expect("a key and its value");
        let parts: Vec<&str> = key.split('/').collect();
        match parts[2] {
            "owner" => missed_answers::<LeaderValue>(text, &[]),
            "job" => missed_answers::<JobKey>(text, &["ended"]),
            "end" => missed_answers::<EndValue>(text, &["done"]),
            "firing" => missed_answers::<ChunkValue>(text, &[]),
            "roster" => missed_answers::<GroupValue>(text, &[]),
            "hire" => missed_answers::<MachineRequestRecord>(text, &[]),
            // Read by the controllers alone, as the takeover in tests/rules shows.
            "term" | "catalogue" => {}
            other => panic!("a key of another kind: {other}"),
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
    ];
    assert_eq!(names.to_vec(), lines("stored/keys.txt"));
}

/// A firing's key names a chunk of the job's tasks, so its size is part of the form.
#[test]
fn chunks_keep_their_size() {
    for line in lines("stored/chunk_tasks.txt") {
        let (value_kb, tasks) = line.split_once(' ').expect("a size and a count");
        let value_kb: f64 = value_kb.parse().expect("a number");
        assert_eq!(sumacbend::pipeline::tasks_per_chunk(value_kb).to_string(), tasks);
    }
}
