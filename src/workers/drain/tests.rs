use super::*;
use crate::ids::{JobIx, MachineIx};
use serde_json::json;

/// A job whose tasks run 100 s, and save within 10 s if they checkpoint.
fn spec(checkpoint_s: f64) -> JobSpec {
    serde_json::from_value(json!({"id":"j-1","lotType":"sort","consignor":"floor",
        "saleFormat":"array","bidRank":"high","lots":1,"cores":4.0,"cards":0.0,"memGb":8.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":100.0,
        "tallyS":checkpoint_s,"ledgerS":10.0}))
    .expect("a job")
}

/// An attempt in this state, running since time 0 if it runs.
fn attempt(state: TaskState) -> Attempt {
    let mut attempt = Attempt::new(JobIx(0), 0, 1, MachineIx(0), 1);
    attempt.observe(0, state);
    attempt
}

#[test]
fn a_task_that_checkpoints_is_stopped_as_late_as_is_safe() {
    let (attempt, spec) = (attempt(TaskState::Running), spec(20.0));
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 10.0 + MARGIN_S + 0.1), None);
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 10.0 + MARGIN_S), Some(10.0));
    // No time is left to save in: it might as well end now.
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 10.0), Some(0.0));
}

#[test]
fn a_task_that_cannot_save_ends_at_once_unless_it_finishes_in_time() {
    let (attempt, spec) = (attempt(TaskState::Running), spec(0.0));
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 60.0), Some(0.0));
    assert_eq!(attempt.grace_before_reclaim(41_000, &spec, 60.0), None);
}

#[test]
fn a_task_that_does_not_run_yet_has_nothing_to_save() {
    let (attempt, spec) = (attempt(TaskState::Fetching), spec(20.0));
    assert_eq!(attempt.grace_before_reclaim(0, &spec, 60.0), Some(0.0));
}
