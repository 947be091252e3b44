use super::*;
use crate::wire::JobState;

fn done(tasks: u32) -> KnownEnd {
    KnownEnd {
        end: EndValue {
            state: JobState::Done,
            done: tasks,
        },
        revision: 5,
        known_since: 7,
    }
}

#[test]
fn the_oldest_end_is_evicted_when_the_cache_is_full() {
    let mut ends = EndCache::default();
    for number in 0..MAX_CACHED_ENDS {
        ends.insert(&format!("j-{number}"), done(1));
    }
    assert_eq!(ends.get("j-0"), Some(done(1)));
    ends.insert("j-0", done(1));
    assert_eq!(ends.get("j-0"), Some(done(1)), "inserting an end twice keeps one entry");
    ends.insert("j-last", done(2));
    assert_eq!(ends.get("j-0"), None);
    assert_eq!(ends.get("j-1"), Some(done(1)));
    assert_eq!(ends.get("j-last"), Some(done(2)));
    assert_eq!((ends.ends.len(), ends.order.len()), (MAX_CACHED_ENDS, MAX_CACHED_ENDS));
}
