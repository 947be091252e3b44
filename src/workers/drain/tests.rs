use super::*;
use crate::ids::{JobIx, MachineIx};
use serde_json::json;

/// Returns a job whose tasks are estimated to run for 100 s. They can save their progress within
/// 10 s, unless `checkpoint_s` is 0.
fn spec(checkpoint_s: f64) -> JobSpec {
    serde_json::from_value(json!({"id":"j-1","lotType":"sort","consignor":"floor",
        "saleFormat":"array","bidRank":"high","lots":1,"cores":4.0,"cards":0.0,"memGb":8.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":100.0,
        "tallyS":checkpoint_s,"ledgerS":10.0}))
    .expect("a job")
}

/// Returns an attempt in this state, which has run since time 0 if it is running.
fn attempt(state: TaskState) -> Attempt {
    let mut attempt = Attempt::new(JobIx(0), 0, 1, MachineIx(0), 1);
    attempt.observe(0, state);
    attempt
}

#[test]
fn a_task_that_checkpoints_is_stopped_as_late_as_is_safe() {
    let (attempt, spec) = (attempt(TaskState::Running), spec(20.0));
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 10.0 + STOP_MARGIN_S + 0.1), None);
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 10.0 + STOP_MARGIN_S), Some(10.0));
    // Too little time is left to save, so the task is stopped without a grace period.
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 10.0), Some(0.0));
}

#[test]
fn a_task_that_cannot_save_is_stopped_immediately_unless_it_finishes_in_time() {
    let (attempt, spec) = (attempt(TaskState::Running), spec(0.0));
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 60.0), Some(0.0));
    assert_eq!(attempt.grace_before_reclaim(41_000, &spec, 60.0), None);
}

#[test]
fn a_task_that_is_not_running_yet_is_stopped_without_grace() {
    let (attempt, spec) = (attempt(TaskState::Fetching), spec(20.0));
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 60.0), Some(0.0));
}
