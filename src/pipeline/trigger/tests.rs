use super::*;

#[test]
fn fires_once_all_jobs_are_done_and_at_once_for_an_empty_set() {
    assert!(DependencyTrigger::new([]).fires());
    let mut trigger = DependencyTrigger::new(["a".to_string(), "b".to_string()]);
    trigger.job_done("a");
    trigger.job_done("a");
    assert!(!trigger.fires());
    trigger.job_done("b");
    assert!(trigger.fires());
}
