//! Tests that no older answer is given late: by a controller that passes it on, that asked before it
//! denied a job, or that was no member in between.

use super::answer_order::*;
use super::cluster_fixture::*;
use super::user_fixture::JOB;
use super::*;

/// Returns whether `given` was given after `told` and calls the job unfinished.
fn is_older(given: &GivenAnswer, told: &GivenAnswer) -> bool {
    given.at >= told.at && standing(given).is_some_and(|standing| standing != "done")
}

/// Guards against an unfinished state that the leader gave another controller to pass on, and that
/// reaches the user after the leader or a third controller told the end. The one that passes it on
/// can't reach the state service, so it is no member and nobody asks it. It is suspended for longer
/// and longer while the leader's answer arrives.
#[test]
fn an_answer_that_is_passed_on_is_not_older_than_an_end_told_meanwhile() {
    for suspended_ms in (0..=200).step_by(10).chain([1_000, 3_000]) {
        for is_leader_asked in [false, true] {
            let mut cluster = cluster_with_job();
            let (leader, follower, relaying) = roles(&cluster);
            let teller = if is_leader_asked { leader } else { follower };
            cluster.nodes[relaying].is_refused = true;
            cluster.run(5_000);
            let passed_on = cluster.ask(relaying, submission());
            // The request reaches the leader, which reads and answers. Its answer is on its way.
            cluster.run(30);
            cluster.nodes[relaying].is_suspended = true;
            finish_job(&mut cluster);
            let poll = cluster.ask(teller, poll());
            cluster.run(suspended_ms);
            cluster.nodes[relaying].is_suspended = false;
            cluster.run(3_000);
            let told = cluster.answer_to(poll).expect("an answer");
            assert_eq!(standing(&told).as_deref(), Some("done"));
            let given = cluster.answer_to(passed_on).expect("an answer");
            assert!(!is_older(&given, &told), "{suspended_ms} ms: {told:?}, then {given:?}");
        }
    }
}

/// Guards against a denial that reaches the user after the acceptance: the other members have confirmed
/// that the job is unknown, and the controller that asked them is suspended for a short time.
#[test]
fn a_job_is_not_accepted_while_a_denial_may_be_on_its_way() {
    for suspended_ms in (0..=300).step_by(10) {
        let mut cluster = Cluster::new(vec![catalogue()]);
        let (leader, _, denying) = roles(&cluster);
        let denial = cluster.ask(denying, poll());
        // Both reads are answered and the members are asked.
        cluster.run(40);
        cluster.nodes[denying].is_suspended = true;
        let submitted = cluster.ask(leader, submission());
        cluster.run(suspended_ms);
        cluster.nodes[denying].is_suspended = false;
        cluster.run(4_000);
        let accepted = cluster.answer_to(submitted).expect("an answer");
        assert!(matches!(accepted.answer.status, 200 | 201), "{accepted:?}");
        let given = cluster.answer_to(denial).expect("an answer");
        let is_older = given.answer.status == 404 && given.at >= accepted.at;
        assert!(!is_older, "{suspended_ms} ms: {accepted:?}, then {given:?}");
    }
}

/// Guards against an older answer of a controller whose membership has ended, so that nobody asks it,
/// while its reads are still answered.
#[test]
fn a_controller_that_is_no_member_gives_no_unfinished_state() {
    let mut cluster = cluster_with_job();
    let (_, teller, former) = roles(&cluster);
    cluster.nodes[former].has_leases_refused = true;
    cluster.run(5_000);
    cluster.nodes[former].slow_ms = 300;
    let old = cluster.ask(former, poll());
    cluster.run(30);
    finish_job(&mut cluster);
    let poll = cluster.ask(teller, poll());
    cluster.run(3_000);
    let told = cluster.answer_to(poll).expect("an answer");
    let given = cluster.answer_to(old).expect("an answer");
    assert!(!is_older(&given, &told), "{told:?}, then {given:?}");
}

/// Guards against the same by a controller that has become a member again between its read and the
/// reply to it.
#[test]
fn a_read_sent_before_the_registration_is_not_used() {
    let mut cluster = cluster_with_job();
    let (_, teller, former) = roles(&cluster);
    cluster.nodes[former].has_leases_refused = true;
    cluster.run(5_000);
    cluster.nodes[former].slow_reads_ms = 900;
    let old = cluster.ask(former, poll());
    cluster.run(30);
    finish_job(&mut cluster);
    let poll = cluster.ask(teller, poll());
    cluster.run(100);
    cluster.nodes[former].has_leases_refused = false;
    cluster.run(3_000);
    let told = cluster.answer_to(poll).expect("an answer");
    let given = cluster.answer_to(old).expect("an answer");
    assert!(!is_older(&given, &told), "{told:?}, then {given:?}");
}

/// Guards against a denial that the leader gave another controller to pass on, and that reaches the user
/// after the leader itself accepted the job. The one that passes it on is suspended for a short time.
#[test]
fn a_denial_that_is_passed_on_is_not_older_than_an_acceptance() {
    let malformed = UserRequest::Submit(format!("{{\"id\": \"{JOB}\"}}"));
    for asked_after_ms in (40..=80).step_by(10) {
        for suspended_ms in (0..=200).step_by(10) {
            let mut cluster = Cluster::new(vec![catalogue()]);
            let (leader, relaying, _) = roles(&cluster);
            let denial = cluster.ask(relaying, malformed.clone());
            // The leader reads, asks the members and answers.
            cluster.run(asked_after_ms);
            cluster.nodes[relaying].is_suspended = true;
            let submitted = cluster.ask(leader, submission());
            cluster.run(suspended_ms);
            cluster.nodes[relaying].is_suspended = false;
            cluster.run(4_000);
            let accepted = cluster.answer_to(submitted).expect("an answer");
            assert!(matches!(accepted.answer.status, 200 | 201), "{accepted:?}");
            let given = cluster.answer_to(denial).expect("an answer");
            let is_older = given.answer.status == 400 && given.at >= accepted.at;
            assert!(!is_older, "{suspended_ms} ms: {accepted:?}, then {given:?}");
        }
    }
}
