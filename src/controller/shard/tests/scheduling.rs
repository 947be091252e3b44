//! Placement and preemption through the shard's operations.

use super::*;
use crate::ids::{AttemptIx, JobIx, MachineIx};
use crate::placement::PREEMPTION_INTERVAL_MS;
use crate::wire::TaskState;
use crate::workers::RecordState;

impl Shard {
    /// Opens an attempt of a task on a machine, regardless of what placement would choose.
    pub fn open_attempt(&mut self, job: JobIx, task: u32, machine: MachineIx) {
        let chunk = self.placement_context(0).open_attempt(job, task, machine);
        self.pending_writes.queue_urgent_chunks(chunk);
    }
}

const NOW: Millis = 400_000;

/// Returns the value of the key of a best-effort job of two tasks, each of which requires 8 CPUs and
/// runs for eight minutes. `saves` says whether the tasks can save their progress.
fn backfill_job_key(id: &str, saves: bool) -> JobKey {
    let spec: JobSpec = serde_json::from_value(json!({"id":id,"lotType":"backfill","consignor":"floor",
        "saleFormat":"array","bidRank":"low","lots":2,"cores":8.0,"cards":0.0,"memGb":8.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":480.0,
        "tallyS":if saves { 30.0 } else { 0.0 },"ledgerS":3.0}))
    .expect("valid job");
    JobKey {
        spec,
        accepted_ms: 0,
        ended: None,
    }
}

/// Returns a shard with one machine of 16 CPUs, which is full of backfill tasks that have run for
/// five minutes, and a high-priority job (`j-1`, 4 CPUs per task) that has waited for a second.
fn shard_with_full_machine(saves: bool) -> Shard {
    let mut shard = shard_with(1, &[("large", 16.0)], 1, true);
    shard.wall_clock = NOW;
    shard.job_changed(0, "j-2", &backfill_job_key("j-2", saves), 2);
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    let machine_state = shard.workers.machines.get_mut(machine).expect("known machine");
    machine_state.is_persisted = true;
    machine_state.last_report_at = Some(NOW);
    machine_state.report_due = NOW + 10_000;
    let job = shard.jobs.table.find("j-2").expect("known job");
    for task in 0..2 {
        shard.open_attempt(job, task, machine);
    }
    let attempts: Vec<AttemptIx> = shard.workers.attempts.iter().map(|(ix, _)| ix).collect();
    for ix in attempts {
        let attempt = shard.workers.attempts.get_mut(ix).expect("open attempt");
        attempt.record = RecordState::Written;
        attempt.observed_state = Some(TaskState::Running);
        attempt.running_since = Some(NOW - 300_000);
    }
    let urgent = shard.jobs.table.find("j-1").expect("known job");
    shard.jobs.table.get_mut(urgent).expect("known job").shortage_since = Some(NOW - 1_000);
    shard
}

/// Returns the grace periods, in seconds, of the attempts that are to be stopped.
fn stop_grace_periods(shard: &Shard) -> Vec<f64> {
    shard
        .workers
        .attempts
        .iter()
        .filter_map(|(_, attempt)| attempt.stop_grace_s)
        .collect()
}

/// Guards against urgent jobs that wait for minutes while backfill holds the machines (inc-98dc,
/// inc-a48c, inc-7b1f, see docs/incidents). A task that can save loses little work if it is
/// stopped, however long it has run.
#[test]
fn a_task_that_can_save_is_preempted_with_time_to_save_however_long_it_ran() {
    let mut shard = shard_with_full_machine(true);
    shard.preempt(NOW);
    assert_eq!(stop_grace_periods(&shard), [3.0], "one is enough for a task of 4 CPUs");
    shard.preempt(NOW + PREEMPTION_INTERVAL_MS);
    assert_eq!(
        stop_grace_periods(&shard).len(),
        1,
        "enough room is already being freed"
    );
}

#[test]
fn a_task_that_cannot_save_and_has_run_long_is_not_preempted() {
    let mut shard = shard_with_full_machine(false);
    shard.preempt(NOW);
    assert!(stop_grace_periods(&shard).is_empty());
}

/// Guards against a best-effort job that has waited so long that it gets age priority, and then
/// starts all its tasks before those of urgent jobs. It has age priority only while none of its
/// tasks is open.
#[test]
fn a_best_effort_job_has_age_priority_only_until_one_task_is_open() {
    let mut shard = shard_with(1, &[("large", 16.0)], 1, true);
    shard.job_changed(0, "j-2", &backfill_job_key("j-2", true), 2);
    let job = shard.jobs.table.find("j-2").expect("known job");
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    assert!(shard.jobs.table.get(job).expect("known job").has_age_priority(NOW));
    shard.open_attempt(job, 0, machine);
    let job_state = shard.jobs.table.get(job).expect("known job");
    assert!(!job_state.has_age_priority(NOW));
    assert!(job_state.can_restart_in_time(NOW), "a best-effort job has no due time");
}
