//! Benchmarks of the parts of a controller: the time and the allocations that each takes with
//! 2,000 machines, 8,000 open tasks and 400 unfinished jobs. The results are in docs/results.md.
//!
//! `cargo bench --bench costs` runs all of them, `cargo bench --bench costs -- report` those with
//! `report` in their name.

mod follower_costs;
mod harness;
mod leader_costs;

use divan::{AllocProfiler, Bencher, black_box};
use harness::{Harness, MACHINES, TERM, peer_input, report};
use sumacbend::controller::{Input, Shard};
use sumacbend::peers::{Message, RelayedReport, RelayedReportReply, ReportReply, UserRequest};
use sumacbend::policy::Policy;
use sumacbend::store::Keys;
use sumacbend::wire::{Condition, ListedMachine, MachineList, MachineState, Report, ReportAnswer};
use sumacbend::workers::ReportPath;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// The number of reports in one frame between controllers.
const REPORTS_PER_FRAME: usize = 64;

fn main() {
    divan::main();
}

/// Returns a report of machine 1, as the JSON that its worker sends.
fn json_report(seq: u64) -> Vec<u8> {
    serde_json::to_vec(&report(1, seq)).expect("encodable as JSON")
}

/// Returns a leader that has received a report from every machine.
fn leader_with_reports() -> Harness {
    let mut harness = Harness::new(false);
    for machine in 0..MACHINES {
        harness.step(relay_reports(machine, 1, 100));
    }
    for _ in 0..40 {
        harness.tick_after(50);
    }
    harness
}

/// Returns a peer's message that relays one report each of `count` machines, starting with
/// machine `first`.
fn relay_reports(first: usize, count: usize, seq: u64) -> Input {
    let reports = (first..first + count).map(|machine| RelayedReport {
        id: machine as u64,
        report: report(machine % MACHINES, seq),
    });
    peer_input(Message::RelayReports {
        shard: "pool".into(),
        reports: reports.collect(),
    })
}

/// Returns a leader's state of the shard, without a controller: all machines have reported and
/// have no tasks, and `jobs` jobs are waiting.
fn shard_with_waiting_jobs(jobs: usize, priority: &str) -> Shard {
    let mut shard = Shard::new("pool", TERM, &harness::settings(), &Policy::default());
    shard.set_catalogue(&harness::catalogue());
    for machine in 0..MACHINES {
        shard.add_machine(0, &harness::machine_name(machine), "pantry-rack", "north", true);
        let report_without_tasks = Report {
            tasks: Vec::new(),
            ..report(machine, 1)
        };
        shard.merge_report(
            0,
            &report_without_tasks,
            ReportPath::CommandReply { commands_sent_at: 0 },
        );
    }
    for ix in shard.workers.machines.indices() {
        if let Some(machine) = shard.workers.machines.get_mut(ix) {
            machine.is_persisted = true;
            // Placement rounds advance the time by seconds without new reports, which must not make
            // machines overdue.
            machine.report_due = u64::MAX;
        }
    }
    for number in 0..jobs {
        let key = harness::job_key(number, priority);
        shard.job_changed(0, &key.spec.id, &key, 1);
    }
    shard
}

/// Runs enough placement rounds to fill all machines. Returns the time after the last round, in
/// milliseconds.
fn fill_machines(shard: &mut Shard) -> u64 {
    let mut now = 0;
    for _ in 0..100 {
        shard.place(now);
        now += 2_000;
    }
    now
}

/// Writes a log line of an enabled level to a sink.
#[divan::bench]
fn log_line(bencher: Bencher<'_, '_>) {
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::sink).finish();
    tracing::subscriber::with_default(subscriber, || {
        bencher.bench_local(|| tracing::info!(machine = "host-000001", reason = "silent", "decommissioning a machine"));
    });
}
