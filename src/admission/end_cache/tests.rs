use super::*;
use crate::wire::JobState;

fn done(tasks: u32) -> EndValue {
    EndValue {
        state: JobState::Done,
        done: tasks,
    }
}

#[test]
fn the_oldest_end_is_forgotten_when_there_are_too_many() {
    let mut ends = RememberedEnds::default();
    for number in 0..MAX_REMEMBERED {
        ends.remember(&format!("j-{number}"), done(1));
    }
    assert_eq!(ends.get("j-0"), Some(done(1)));
    ends.remember("j-0", done(1));
    assert_eq!(ends.get("j-0"), Some(done(1)), "remembered twice counts once");
    ends.remember("j-last", done(2));
    assert_eq!(ends.get("j-0"), None);
    assert_eq!(ends.get("j-1"), Some(done(1)));
    assert_eq!(ends.get("j-last"), Some(done(2)));
    assert_eq!((ends.ends.len(), ends.order.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
}
