//! Placement and preemption by way of the shard.

use super::*;
use crate::ids::{AttemptIx, JobIx, MachineIx};
use crate::placement::PREEMPTION_INTERVAL_MS;
use crate::wire::TaskState;
use crate::workers::RecordState;

impl Shard {
    /// Opens an attempt of a task on a machine, whatever placement would choose.
    pub fn open_attempt(&mut self, job: JobIx, task: u32, machine: MachineIx) {
        let chunk = self.placement_context(0).open_attempt(job, task, machine);
        self.pending_writes.queue_urgent_chunks(chunk);
    }
}

const NOW: Millis = 400_000;

/// A class without an aim of its own: tasks of 8 CPUs that run for eight minutes.
fn backfill(id: &str, saves: bool) -> JobKey {
    let spec: JobSpec = serde_json::from_value(json!({"id":id,"lotType":"backfill","consignor":"floor",
        "saleFormat":"array","bidRank":"low","lots":2,"cores":8.0,"cards":0.0,"memGb":8.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":480.0,
        "tallyS":if saves { 30.0 } else { 0.0 },"ledgerS":3.0}))
    .expect("a job");
    JobKey {
        spec,
        accepted_ms: 0,
        ended: None,
    }
}

/// One machine of 16 CPUs full of backfill that has run for five minutes, and a
/// high-priority job (j-1, 4 CPUs a task) that has waited for a second.
fn full_machine(saves: bool) -> Shard {
    let mut shard = shard_with(1, &[("large", 16.0)], 1, true);
    shard.wall_clock = NOW;
    shard.job_changed(0, "j-2", &backfill("j-2", saves), 2);
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    let known = shard.workers.machines.get_mut(machine).expect("there");
    known.is_persisted = true;
    known.last_report_at = Some(NOW);
    known.report_due = NOW + 10_000;
    let job = shard.jobs.table.find("j-2").expect("known");
    for task in 0..2 {
        shard.open_attempt(job, task, machine);
    }
    let attempts: Vec<AttemptIx> = shard.workers.attempts.iter().map(|(ix, _)| ix).collect();
    for ix in attempts {
        let attempt = shard.workers.attempts.get_mut(ix).expect("there");
        attempt.record = RecordState::Written;
        attempt.observed_state = Some(TaskState::Running);
        attempt.running_since = Some(NOW - 300_000);
    }
    let urgent = shard.jobs.table.find("j-1").expect("known");
    shard.jobs.table.get_mut(urgent).expect("there").shortage_since = Some(NOW - 1_000);
    shard
}

fn stops(shard: &Shard) -> Vec<f64> {
    shard
        .workers
        .attempts
        .iter()
        .filter_map(|(_, attempt)| attempt.stop_grace_s)
        .collect()
}

/// Guards against urgent work that waits for minutes beside idle work (inc-98dc,
/// inc-a48c, inc-7b1f): what saves loses little, however long it ran.
#[test]
fn a_task_that_saves_yields_however_long_it_ran_and_saves_first() {
    let mut shard = full_machine(true);
    shard.preempt(NOW);
    assert_eq!(stops(&shard), [3.0], "one is enough for a task of 4 CPUs");
    shard.preempt(NOW + PREEMPTION_INTERVAL_MS);
    assert_eq!(stops(&shard).len(), 1, "its resources is on its way");
}

#[test]
fn a_task_that_can_not_save_and_ran_long_is_not_stopped() {
    let mut shard = full_machine(false);
    shard.preempt(NOW);
    assert!(stops(&shard).is_empty());
}

/// Guards against best-effort work that by its age goes before all urgent work with
/// as many tasks as it has.
#[test]
fn best_effort_work_goes_first_by_its_age_only_until_one_task_runs() {
    let mut shard = shard_with(1, &[("large", 16.0)], 1, true);
    shard.job_changed(0, "j-2", &backfill("j-2", true), 2);
    let job = shard.jobs.table.find("j-2").expect("known");
    let machine = shard.add_machine(0, "host-1", "large", "north", true);
    assert!(shard.jobs.table.get(job).expect("there").has_age_priority(NOW));
    shard.open_attempt(job, 0, machine);
    let known = shard.jobs.table.get(job).expect("there");
    assert!(!known.has_age_priority(NOW));
    assert!(known.can_restart_in_time(NOW), "it is never due");
}
