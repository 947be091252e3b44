//! A shard with one machine whose worker reports, for tests of the effects of reports.

use crate::Millis;
use crate::controller::{Shard, shard_with};
use crate::ids::MachineIx;
use crate::wire::{ExitReason, Report, TaskReport, TaskState};
use crate::workers::{Machine, RecordState, ReportPath};

/// Returns a shard of term 5 with a machine whose worker has reported in agent epoch 1, and the
/// machine. A job of a single task has an open attempt there, whose record is written.
pub fn shard_with_worker() -> (Shard, MachineIx) {
    shard_with_worker_and_tasks(1)
}

/// Like [`shard_with_worker`], with a job of `tasks` tasks. As many of them are placed as fit, and
/// the record of the first one is written.
pub fn shard_with_worker_and_tasks(tasks: u32) -> (Shard, MachineIx) {
    let mut shard = shard_with(5, &[("small", 8.0)], tasks, false);
    shard.merge_report(
        0,
        &report(1, 1, 5, Vec::new()),
        ReportPath::CommandReply { commands_sent_at: 0 },
    );
    let machine = shard.workers.machines.find("host-1").expect("known machine");
    let machine_state = machine_of_mut(&mut shard, machine);
    machine_state.is_persisted = true;
    // The tests skip ahead in time without further reports.
    machine_state.report_due = Millis::MAX;
    shard.place(0);
    let attempt = machine_of(&shard, machine).open[0];
    shard.workers.attempts.get_mut(attempt).expect("open attempt").record = RecordState::Written;
    (shard, machine)
}

/// Returns a report of the worker on `host-1`.
pub fn report(agent_epoch: u64, seq: u64, fencing_token: u64, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: "host-1".into(),
        address: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        agent_epoch,
        seq,
        fencing_token,
        reclaim_in_s: None,
        tasks,
    }
}

/// Returns the entry of a report for the first attempt of the job's first task.
pub fn task_report(state: TaskState, exit_reason: Option<ExitReason>) -> TaskReport {
    TaskReport {
        task: "j-1/0".into(),
        attempt: 1,
        state,
        exit_reason,
    }
}

/// Returns the number of open attempts.
pub fn open_attempt_count(shard: &Shard) -> usize {
    shard.workers.attempts.iter().count()
}

/// Whether the machine may be given new tasks.
pub fn usable(shard: &Shard, machine: MachineIx, now: Millis) -> bool {
    machine_of(shard, machine).usable(now)
}

/// Returns the state of a machine.
pub fn machine_of(shard: &Shard, machine: MachineIx) -> &Machine {
    shard.workers.machines.get(machine).expect("known machine")
}

/// Returns the state of a machine, to be changed.
pub fn machine_of_mut(shard: &mut Shard, machine: MachineIx) -> &mut Machine {
    shard.workers.machines.get_mut(machine).expect("known machine")
}
