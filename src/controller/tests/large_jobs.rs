//! Submissions whose descriptions the state service can't store.

use super::user_fixture::*;
use super::*;
use crate::store::encoded_size;
use crate::wire::JobState;

const VALUE_BYTES: usize = 16 * 1024;

/// Returns a job whose stored description takes this many bytes while it is unfinished.
fn job_of_size(bytes: usize) -> JobKey {
    let mut key = unfinished_job();
    key.spec.types = Some(vec!["small".into(), String::new()]);
    let padding = bytes - encoded_size(&key);
    key.spec.types = Some(vec!["small".into(), "x".repeat(padding)]);
    key
}

fn submit(fixture: &mut Fixture, key: &JobKey) -> Vec<Output> {
    let body = serde_json::json!(key.spec).to_string();
    fixture.send_user_request(SUBMISSION, UserRequest::Submit(body))
}

/// The transactions among these outputs, with their call ids.
fn transactions(outputs: &[Output]) -> Vec<(u64, &Transaction)> {
    let calls = outputs.iter().filter_map(|output| match output {
        Output::Store {
            call,
            request: StoreRequest::Transact(transaction),
        } => Some((*call, &**transaction)),
        _ => None,
    });
    calls.collect()
}

/// Answers the confirming read among these outputs, and then the read of the job's end, from a
/// state service that knows no job.
fn answer_reads_with_nothing(fixture: &mut Fixture, outputs: &[Output]) -> Vec<Output> {
    let outputs = fixture.reply(last_store_call(outputs), empty_log_reply());
    fixture.reply(last_store_call(&outputs), StoreReply::Missing)
}

fn status_of_submission(outputs: &[Output]) -> Option<u16> {
    answer_to(outputs, SUBMISSION).map(|answer| answer.status)
}

/// Guards against a user who is told for a minute that the state service can't be reached: it is
/// reached, and rejects the description each time.
#[test]
fn a_description_that_cannot_be_stored_is_refused_without_a_write() {
    let mut fixture = Fixture::new(page_without_job(), None);
    let outputs = submit(&mut fixture, &job_of_size(22 * 1024));
    assert!(transactions(&outputs).is_empty());
    let outputs = answer_reads_with_nothing(&mut fixture, &outputs);
    assert_eq!(status_of_submission(&outputs), Some(422));
}

/// Guards against a job that is accepted and can't be cancelled or ended, because its key grows by
/// how it ended.
#[test]
fn an_accepted_job_can_be_stored_in_every_form() {
    let mut longest = None;
    for bytes in VALUE_BYTES - 60..=VALUE_BYTES + 1 {
        let mut fixture = Fixture::new(page_without_job(), None);
        let key = job_of_size(bytes);
        let outputs = submit(&mut fixture, &key);
        if !transactions(&outputs).is_empty() {
            longest = Some(key);
        }
    }
    let mut longest = longest.expect("an accepted job");
    longest.ended = Some(JobState::Done);
    assert!(encoded_size(&longest) <= VALUE_BYTES);
    longest.ended = Some(JobState::Cancelled);
    assert_eq!(encoded_size(&longest), VALUE_BYTES, "no shorter description is refused");
}

/// The limits of the state service may be lower than the settings say.
#[test]
fn a_description_that_the_state_service_rejects_is_refused_for_good() {
    let mut fixture = Fixture::new(page_without_job(), None);
    let outputs = submit(&mut fixture, &unfinished_job());
    let (call, _) = transactions(&outputs)[0];
    let reason = "too large".into();
    let outputs = fixture.reply(call, StoreReply::Rejected { reason });
    assert_eq!(status_of_submission(&outputs), None, "the job may be known already");
    let outputs = answer_reads_with_nothing(&mut fixture, &outputs);
    assert_eq!(status_of_submission(&outputs), Some(422));
}

/// Guards against a repeated submission of an accepted job that is answered as refused.
#[test]
fn a_known_job_is_not_refused_for_its_size() {
    let mut fixture = Fixture::new(page_with_job(), None);
    let outputs = submit(&mut fixture, &job_of_size(22 * 1024));
    let outputs = fixture.reply(last_store_call(&outputs), empty_log_reply());
    assert_eq!(status_of_submission(&outputs), Some(200));
}

#[test]
fn a_cancellation_that_the_state_service_rejects_may_be_repeated() {
    let mut fixture = Fixture::new(page_with_job(), None);
    let outputs = fixture.send_user_request(CANCELLATION, UserRequest::Cancel(JOB.into()));
    let outputs = fixture.reply(last_store_call(&outputs), empty_log_reply());
    let (call, _) = transactions(&outputs)[0];
    let reason = "too large".into();
    let outputs = fixture.reply(call, StoreReply::Rejected { reason });
    let answer = answer_to(&outputs, CANCELLATION).expect("an answer");
    assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
}

/// Returns whether a follower that knows this many cancelled jobs of 15 KiB grants an extension.
fn grants_extension_with_cancelled_jobs(jobs: usize) -> bool {
    let entry = |number: usize| {
        let mut key = job_of_size(15 * 1024);
        key.spec.id = format!("j-{number:06}");
        key.ended = Some(JobState::Cancelled);
        Entry {
            key: format!("live/pool/job/{}", key.spec.id),
            value: serde_json::json!(key),
            version: 9,
        }
    };
    let claim = Entry {
        key: "live/pool/owner".into(),
        value: serde_json::json!({"node": "stall-1", "life": 1, "term": 3}),
        version: 4,
    };
    let page = StoreReply::Page(Page {
        items: (0..jobs).map(entry).chain([claim]).collect(),
        more: false,
        revision: 9,
    });
    let mut fixture = Fixture::new(page, None);
    let outputs = fixture.send_user_request(POLL, UserRequest::Show("j-999999".into()));
    fixture.reply(last_store_call(&outputs), StoreReply::Unavailable);
    let request = extension_request(&fixture.peer.clone(), 8);
    granted_extension(fixture.step(request)).is_some()
}

/// Guards against a grant that takes the link between controllers with it, because the jobs in it
/// are counted whatever their size.
#[test]
fn an_extension_is_granted_only_if_its_cancelled_jobs_fit_into_a_message() {
    assert!(grants_extension_with_cancelled_jobs(60));
    assert!(!grants_extension_with_cancelled_jobs(150));
}
