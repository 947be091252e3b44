//! Holds what each machine, task and job takes of a controller's memory below the
//! figures that bounds are derived from. Bytes are counted by the allocator, so that
//! the verdict is the same every time.

use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::sync::Mutex;
use sumacbend::controller::Shard;
use sumacbend::memory;
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;
use sumacbend::store::{JobKey, Keys, WatchCache};
use sumacbend::wire::{Catalogue, Event, JobState, MachineType, Report, TaskReport};
use sumacbend::workers::ReportPath;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The allocator counts for the whole process, so tests take turns.
static TURN: Mutex<()> = Mutex::new(());

const SETTINGS: &str = include_str!("support/fleet_settings.toml");

/// Enough of each kind for the growth of tables to even out.
const MACHINES: usize = 4_096;
const JOBS: usize = 4_096;
const TASKS_A_MACHINE: usize = 16;

fn shard() -> Shard {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    let mut shard = Shard::new("pool", 3, &settings, &Policy::default());
    shard.set_catalogue(&Catalogue {
        types: vec![MachineType {
            name: "pantry-rack".into(),
            cpus: TASKS_A_MACHINE as f64,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: Some(0.5),
            boot_s: 5.0,
            zones: vec!["north".into()],
        }],
    });
    shard
}

fn job_key(number: usize, tasks: usize) -> JobKey {
    let spec = json!({"id": format!("j-{number:06}"), "lotType": "allergen-labels", "consignor": "red",
        "saleFormat": "array", "bidRank": "high", "lots": tasks, "cores": 1.0, "cards": 0.0, "memGb": 1.0,
        "rigs": null, "yard": null, "oneZone": false, "scatter": false, "loaner": true, "catalog": "img-07",
        "pullGb": 1.0, "appraisedS": 20.0, "tallyS": 0.0, "ledgerS": 0.0, "hammerS": 300.0});
    JobKey {
        spec: serde_json::from_value(spec).expect("a job"),
        accepted_ms: 1_700_000_000_000,
        ended: None,
    }
}

fn machine_name(number: usize) -> String {
    format!("host-{number:06}")
}

fn report(number: usize, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: machine_name(number),
        address: format!("10.1.{}.{}:9000", number / 250, number % 250),
        machine_type: "pantry-rack".into(),
        zone: "north".into(),
        spot: true,
        agent_epoch: 1,
        seq: 1 + tasks.len() as u64,
        fencing_token: 3,
        notice_s: None,
        tasks,
    }
}

fn add_machines(shard: &mut Shard) {
    for number in 0..MACHINES {
        shard.add_machine(0, &machine_name(number), "pantry-rack", "north", true);
        shard.merge_report(0, &report(number, Vec::new()), ReportPath::CommandReply);
    }
    let machines = shard.workers.machines.indices();
    for ix in machines {
        shard.workers.machines.get_mut(ix).expect("there").is_persisted = true;
    }
}

/// Bytes that `grow` keeps for each of `count`.
fn bytes_each<T>(count: usize, grow: impl FnOnce() -> T) -> usize {
    let region = Region::new(ALLOCATOR);
    let kept = grow();
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    drop(kept);
    bytes / count
}

/// Within the named bound, and more than half of it: a bound that is far too wide
/// would not notice what doubles.
fn assert_close(bytes: usize, bound: usize) {
    assert!(bytes <= bound, "{bytes} bytes, {bound} at most");
    assert!(2 * bytes > bound, "{bytes} bytes: the bound of {bound} is too wide");
}

#[test]
fn a_machine_takes_no_more_than_its_bound() {
    let _turn = TURN.lock();
    let mut shard = shard();
    let bytes = bytes_each(MACHINES, || add_machines(&mut shard));
    assert_close(bytes, memory::MACHINE_BYTES);
}

#[test]
fn an_open_task_takes_no_more_than_its_bound() {
    let _turn = TURN.lock();
    let mut shard = shard();
    add_machines(&mut shard);
    let tasks = MACHINES * TASKS_A_MACHINE;
    shard.job_changed(0, "j-000001", &job_key(1, tasks), 1);
    let bytes = bytes_each(tasks, || {
        for round in 1..=tasks as u64 {
            if shard.workers.attempts.iter().count() == tasks {
                break;
            }
            shard.place(round);
        }
    });
    assert_eq!(shard.workers.attempts.iter().count(), tasks);
    assert_close(bytes, memory::OPEN_TASK_BYTES);
}

#[test]
fn an_unfinished_job_takes_no_more_than_its_bound() {
    let _turn = TURN.lock();
    let mut shard = shard();
    let bytes = bytes_each(JOBS, || {
        let watch_cache = watched(JOBS, None);
        for (id, (key, version)) in watch_cache.jobs() {
            shard.job_changed(0, id, key, *version);
        }
        watch_cache
    });
    assert_close(bytes, memory::JOB_BYTES);
}

#[test]
fn a_task_of_an_unfinished_job_takes_no_more_than_its_bound() {
    let _turn = TURN.lock();
    const TASKS: usize = 100_000;
    let mut shard = shard();
    let bytes = bytes_each(TASKS / 1_000, || {
        shard.job_changed(0, "j-000001", &job_key(1, TASKS), 1);
    });
    assert_close(bytes, memory::THOUSAND_TASKS_BYTES);
}

/// What a follower keeps of a job that has ended and is not cleaned up yet.
#[test]
fn an_ended_job_takes_no_more_than_its_bound() {
    let _turn = TURN.lock();
    let bytes = bytes_each(JOBS, || watched(JOBS, Some(JobState::Done)));
    assert_close(bytes, memory::ENDED_JOB_BYTES);
}

fn watched(jobs: usize, ended: Option<JobState>) -> WatchCache {
    let keys = Keys::new("pool");
    let mut watch_cache = WatchCache::default();
    for number in 0..jobs {
        let key = JobKey {
            ended,
            ..job_key(number, 35)
        };
        let event = Event {
            put: Some(keys.job(&key.spec.id)),
            delete: None,
            value: json!(key),
            version: number as u64 + 1,
        };
        watch_cache.apply_log(&keys, number as u64 + 1, vec![event]);
    }
    watch_cache
}
