//! Tests that users don't wait longer than necessary for the controllers that are asked before an answer.

use super::answer_order::*;
use super::cluster_fixture::*;
use super::user_fixture::JOB;
use super::*;

/// An unknown job is called unknown as long as all members can be asked, also by a slow controller.
#[test]
fn an_unknown_job_is_not_found_while_the_members_can_be_asked() {
    let mut cluster = Cluster::new(vec![catalogue()]);
    let (_, follower, slow) = roles(&cluster);
    cluster.nodes[slow].slow_ms = 300;
    for node in [follower, slow] {
        let request = cluster.ask(node, poll());
        let given = cluster.run_until_answered(request, 2_000).expect("an answer");
        assert_eq!(given.answer.status, 404);
    }
}

/// Users must not wait for a controller that is down. Its membership ends some seconds later; from then
/// on an end is told as soon as it is known.
#[test]
fn an_end_is_told_at_once_while_a_controller_is_down() {
    let mut cluster = cluster_with_job();
    let (leader, follower, down) = roles(&cluster);
    cluster.end(down);
    cluster.run(5_000);
    let cancelled_at = cluster.now;
    let request = cluster.ask(leader, UserRequest::Cancel(JOB.into()));
    let given = cluster.run_until_answered(request, 5_000).expect("an answer");
    assert_eq!(standing(&given).as_deref(), Some("aborted"));
    assert!(given.at < cancelled_at + 300, "{} ms", given.at - cancelled_at);

    let mut cluster = cluster_with_job();
    cluster.end(down);
    cluster.run(5_000);
    finish_job(&mut cluster);
    let finished_at = cluster.now;
    let request = cluster.ask(follower, poll());
    let given = cluster.run_until_answered(request, 2_000).expect("an answer");
    assert_eq!(standing(&given).as_deref(), Some("done"));
    assert!(given.at < finished_at + 100, "{} ms", given.at - finished_at);
}

/// A controller that does not reply is waited for only until it must have noticed that what it read is
/// too old.
#[test]
fn an_end_is_told_in_time_while_a_controller_is_suspended_or_cut_off() {
    for is_suspended in [true, false] {
        let mut cluster = cluster_with_job();
        let (_, teller, silent) = roles(&cluster);
        cluster.nodes[silent].is_suspended = is_suspended;
        cluster.nodes[silent].is_cut_from_peers = !is_suspended;
        cluster.run(500);
        finish_job(&mut cluster);
        let finished_at = cluster.now;
        let request = cluster.ask(teller, poll());
        let given = cluster.run_until_answered(request, 2_000).expect("an answer");
        assert_eq!(standing(&given).as_deref(), Some("done"));
        assert!(given.at < finished_at + 1_500, "{} ms", given.at - finished_at);
    }
}

/// A controller answers as soon as it has become a member again after a suspension.
#[test]
fn a_controller_answers_again_after_a_long_suspension() {
    let mut cluster = cluster_with_job();
    let (_, _, suspended) = roles(&cluster);
    cluster.nodes[suspended].is_suspended = true;
    cluster.run(10_000);
    cluster.nodes[suspended].is_suspended = false;
    cluster.run(500);
    let request = cluster.ask(suspended, poll());
    let given = cluster.run_until_answered(request, 2_000).expect("an answer");
    assert_eq!(standing(&given).as_deref(), Some("queued"));
}
