use super::*;

#[test]
fn the_loop_is_behind_once_a_tick_is_late() {
    let monitor = EventLoopMonitor::new();
    assert!(!monitor.is_behind_at(TICK_INTERVAL + MAX_TICK_DELAY));
    assert!(monitor.is_behind_at(TICK_INTERVAL + MAX_TICK_DELAY + Duration::from_millis(1)));
    monitor.last_tick_ms.store(1_000, Ordering::Relaxed);
    assert!(!monitor.is_behind_at(Duration::from_millis(1_000) + TICK_INTERVAL));
}
