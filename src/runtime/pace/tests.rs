use super::*;

#[test]
fn the_loop_is_behind_once_a_tick_is_late() {
    let pace = Pace::new();
    assert!(!pace.is_behind_at(TICK + LATE));
    assert!(pace.is_behind_at(TICK + LATE + Duration::from_millis(1)));
    pace.ticked_ms.store(1_000, Ordering::Relaxed);
    assert!(!pace.is_behind_at(Duration::from_millis(1_000) + TICK));
}
