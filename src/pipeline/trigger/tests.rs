use super::*;

#[test]
fn fires_after_the_last_of_its_set_and_at_once_when_empty() {
    assert!(DependencyTrigger::new([]).fires());
    let mut trigger = DependencyTrigger::new(["a".to_string(), "b".to_string()]);
    trigger.job_done("a");
    trigger.job_done("a");
    assert!(!trigger.fires());
    trigger.job_done("b");
    assert!(trigger.fires());
}
