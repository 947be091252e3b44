//! Why and when the leader raises its term.

use crate::Millis;

/// Raising the term costs a fresh start, so not more often than this.
const MIN_RAISE_INTERVAL_MS: Millis = 8_000;

/// The next raise of the term, and the last one.
#[derive(Debug, Default)]
pub(super) struct TermRaise {
    /// What is known may be wrong: claim once more and read it all again.
    is_reload_requested: bool,
    /// The term is about to rise, or rising, while what is known still holds.
    is_pending: bool,
    raised_at: Millis,
}

impl TermRaise {
    /// Asks for a new term in which all is read again.
    pub(super) fn request_reload(&mut self) {
        self.is_reload_requested = true;
    }

    /// The same, however short ago the term was raised.
    pub(super) fn request_reload_now(&mut self) {
        self.request_reload();
        self.raised_at = 0;
    }

    pub(super) fn is_reload_requested(&self) -> bool {
        self.is_reload_requested
    }

    /// Whether nothing more may be sent that depends on the present claim.
    pub(super) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Whether the last raise is long enough ago.
    pub(super) fn is_allowed(&self, now: Millis) -> bool {
        now >= self.raised_at + MIN_RAISE_INTERVAL_MS
    }

    /// From now on nothing is sent that depends on the present claim.
    pub(super) fn begin(&mut self) {
        self.is_pending = true;
    }

    /// The claim succeeded. Whether what was known before still holds.
    pub(super) fn claimed(&mut self, now: Millis) -> bool {
        let is_state_valid = self.is_pending && !self.is_reload_requested;
        self.cancel();
        self.raised_at = now;
        is_state_valid
    }

    /// Wants no raise any more.
    pub(super) fn cancel(&mut self) {
        self.is_reload_requested = false;
        self.is_pending = false;
    }
}
