//! Why and when the leader raises its term.

use crate::Millis;

/// Raising the term costs a fresh start, so not more often than this.
const RAISE_EVERY_MS: Millis = 8_000;

/// The next raise of the term, and the last one.
#[derive(Debug, Default)]
pub(super) struct TermRaise {
    /// What is known may be wrong: claim once more and read it all again.
    wants_reload: bool,
    /// The term is about to rise, or rising, while what is known still holds.
    is_pending: bool,
    raised_at: Millis,
}

impl TermRaise {
    /// Asks for a new term in which all is read again.
    pub(super) fn request_reload(&mut self) {
        self.wants_reload = true;
    }

    /// The same, however short ago the term was raised.
    pub(super) fn request_reload_now(&mut self) {
        self.request_reload();
        self.raised_at = 0;
    }

    pub(super) fn wants_reload(&self) -> bool {
        self.wants_reload
    }

    /// Whether nothing more may be sent that depends on the present claim.
    pub(super) fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Whether the last raise is long enough ago.
    pub(super) fn is_allowed(&self, now: Millis) -> bool {
        now >= self.raised_at + RAISE_EVERY_MS
    }

    /// From now on nothing is sent that depends on the present claim.
    pub(super) fn begin(&mut self) {
        self.is_pending = true;
    }

    /// The claim succeeded. Whether what was known before still holds.
    pub(super) fn claimed(&mut self, now: Millis) -> bool {
        let is_known_valid = self.is_pending && !self.wants_reload;
        self.cancel();
        self.raised_at = now;
        is_known_valid
    }

    /// Wants no raise any more.
    pub(super) fn cancel(&mut self) {
        self.wants_reload = false;
        self.is_pending = false;
    }
}
