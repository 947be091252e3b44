use super::*;

const TERM: u64 = 5;

fn starts_at(now: Millis) -> AnsweredStarts {
    let mut starts = AnsweredStarts::default();
    let start = Command::Start {
        task: "j-1/0".into(),
        attempt: 1,
    };
    starts.record(now, TERM, &[start]);
    starts
}

#[test]
fn a_start_may_be_executed_until_its_answer_expires() {
    let starts = starts_at(1_000);
    assert!(starts.may_be_executed("j-1/0", 1, 1_000 + ANSWER_LIFETIME_MS, TERM));
    assert!(!starts.may_be_executed("j-1/0", 1, 1_001 + ANSWER_LIFETIME_MS, TERM));
}

#[test]
fn only_the_attempt_that_the_start_names_may_be_executed() {
    let starts = starts_at(1_000);
    assert!(!starts.may_be_executed("j-1/0", 2, 1_000, TERM));
    assert!(!starts.may_be_executed("j-1/1", 1, 1_000, TERM));
}

#[test]
fn a_worker_with_a_higher_fencing_token_executes_no_start_of_this_term() {
    let starts = starts_at(1_000);
    assert!(starts.may_be_executed("j-1/0", 1, 1_000, TERM - 1));
    assert!(!starts.may_be_executed("j-1/0", 1, 1_000, TERM + 1));
}

#[test]
fn recording_drops_expired_starts_and_settling_drops_all() {
    let mut starts = starts_at(1_000);
    starts.record(1_001 + ANSWER_LIFETIME_MS, TERM, &[]);
    assert_eq!(starts, AnsweredStarts::default());
    let mut starts = starts_at(1_000);
    starts.settle();
    assert_eq!(starts, AnsweredStarts::default());
}
