//! Tracks whether and when the leader raises its term.

use crate::Millis;

/// Minimum interval between two raises of the term, since a raise may require a full reload.
const MIN_RAISE_INTERVAL_MS: Millis = 8_000;

/// The state of the next raise of the term, and the time of the last one.
#[derive(Debug, Default)]
pub(super) struct TermRaise {
    /// The shard's state may be wrong: claim again under a higher term and reload everything.
    is_reload_requested: bool,
    /// A raise is being prepared or is in flight. Nothing that depends on the current claim may be
    /// sent.
    is_pending: bool,
    raised_at: Millis,
}

impl TermRaise {
    /// Requests a higher term under which the shard is reloaded.
    pub(super) fn request_reload(&mut self) {
        self.is_reload_requested = true;
    }

    /// Requests a reload regardless of how recently the term was raised.
    pub(super) fn request_reload_now(&mut self) {
        self.request_reload();
        self.raised_at = 0;
    }

    /// Whether the next raise must reload the shard.
    pub(super) fn is_reload_requested(&self) -> bool {
        self.is_reload_requested
    }

    /// Whether a raise is pending, so that nothing that depends on the current claim may be sent.
    pub(super) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Whether the minimum interval since the last raise has passed.
    pub(super) fn is_allowed(&self, now: Millis) -> bool {
        now >= self.raised_at + MIN_RAISE_INTERVAL_MS
    }

    /// Starts a raise. From now on nothing that depends on the current claim may be sent.
    pub(super) fn begin(&mut self) {
        self.is_pending = true;
    }

    /// Records a successful claim. Returns whether the shard's previous state is still valid.
    pub(super) fn claimed(&mut self, now: Millis) -> bool {
        let is_state_valid = self.is_pending && !self.is_reload_requested;
        self.cancel();
        self.raised_at = now;
        is_state_valid
    }

    /// Cancels a requested or pending raise.
    pub(super) fn cancel(&mut self) {
        self.is_reload_requested = false;
        self.is_pending = false;
    }
}
