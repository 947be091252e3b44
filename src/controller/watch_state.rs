//! When the watch cache is read, watched and brought up to date.

use crate::Millis;

/// Without other traffic, a look now and then tells whether the state service can be
/// reached, and keeps the watch cache fresh.
const REFRESH_INTERVAL_MS: Millis = 1_000;

/// A request of which one at a time is in flight, with a pause in between.
#[derive(Debug, Default)]
struct PacedRequest {
    in_flight: bool,
    not_before: Millis,
}

impl PacedRequest {
    /// Whether to send it now, which then counts as sent.
    fn take_due(&mut self, now: Millis) -> bool {
        let due = !self.in_flight && now >= self.not_before;
        self.in_flight |= due;
        due
    }

    fn pause_until(&mut self, not_before: Millis) {
        self.in_flight = false;
        self.not_before = not_before;
    }
}

/// The requests that keep the watch cache new.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    read: PacedRequest,
    watch: PacedRequest,
    refresh_sent_at: Millis,
}

impl WatchState {
    /// Whether to begin a full read now, which then counts as begun.
    pub(super) fn take_read_due(&mut self, now: Millis) -> bool {
        self.read.take_due(now)
    }

    /// The full read is complete.
    pub(super) fn read_complete(&mut self) {
        self.read.in_flight = false;
    }

    /// The full read failed; the next begins no sooner than that.
    pub(super) fn read_failed(&mut self, not_before: Millis) {
        self.read.pause_until(not_before);
    }

    /// Whether to send a watch now, which then counts as sent.
    pub(super) fn take_watch_due(&mut self, now: Millis) -> bool {
        self.watch.take_due(now)
    }

    /// The watch was answered; the next is sent no sooner than that.
    pub(super) fn watch_answered(&mut self, not_before: Millis) {
        self.watch.pause_until(not_before);
    }

    /// Whether the watch cache was not brought up to date for long.
    pub(super) fn is_refresh_due(&self, now: Millis) -> bool {
        now >= self.refresh_sent_at + REFRESH_INTERVAL_MS
    }

    pub(super) fn refresh_sent(&mut self, now: Millis) {
        self.refresh_sent_at = now;
    }
}
