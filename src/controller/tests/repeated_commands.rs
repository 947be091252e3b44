//! Tests that a second copy of a direct command, carried out after the first one was answered, starts
//! no attempt again, whatever has happened to its task in between.

use super::answer_order::*;
use super::cluster_fixture::*;
use super::worker_stand_in::WorkerStandIn;
use super::*;
use crate::wire::{Command, ExitReason};
use std::collections::BTreeSet;

/// `cancel_s` of the settings and some more.
const AFTER_CANCEL_DEADLINE_MS: Millis = 70_000;

/// Returns a cluster with two machines, on one of which the only task of a job runs, and the index of
/// its worker.
fn cluster_with_running_task() -> (Cluster, usize) {
    let mut cluster = cluster_with_workers();
    submit(&mut cluster);
    cluster.run(3_000);
    let worker = cluster.workers.iter().position(|worker| !worker.started.is_empty());
    (cluster, worker.expect("a running task"))
}

fn cluster_with_workers() -> Cluster {
    let names = ["host-1", "host-2"];
    let machines = names.map(|name| serde_json::json!([name, "small", "north", false, name]));
    let group = serde_json::json!({ "machines": machines });
    let mut cluster = Cluster::new(vec![catalogue(), ("kept/pool/roster/g-1".into(), group)]);
    cluster.workers = names.map(WorkerStandIn::new).into();
    cluster.run(2_000);
    cluster
}

fn submit(cluster: &mut Cluster) {
    let leader = cluster.leader();
    cluster.ask(leader, submission());
}

/// Carries out each direct command that any worker has received once more, and checks that no attempt
/// runs a second time.
fn assert_no_copy_starts_an_attempt(cluster: &mut Cluster) {
    for worker in &mut cluster.workers {
        assert!(worker.received.iter().any(|commands| !commands.commands.is_empty()));
        worker.receive_all_again(cluster.now);
        let attempts: BTreeSet<_> = worker.started.iter().collect();
        assert_eq!(
            attempts.len(),
            worker.started.len(),
            "{}: {:?}",
            worker.name,
            worker.started
        );
    }
}

/// Whether any worker has been told to forget an attempt.
fn has_forgotten(cluster: &Cluster) -> bool {
    cluster.workers.iter().any(|worker| !worker.forgotten.is_empty())
}

fn was_started_directly(worker: &WorkerStandIn) -> bool {
    let mut commands = worker.received.iter().flat_map(|received| &received.commands);
    commands.any(|command| matches!(command, Command::Start { .. }))
}

/// Guards against a task that runs on two machines: it failed, was moved, and a copy of its first start arrived.
#[test]
fn a_copy_of_a_start_does_not_run_a_task_that_was_moved() {
    let (mut cluster, first) = cluster_with_running_task();
    assert!(was_started_directly(&cluster.workers[first]));
    cluster.workers[first].end_tasks(ExitReason::Error);
    cluster.run(8_000);
    assert!(has_forgotten(&cluster) && !cluster.workers[1 - first].started.is_empty());
    assert_no_copy_starts_an_attempt(&mut cluster);
}

/// Guards against a start after the confirmed cancellation, also over `cancel_s` later.
#[test]
fn a_copy_of_a_start_does_not_run_a_task_that_was_cancelled() {
    for after_ms in [3_000, AFTER_CANCEL_DEADLINE_MS] {
        let (mut cluster, first) = cluster_with_running_task();
        let leader = cluster.leader();
        let cancellation = cluster.ask(leader, UserRequest::Cancel(super::user_fixture::JOB.into()));
        cluster.run(after_ms);
        let told = cluster.answer_to(cancellation).expect("an answer");
        assert_eq!(standing(&told).as_deref(), Some("aborted"));
        assert!(has_forgotten(&cluster));
        cluster.workers[first].receive_all_again(cluster.now);
        assert_eq!(
            cluster.workers[first].started.len(),
            1,
            "{after_ms} ms after the cancellation"
        );
    }
}

/// Guards against a refused start that succeeds the second time, when there is room again.
#[test]
fn a_copy_of_a_refused_start_does_not_run_its_task() {
    let mut cluster = cluster_with_workers();
    cluster
        .workers
        .iter_mut()
        .for_each(|worker| worker.refuses_starts = true);
    submit(&mut cluster);
    cluster.run(5_000);
    assert!(has_forgotten(&cluster));
    cluster
        .workers
        .iter_mut()
        .for_each(|worker| worker.refuses_starts = false);
    cluster.run(5_000);
    let started = |cluster: &Cluster| cluster.workers.iter().map(|worker| worker.started.len()).sum::<usize>();
    assert_eq!(started(&cluster), 1);
    let now = cluster.now;
    cluster
        .workers
        .iter_mut()
        .for_each(|worker| worker.receive_all_again(now));
    assert_eq!(started(&cluster), 1);
}
