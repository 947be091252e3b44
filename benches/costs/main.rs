//! What the parts of a controller cost: time and allocations for each, with 2,000
//! machines, 8,000 open tasks and 400 unfinished jobs. docs/results.md has the table.
//!
//! `cargo bench --bench costs`, or `cargo bench --bench costs -- report` for some.

mod follower_costs;
mod harness;
mod leader_costs;

use divan::{AllocProfiler, Bencher, black_box};
use harness::{Harness, MACHINES, TERM, peer, report};
use sumacbend::controller::{Input, Shard};
use sumacbend::peers::{Message, RelayedReport, RelayedReportReply, ReportReply, UserRequest};
use sumacbend::policy::Policy;
use sumacbend::store::Keys;
use sumacbend::wire::{Condition, ListedMachine, MachineList, MachineState, Report, ReportAnswer};
use sumacbend::workers::ReportPath;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Reports in one frame between controllers.
const BATCH: usize = 64;

fn main() {
    divan::main();
}

fn json_report(seq: u64) -> Vec<u8> {
    serde_json::to_vec(&report(1, seq)).expect("written")
}

/// A leader that has heard all machines.
fn leader() -> Harness {
    let mut harness = Harness::new(false);
    for machine in 0..MACHINES {
        harness.step(relay(machine, 1, 100));
    }
    for _ in 0..40 {
        harness.pass(50);
    }
    harness
}

fn relay(first: usize, count: usize, seq: u64) -> Input {
    let reports = (first..first + count).map(|machine| RelayedReport {
        id: machine as u64,
        report: report(machine % MACHINES, seq),
    });
    peer(Message::RelayReports {
        shard: "pool".into(),
        reports: reports.collect(),
    })
}

/// A leader's state without the leader: all machines heard, and jobs that wait.
fn shard(jobs: usize, priority: &str) -> Shard {
    let mut shard = Shard::new("pool", TERM, &harness::settings(), &Policy::default());
    shard.set_catalogue(&harness::catalogue());
    for machine in 0..MACHINES {
        shard.add_machine(0, &harness::machine_name(machine), "pantry-rack", "north", true);
        let heard = Report {
            tasks: Vec::new(),
            ..report(machine, 1)
        };
        shard.merge_report(0, &heard, ReportPath::CommandReply);
    }
    for ix in shard.workers.machines.indices() {
        if let Some(machine) = shard.workers.machines.get_mut(ix) {
            machine.is_persisted = true;
            // The rounds below jump ahead in time.
            machine.report_due = u64::MAX;
        }
    }
    for number in 0..jobs {
        let key = harness::job_key(number, priority);
        shard.job_changed(0, &key.spec.id, &key, 1);
    }
    shard
}

/// Places tasks until no machine has room. Gives the time at which that is so.
fn fill(shard: &mut Shard) -> u64 {
    let mut now = 0;
    for _ in 0..100 {
        shard.place(now);
        now += 2_000;
    }
    now
}

/// A line at the level that is written.
#[divan::bench]
fn log_line(bencher: Bencher<'_, '_>) {
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::sink).finish();
    tracing::subscriber::with_default(subscriber, || {
        bencher.bench_local(|| tracing::info!(machine = "host-000001", reason = "silent", "decommissioning a machine"));
    });
}
