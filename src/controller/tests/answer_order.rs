//! Tests that no controller gives an older answer after another one has told a user that a job is
//! accepted, done or cancelled.
//!
//! In an independent review, the state service answered one controller 300 ms later than the others:
//! another one said "done", and up to 0.25 s later the slow one said "running" to a question that it
//! had received before. Each test asks a controller a question, lets the state service execute its
//! read, and then lets another controller tell something newer while the first one is slow, suspended
//! or cut off.

use super::cluster_fixture::*;
use super::user_fixture::{JOB, unfinished_job};
use super::*;
use crate::wire::JobState;

/// What keeps a controller from answering a question whose read has been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// The reply takes 300 ms.
    Slow,
    /// The reply takes 900 ms.
    VerySlow,
    /// The reply takes 300 ms, and the other controllers can't be reached.
    SlowAndCutFromPeers,
    /// The process stands still until a second after the newer answer.
    Suspended,
}

const TROUBLES: [Trouble; 4] = [
    Trouble::Slow,
    Trouble::VerySlow,
    Trouble::SlowAndCutFromPeers,
    Trouble::Suspended,
];

/// A question that may be answered with an older state.
#[derive(Clone, Copy, Debug)]
enum Question {
    Poll,
    RepeatedSubmission,
}

fn job_key() -> String {
    format!("live/pool/job/{JOB}")
}

pub fn catalogue() -> (String, serde_json::Value) {
    let catalogue = serde_json::json!({"rigs": [{"name": "small", "cores": 8.0, "cards": 0, "memGb": 32.0,
        "cacheGb": 50.0, "pullGbPerS": 1.0, "hourly": 1.0, "spotPrice": 0.5, "bootS": 10.0, "yards": ["north"]}]});
    ("live/pool/catalogue".into(), catalogue)
}

pub fn cluster_with_job() -> Cluster {
    Cluster::new(vec![catalogue(), (job_key(), serde_json::json!(unfinished_job()))])
}

pub fn submission() -> UserRequest {
    UserRequest::Submit(serde_json::json!(unfinished_job().spec).to_string())
}

pub fn poll() -> UserRequest {
    UserRequest::Show(JOB.into())
}

/// The leader and two followers.
pub fn roles(cluster: &Cluster) -> (usize, usize, usize) {
    let leader = cluster.leader();
    (leader, (leader + 1) % 3, (leader + 2) % 3)
}

pub fn standing(given: &GivenAnswer) -> Option<String> {
    let body: serde_json::Value = serde_json::from_str(&given.answer.body).expect("json");
    Some(body["standing"].as_str()?.to_owned())
}

/// Writes the end of the job as the leader does when its last task is done.
pub fn finish_job(cluster: &mut Cluster) {
    let mut ended = unfinished_job();
    ended.ended = Some(JobState::Done);
    cluster.write(
        &format!("kept/pool/end/{JOB}"),
        serde_json::json!({"state": "done", "done": 1}),
    );
    cluster.write(&job_key(), serde_json::json!(ended));
}

/// Begins the trouble of a controller.
fn begin(cluster: &mut Cluster, node: usize, trouble: Trouble) {
    let node = &mut cluster.nodes[node];
    match trouble {
        Trouble::Slow => node.slow_ms = 300,
        Trouble::VerySlow => node.slow_ms = 900,
        Trouble::SlowAndCutFromPeers => {
            node.slow_ms = 300;
            node.is_cut_from_peers = true;
        }
        // The read is sent and executed before the process stands still.
        Trouble::Suspended => {}
    }
}

/// Asks the controller in trouble and lets the state service execute its read.
fn ask_in_trouble(cluster: &mut Cluster, node: usize, trouble: Trouble, question: Question) -> u64 {
    begin(cluster, node, trouble);
    // A poll before it keeps the confirming reads of a slow controller busy.
    cluster.ask(node, poll());
    cluster.run(20);
    let request = match question {
        Question::Poll => cluster.ask(node, poll()),
        Question::RepeatedSubmission => cluster.ask(node, submission()),
    };
    cluster.run(10);
    cluster.nodes[node].is_suspended = trouble == Trouble::Suspended;
    request
}

/// Ends the trouble a second later and returns the answers that the controller gave after `told_at`.
fn later_answers(cluster: &mut Cluster, node: usize, told_at: Millis) -> Vec<GivenAnswer> {
    cluster.run(1_000);
    cluster.nodes[node].is_suspended = false;
    cluster.run(3_000);
    let given = cluster.answers.iter();
    given
        .filter(|given| given.node == node && given.at >= told_at)
        .cloned()
        .collect()
}

/// Asserts that none of the answers contradicts the end of the job.
fn assert_none_is_older(later: &[GivenAnswer], end: &str, case: &str) {
    for given in later {
        let is_newer = standing(given).is_none_or(|standing| standing == end);
        assert!(is_newer, "{case}: {given:?}");
        assert!(!matches!(given.answer.status, 400 | 404 | 422), "{case}: {given:?}");
    }
}

/// Asks a controller again and again, as users do, until it says that the job has ended so.
fn wait_until_told(cluster: &mut Cluster, node: usize, end: &str) -> Millis {
    for _ in 0..50 {
        let request = cluster.ask(node, poll());
        let given = cluster.run_until_answered(request, 2_500).expect("an answer");
        if standing(&given).as_deref() == Some(end) {
            return given.at;
        }
        cluster.run(50);
    }
    panic!("the end is never told");
}

/// Guards against an older answer after a poll was answered "done" by another controller.
#[test]
fn no_controller_calls_a_job_unfinished_after_another_one_called_it_done() {
    for trouble in TROUBLES {
        for question in [Question::Poll, Question::RepeatedSubmission] {
            let mut cluster = cluster_with_job();
            let (_, teller, troubled) = roles(&cluster);
            ask_in_trouble(&mut cluster, troubled, trouble, question);
            finish_job(&mut cluster);
            let told_at = wait_until_told(&mut cluster, teller, "done");
            let later = later_answers(&mut cluster, troubled, told_at);
            assert_none_is_older(&later, "done", &format!("{trouble:?}, {question:?}"));
        }
    }
}

/// Guards against the same after a repeated submission was answered "done".
#[test]
fn a_repeated_submission_tells_an_end_only_when_no_older_answer_can_follow() {
    for trouble in TROUBLES {
        let mut cluster = cluster_with_job();
        let (leader, teller, troubled) = roles(&cluster);
        ask_in_trouble(&mut cluster, troubled, trouble, Question::Poll);
        finish_job(&mut cluster);
        cluster.run(200);
        for node in [leader, teller] {
            let request = cluster.ask(node, submission());
            let given = cluster.run_until_answered(request, 4_000).expect("an answer");
            assert_eq!(standing(&given).as_deref(), Some("done"), "{trouble:?}");
            let later = later_answers(&mut cluster, troubled, given.at);
            assert_none_is_older(&later, "done", &format!("{trouble:?}"));
        }
    }
}

/// Guards against the same after a cancellation was confirmed, by the leader or relayed by a follower.
#[test]
fn no_controller_calls_a_job_unfinished_after_another_one_called_it_cancelled() {
    for trouble in TROUBLES {
        for question in [Question::Poll, Question::RepeatedSubmission] {
            for is_relayed in [false, true] {
                let mut cluster = cluster_with_job();
                let (leader, follower, troubled) = roles(&cluster);
                ask_in_trouble(&mut cluster, troubled, trouble, question);
                let node = if is_relayed { follower } else { leader };
                let request = cluster.ask(node, UserRequest::Cancel(JOB.into()));
                let given = cluster.run_until_answered(request, 5_000).expect("an answer");
                assert_eq!(standing(&given).as_deref(), Some("aborted"), "{trouble:?}");
                let later = later_answers(&mut cluster, troubled, given.at);
                assert_none_is_older(&later, "aborted", &format!("{trouble:?}, {question:?}"));
            }
        }
    }
}

/// Guards against a controller that says that a job is unknown, or refuses its submission, after another
/// one called it accepted.
#[test]
fn no_controller_denies_a_job_after_another_one_called_it_accepted() {
    let malformed = UserRequest::Submit(format!("{{\"id\": \"{JOB}\"}}"));
    for trouble in TROUBLES {
        for question in [poll(), malformed.clone()] {
            let mut cluster = Cluster::new(vec![catalogue()]);
            let (leader, _, troubled) = roles(&cluster);
            begin(&mut cluster, troubled, trouble);
            // A malformed submission is forwarded to the leader unless that can't be reached.
            cluster.ask(troubled, question.clone());
            cluster.run(30);
            cluster.nodes[troubled].is_suspended = trouble == Trouble::Suspended;
            let request = cluster.ask(leader, submission());
            let given = cluster.run_until_answered(request, 4_000).expect("an answer");
            assert!(matches!(given.answer.status, 200 | 201), "{trouble:?}");
            let later = later_answers(&mut cluster, troubled, given.at);
            let is_denial = |given: &&GivenAnswer| matches!(given.answer.status, 400 | 404 | 422);
            assert_eq!(
                later.iter().find(is_denial).map(|given| &given.answer),
                None,
                "{trouble:?}, {question:?}"
            );
        }
    }
}
