//! The fencing tokens of one machine's worker, within the range that the leader's term reserves.
//!
//! A direct command may be executed once more at any later time, also after it was answered, as long
//! as the worker has seen no higher token. So an attempt whose start was sent directly may be
//! forgotten only under a higher token than that of the start.

use crate::fencing::last_token;

/// The fencing tokens that a machine's worker has seen and has been sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerTokens {
    /// The highest token that the worker has reported.
    seen: u64,
    /// The highest token that this leader has given it.
    given: u64,
    /// The highest token under which a start command was sent to it directly in its present agent
    /// epoch; 0 if there is none.
    direct_start: u64,
}

impl WorkerTokens {
    /// Returns the token of the next message to the worker. It is never lower than one that the
    /// worker has seen or may see, since the worker drops messages with a lower one.
    pub fn current(&self, term: u64) -> u64 {
        self.given.max(self.seen).max(term)
    }

    /// Returns the highest token that the worker has reported.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Records the token in a report of the worker.
    pub fn note_seen(&mut self, token: u64) {
        self.seen = self.seen.max(token);
    }

    /// Records that a start command is sent to the worker directly under this token.
    pub fn note_direct_start(&mut self, token: u64) {
        self.direct_start = self.direct_start.max(token);
    }

    /// Forgets the direct starts of earlier agent epochs, which the worker refuses.
    pub(super) fn begin_agent_epoch(&mut self) {
        self.direct_start = 0;
    }

    /// Whether a direct start may be executed after a command that carries this token.
    pub(super) fn may_be_started_after(&self, token: u64) -> bool {
        self.direct_start >= token
    }

    /// Raises the token of the next message. Returns whether the term's range has a higher one.
    pub(super) fn raise(&mut self, term: u64) -> bool {
        let current = self.current(term);
        let is_left = current < last_token(term);
        if is_left {
            self.given = current + 1;
        }
        is_left
    }
}
