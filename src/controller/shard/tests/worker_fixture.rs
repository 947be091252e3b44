//! A shard with one machine whose worker reports, for the tests of what reports do.

use crate::Millis;
use crate::controller::{Shard, shard_with};
use crate::ids::MachineIx;
use crate::wire::{ExitReason, Report, TaskReport, TaskState};
use crate::workers::{Machine, RecordState, ReportPath};

/// A shard of term 5 with one machine heard in agent epoch 1 and one job of a
/// single task placed and written there.
pub fn shard() -> (Shard, MachineIx) {
    shard_of(1)
}

/// The same with a job of so many tasks.
pub fn shard_of(tasks: u32) -> (Shard, MachineIx) {
    let mut shard = shard_with(5, &[("small", 8.0)], tasks, false);
    shard.merge_report(0, &report(1, 1, 5, Vec::new()), ReportPath::CommandReply);
    let machine = shard.workers.machines.find("host-1").expect("known");
    let known = machine_of_mut(&mut shard, machine);
    known.is_persisted = true;
    // The tests jump ahead in time.
    known.report_due = Millis::MAX;
    shard.place(0);
    let attempt = machine_of(&shard, machine).open[0];
    shard.workers.attempts.get_mut(attempt).expect("open").record = RecordState::Written;
    (shard, machine)
}

/// A report of the machine's worker.
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
        notice_s: None,
        tasks,
    }
}

/// The first attempt at the job's first task, as a report lists it.
pub fn task(state: TaskState, exit_reason: Option<ExitReason>) -> TaskReport {
    TaskReport {
        task: "j-1/0".into(),
        attempt: 1,
        state,
        exit_reason,
    }
}

/// How many attempts are open.
pub fn open(shard: &Shard) -> usize {
    shard.workers.attempts.iter().count()
}

/// Whether the machine may be given new tasks.
pub fn usable(shard: &Shard, machine: MachineIx, now: Millis) -> bool {
    machine_of(shard, machine).usable(now)
}

/// What is known of a machine.
pub fn machine_of(shard: &Shard, machine: MachineIx) -> &Machine {
    shard.workers.machines.get(machine).expect("there")
}

/// What is known of a machine, to be changed.
pub fn machine_of_mut(shard: &mut Shard, machine: MachineIx) -> &mut Machine {
    shard.workers.machines.get_mut(machine).expect("there")
}
