use super::*;
use crate::store::JobKey;
use crate::wire::JobSpec;

fn job(number: usize, tasks: u32) -> JobKey {
    let spec: JobSpec = serde_json::from_value(serde_json::json!({"id": format!("j-{number}"), "lotType": "sort",
        "consignor": "floor", "saleFormat": "array", "bidRank": "high", "lots": tasks, "cores": 1.0, "cards": 0.0,
        "memGb": 1.0, "catalog": "img", "pullGb": 1.0, "oneZone": false, "scatter": false, "loaner": true,
        "appraisedS": 5.0, "tallyS": 0.0, "ledgerS": 0.0}))
    .expect("a job");
    JobKey {
        spec,
        accepted_ms: 0,
        ended: None,
    }
}

/// Returns how many jobs with this number of tasks are admitted with 85 MB of memory.
fn count_admitted_jobs(tasks: u32) -> usize {
    count_admitted(|number| job(number, tasks))
}

/// Returns how many of these jobs are admitted with 85 MB of memory.
fn count_admitted(job: impl Fn(usize) -> JobKey) -> usize {
    let limits = Limits {
        cpu_share: 0.03,
        memory_mb: 85.0,
        max_connections: 2_500,
    };
    let mut watched = WatchCache::default();
    loop {
        let number = watched.jobs().len();
        let key = job(number);
        if !has_memory_for_job(&limits, &watched, &key.spec) {
            return number;
        }
        watched.record_job(&format!("j-{number}"), key, 1);
    }
}

/// Guards against a controller that runs out of memory because descriptions of any length count
/// alike: with 15 KiB each, 762 jobs took 80 of 85 MB.
#[test]
fn jobs_with_long_descriptions_are_admitted_up_to_their_share_of_memory() {
    let types: Vec<String> = (0..770).map(|number| format!("yard-hauler-{number:05}")).collect();
    let admitted = count_admitted(|number| {
        let mut key = job(number, 1);
        key.spec.types = Some(types.clone());
        key
    });
    let names_bytes = 2 * 770 * ("yard-hauler-00000".len() + 24);
    assert!(admitted > 0 && admitted * names_bytes < (85e6 * UNFINISHED_JOBS_SHARE) as usize);
}

/// Guards against sizes that remain counted after a job is replaced or removed.
#[test]
fn names_are_counted_while_the_job_is_watched() {
    let mut watched = WatchCache::default();
    let mut long = job(1, 1);
    long.spec.types = Some(vec!["a".repeat(1_000)]);
    watched.record_job("j-1", long, 1);
    assert!(watched.name_bytes() > 1_000);
    watched.record_job("j-1", job(1, 1), 2);
    assert_eq!(watched.name_bytes(), job(1, 1).spec.name_bytes());
}

/// Guards against a controller that runs out of memory: new jobs must be refused before.
#[test]
fn unfinished_jobs_are_admitted_up_to_their_share_of_memory() {
    let share_bytes = 85e6 * UNFINISHED_JOBS_SHARE;
    assert_eq!(
        count_admitted_jobs(1),
        (share_bytes / (JOB_BYTES as f64 + THOUSAND_TASKS_BYTES as f64 / 1_000.0)) as usize
    );
    let large_job_bytes = JOB_BYTES as f64 + 100.0 * THOUSAND_TASKS_BYTES as f64;
    assert_eq!(count_admitted_jobs(100_000), (share_bytes / large_job_bytes) as usize);
}

/// Guards against counting the tasks of a job again each time its record is updated.
#[test]
fn job_recorded_twice_counts_once() {
    let mut watched = WatchCache::default();
    watched.record_job("j-1", job(1, 10), 1);
    watched.record_job("j-1", job(1, 30), 2);
    assert_eq!((watched.jobs().len(), watched.tasks()), (1, 30));
}
