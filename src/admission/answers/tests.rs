use super::*;

fn parts(answer: Answer) -> (u16, String, Option<u32>) {
    (answer.status, answer.body, answer.retry_after_s)
}

/// Guards against a line of an answer that is longer than its receiver reads, because it quotes a
/// long request.
#[test]
fn a_long_error_text_is_cut_off() {
    for quoted in ["x".repeat(60_000), "é\n\u{1}".repeat(20_000)] {
        let answer = error_answer(400, &quoted);
        assert!(answer.body.len() < 4_000, "{} bytes", answer.body.len());
        let body: serde_json::Value = serde_json::from_str(&answer.body).expect("json");
        assert!(quoted.starts_with(body["error"].as_str().expect("a text")));
    }
}

#[test]
fn job_answers_have_the_exact_bodies_of_the_protocol() {
    let accepted_body = r#"{"id":"j-1","standing":"queued"}"#;
    assert_eq!(parts(accepted("j-1")), (201, accepted_body.into(), None));
    let done = EndValue {
        state: JobState::Done,
        done: 3,
    };
    let done_body = r#"{"id":"j-1","standing":"done","done":3,"running":0}"#;
    assert_eq!(parts(ended("j-1", done)), (200, done_body.into(), None));
    let cancelled = EndValue {
        state: JobState::Cancelled,
        done: 3,
    };
    let cancelled_body = r#"{"id":"j-1","standing":"aborted"}"#;
    assert_eq!(parts(ended("j-1", cancelled)), (200, cancelled_body.into(), None));
    let counts = TaskCounts { done: 3, running: 13 };
    let running_body = r#"{"id":"j-1","standing":"running","done":3,"running":13}"#;
    assert_eq!(parts(unfinished("j-1", Some(counts))), (200, running_body.into(), None));
    let queued_body = r#"{"id":"j-1","standing":"queued","done":0,"running":0}"#;
    assert_eq!(parts(unfinished("j-1", None)), (200, queued_body.into(), None));
    let missing_body = r#"{"error":"no such job"}"#;
    assert_eq!(parts(not_found()), (404, missing_body.into(), None));
}

#[test]
fn unavailable_answers_have_a_reason_and_a_retry_delay() {
    let expected = [
        (Unavailable::TooManyRequests, "too many requests at once"),
        (Unavailable::TooMuchUnfinishedWork, "too much unfinished work"),
        (Unavailable::MachineTypesUnknown, "the machine types are not known yet"),
        (
            Unavailable::StateServiceUnreachable,
            "the state service can't be reached",
        ),
        (Unavailable::EndUnreadable, "the job's end can't be read"),
        (Unavailable::NoAnswerInTime, "no answer in time"),
        (Unavailable::ChangedMeanwhile, "try again"),
    ];
    for (reason, error) in expected {
        let body = format!(r#"{{"error":"{error}"}}"#);
        assert_eq!(parts(reason.answer()), (503, body, Some(1)));
    }
}
