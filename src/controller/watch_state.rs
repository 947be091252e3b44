//! Timing of the requests that fill the watch cache and keep it up to date.

use crate::Millis;

/// How often the watch cache is refreshed. Without other traffic, this also shows whether the
/// state service is reachable.
const REFRESH_INTERVAL_MS: Millis = 1_000;

/// A repeated request: at most one is in flight, with a pause between two of them.
#[derive(Debug, Default)]
struct PacedRequest {
    in_flight: bool,
    not_before: Millis,
}

impl PacedRequest {
    /// Returns whether the request is due, and if so marks it as in flight.
    fn take_due(&mut self, now: Millis) -> bool {
        let due = !self.in_flight && now >= self.not_before;
        self.in_flight |= due;
        due
    }

    /// Marks the request as finished. The next is due at `not_before` at the earliest.
    fn pause_until(&mut self, not_before: Millis) {
        self.in_flight = false;
        self.not_before = not_before;
    }
}

/// The state of the requests that fill the watch cache and keep it up to date.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// The earliest time of the next full read of the watched keys.
    read_not_before: Millis,
    /// The request that waits for changes.
    watch: PacedRequest,
    refresh_sent_at: Millis,
}

impl WatchState {
    /// Returns whether a full read may be started.
    pub(super) fn is_read_due(&self, now: Millis) -> bool {
        now >= self.read_not_before
    }

    /// Records that the full read failed. The next one is due at `not_before` at the earliest.
    pub(super) fn read_failed(&mut self, not_before: Millis) {
        self.read_not_before = not_before;
    }

    /// Returns whether a watch is due, and if so marks it as sent.
    pub(super) fn take_watch_due(&mut self, now: Millis) -> bool {
        self.watch.take_due(now)
    }

    /// Records that the watch was answered or failed. The next one is due at `not_before` at the
    /// earliest.
    pub(super) fn watch_answered(&mut self, not_before: Millis) {
        self.watch.pause_until(not_before);
    }

    /// Whether the refresh interval has passed since the last refresh was sent.
    pub(super) fn is_refresh_due(&self, now: Millis) -> bool {
        now >= self.refresh_sent_at + REFRESH_INTERVAL_MS
    }

    /// Records that a refresh was sent.
    pub(super) fn refresh_sent(&mut self, now: Millis) {
        self.refresh_sent_at = now;
    }
}
