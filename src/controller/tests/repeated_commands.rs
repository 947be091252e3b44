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

/// Guards against the same by the other route: relayed by a peer, or sent by a leader that reaches no peer.
#[test]
fn a_copy_of_a_start_runs_nothing_on_either_route() {
    for is_relayed in [true, false] {
        let mut cluster = cluster_with_workers();
        let leader = cluster.leader();
        if !is_relayed {
            cluster.nodes[leader].is_cut_from_peers = true;
            cluster.workers.iter_mut().for_each(|worker| worker.report_to(leader));
            // The next reports are not due while the job is submitted.
            cluster.run(3_300);
        }
        submit(&mut cluster);
        cluster.run(3_000);
        let first = cluster.workers.iter().position(|worker| !worker.started.is_empty());
        let first = first.expect("a running task");
        assert!(was_started_directly(&cluster.workers[first]));
        assert_eq!(cluster.workers[first].senders.last() != Some(&leader), is_relayed);
        cluster.workers[first].end_tasks(ExitReason::Error);
        cluster.run(8_000);
        assert!(has_forgotten(&cluster));
        cluster.workers[first].receive_all_again(cluster.now);
        let attempts: BTreeSet<_> = cluster.workers[first].started.iter().collect();
        assert_eq!(attempts.len(), cluster.workers[first].started.len());
    }
}

/// Guards against copies of a former leader's starts, also if the same controller leads again at once.
#[test]
fn a_copy_of_a_start_runs_nothing_after_a_change_of_leader() {
    for is_back_at_once in [true, false] {
        for ended_before_ms in [0, 3_000] {
            let (mut cluster, first) = cluster_with_running_task();
            let leader = cluster.leader();
            cluster.workers[first].end_tasks(ExitReason::Error);
            cluster.run(ended_before_ms);
            if is_back_at_once {
                cluster.restart(leader);
            } else {
                cluster.end(leader);
            }
            cluster.run(20_000);
            assert!(has_forgotten(&cluster));
            assert_no_copy_starts_an_attempt(&mut cluster);
        }
    }
}

/// Guards against the same on a machine that is back within a second, in its former agent epoch.
#[test]
fn a_copy_of_a_start_runs_nothing_on_a_machine_that_was_silent() {
    let (mut cluster, first) = cluster_with_running_task();
    cluster.workers[first].end_tasks(ExitReason::Error);
    cluster.workers[first].is_silent = true;
    cluster.run(1_000);
    cluster.workers[first].is_silent = false;
    cluster.run(10_000);
    assert!(has_forgotten(&cluster));
    assert_no_copy_starts_an_attempt(&mut cluster);
}

/// Guards against exited tasks that stay listed for ever, and against answers that the worker drops.
#[test]
fn every_exited_task_is_forgotten_although_copies_may_come() {
    let (mut cluster, first) = cluster_with_running_task();
    for _ in 0..20 {
        for worker in &mut cluster.workers {
            worker.end_tasks(ExitReason::Stopped);
        }
        cluster.run(4_000);
    }
    let running = |worker: &WorkerStandIn| worker.started.len() - worker.forgotten.len();
    assert!(cluster.workers[first].started.len() > 1);
    assert!(cluster.workers.iter().map(running).sum::<usize>() <= 2);
    assert!(cluster.workers.iter().all(|worker| worker.dropped_answers == 0));
}
