//! Checks the memory that a controller uses per machine, task and job against the figures from
//! which memory limits are derived ([`sumacbend::memory`]).
//!
//! The allocator counts the bytes, so the results are the same in every run.

use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::sync::Mutex;
use sumacbend::controller::Shard;
use sumacbend::memory;
use sumacbend::policy::Policy;
use sumacbend::settings::Settings;
use sumacbend::store::{JobKey, Keys, WatchCache};
use sumacbend::wire::{Catalogue, JobState, MachineType, Page, Report, TaskReport, WatchEvent};
use sumacbend::workers::ReportPath;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Held by each test, because the allocator counts the allocations of the whole process and
/// tests must therefore not run in parallel.
static ALLOCATION_COUNT_LOCK: Mutex<()> = Mutex::new(());

const SETTINGS: &str = include_str!("support/fleet_settings.toml");

// The numbers of machines and jobs are large enough to average out the growth steps of tables.
const MACHINES: usize = 4_096;
const JOBS: usize = 4_096;
const TASKS_PER_MACHINE: usize = 16;

/// Returns a shard without machines and jobs.
fn empty_shard() -> Shard {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    let mut shard = Shard::new("pool", 3, &settings, &Policy::default());
    shard.set_catalogue(&Catalogue {
        types: vec![MachineType {
            name: "pantry-rack".into(),
            cpus: TASKS_PER_MACHINE as f64,
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

/// Returns the value of the key of an unfinished job.
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

/// Returns the report of a machine with these tasks.
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
        reclaim_in_s: None,
        tasks,
    }
}

/// Adds machines that have reported and are in the stored inventory, so that tasks can be placed
/// on them.
fn add_machines(shard: &mut Shard) {
    for number in 0..MACHINES {
        shard.add_machine(0, &machine_name(number), "pantry-rack", "north", true);
        shard.merge_report(
            0,
            &report(number, Vec::new()),
            ReportPath::CommandReply { commands_sent_at: 0 },
        );
    }
    let machines = shard.workers.machines.indices();
    for ix in machines {
        shard
            .workers
            .machines
            .get_mut(ix)
            .expect("an existing machine")
            .is_persisted = true;
    }
}

/// Returns the bytes per item that `build` allocates and does not free if it creates `count`
/// items. The result of `build` counts as not freed.
fn allocated_bytes_per_item<T>(count: usize, build: impl FnOnce() -> T) -> usize {
    let region = Region::new(ALLOCATOR);
    let built = build();
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    drop(built);
    bytes / count
}

/// Asserts that `bytes` is at most `bound` and more than half of it. A wider bound would not
/// detect that the memory use doubled.
fn assert_close_to_bound(bytes: usize, bound: usize) {
    assert!(bytes <= bound, "{bytes} bytes, {bound} at most");
    assert!(2 * bytes > bound, "{bytes} bytes: the bound of {bound} is too wide");
}

#[test]
fn memory_per_machine_is_within_its_bound() {
    let _guard = ALLOCATION_COUNT_LOCK.lock();
    let mut shard = empty_shard();
    let bytes = allocated_bytes_per_item(MACHINES, || add_machines(&mut shard));
    assert_close_to_bound(bytes, memory::MACHINE_BYTES);
}

#[test]
fn memory_per_open_task_is_within_its_bound() {
    let _guard = ALLOCATION_COUNT_LOCK.lock();
    let mut shard = empty_shard();
    add_machines(&mut shard);
    let tasks = MACHINES * TASKS_PER_MACHINE;
    shard.job_changed(0, "j-000001", &job_key(1, tasks), 1);
    let bytes = allocated_bytes_per_item(tasks, || {
        for now in 1..=tasks as u64 {
            if shard.workers.attempts.iter().count() == tasks {
                break;
            }
            shard.place(now);
        }
    });
    assert_eq!(shard.workers.attempts.iter().count(), tasks);
    assert_close_to_bound(bytes, memory::OPEN_TASK_BYTES);
}

#[test]
fn memory_per_unfinished_job_is_within_its_bound() {
    let _guard = ALLOCATION_COUNT_LOCK.lock();
    let mut shard = empty_shard();
    let bytes = allocated_bytes_per_item(JOBS, || {
        let watch_cache = watch_cache_with_jobs(JOBS, None);
        for (id, (key, version)) in watch_cache.jobs() {
            shard.job_changed(0, id, key, *version);
        }
        watch_cache
    });
    assert_close_to_bound(bytes, memory::JOB_BYTES);
}

/// Guards against counting a job of any description as a plain one.
#[test]
fn memory_per_job_with_a_long_description_is_within_its_bound() {
    let _guard = ALLOCATION_COUNT_LOCK.lock();
    const LONG_JOBS: usize = 256;
    let mut shard = empty_shard();
    let mut watch_cache = WatchCache::default();
    let types: Vec<String> = (0..770).map(|number| format!("yard-hauler-{number:05}")).collect();
    // The shard keeps the names of machine types for ever, once each.
    add_job_with_types(&mut watch_cache, &mut shard, LONG_JOBS, &types);
    let bytes = allocated_bytes_per_item(LONG_JOBS, || {
        for number in 0..LONG_JOBS {
            add_job_with_types(&mut watch_cache, &mut shard, number, &types);
        }
    });
    let name_bytes = watch_cache.name_bytes() / watch_cache.jobs().len();
    assert_close_to_bound(bytes, memory::JOB_BYTES + memory::long_names_bytes(1, name_bytes));
}

/// Adds a job that allows these machine types to the watch cache and the shard.
fn add_job_with_types(watch_cache: &mut WatchCache, shard: &mut Shard, number: usize, types: &[String]) {
    let mut key = job_key(number, 35);
    key.spec.types = Some(types.to_vec());
    let id = key.spec.id.clone();
    shard.job_changed(0, &id, &key, 1);
    watch_cache.record_job(&id, key, 1);
}

#[test]
fn memory_per_thousand_tasks_of_an_unfinished_job_is_within_its_bound() {
    let _guard = ALLOCATION_COUNT_LOCK.lock();
    const TASKS: usize = 100_000;
    let mut shard = empty_shard();
    let bytes = allocated_bytes_per_item(TASKS / 1_000, || {
        shard.job_changed(0, "j-000001", &job_key(1, TASKS), 1);
    });
    assert_close_to_bound(bytes, memory::THOUSAND_TASKS_BYTES);
}

/// Covers what a follower holds for a job that has ended and is not cleaned up yet.
#[test]
fn memory_per_ended_job_is_within_its_bound() {
    let _guard = ALLOCATION_COUNT_LOCK.lock();
    let bytes = allocated_bytes_per_item(JOBS, || watch_cache_with_jobs(JOBS, Some(JobState::Done)));
    assert_close_to_bound(bytes, memory::ENDED_JOB_BYTES);
}

/// Returns a watch cache with `jobs` jobs that ended in this state, or are unfinished if `ended`
/// is `None`.
fn watch_cache_with_jobs(jobs: usize, ended: Option<JobState>) -> WatchCache {
    let keys = Keys::new("pool");
    let mut watch_cache = WatchCache::default();
    let read = watch_cache.begin_full_read();
    let page = Page {
        items: Vec::new(),
        more: false,
        revision: 0,
    };
    watch_cache.apply_page(&keys, read, page);
    let position = watch_cache.position().expect("a complete watch cache");
    for number in 0..jobs {
        let key = JobKey {
            ended,
            ..job_key(number, 35)
        };
        let event = WatchEvent {
            put: Some(keys.job(&key.spec.id)),
            delete: None,
            value: json!(key),
            version: number as u64 + 1,
        };
        let changes = watch_cache.apply_log(&keys, position, number as u64 + 1, vec![event]);
        assert!(changes.is_some());
    }
    watch_cache
}
