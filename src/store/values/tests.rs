use super::*;

fn round_trip(text: &str) -> EndValue {
    let end: EndValue = serde_json::from_str(text).expect("an end");
    // Transactions hold values as JSON values, whose fields are sorted by name.
    assert_eq!(serde_json::json!(end).to_string(), text);
    end
}

#[test]
fn ends_are_stored_in_the_expected_form() {
    let done = EndValue {
        state: JobState::Done,
        done: 3,
    };
    assert_eq!(round_trip(r#"{"done":3,"state":"done"}"#), done);
    let cancelled = EndValue {
        state: JobState::Cancelled,
        done: 0,
    };
    assert_eq!(round_trip(r#"{"state":"aborted"}"#), cancelled);
}

#[test]
fn a_missing_count_of_done_tasks_means_zero() {
    let end: EndValue = serde_json::from_str(r#"{"state":"done"}"#).expect("an end");
    assert_eq!(end.done, 0);
    assert!(serde_json::from_str::<EndValue>(r#"{"done":3}"#).is_err());
    assert!(serde_json::from_str::<EndValue>(r#"{"state":"done","done":null}"#).is_err());
}
