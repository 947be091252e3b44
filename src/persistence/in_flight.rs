//! The transaction in flight.

use super::content::Content;
use crate::Millis;
use crate::wire::Transaction;
use std::sync::Arc;

/// A transaction that has been sent and whose result is not known yet.
#[derive(Debug)]
pub struct InFlight {
    /// The transaction, which is sent again unchanged until it is answered.
    pub transaction: Arc<Transaction>,
    /// When the transaction was first sent.
    pub sent_at: Millis,
    /// Whether a copy of the transaction went unanswered.
    unanswered: bool,
    pub(super) content: Content,
}

impl InFlight {
    /// Returns the state of a transaction that is about to be sent.
    pub(super) fn new(transaction: Arc<Transaction>, now: Millis, content: Content) -> InFlight {
        InFlight {
            transaction,
            sent_at: now,
            unanswered: false,
            content,
        }
    }

    /// Records that a copy went unanswered: it may have been applied or may still be.
    pub fn note_unanswered(&mut self) {
        self.unanswered = true;
    }

    /// Whether a copy that went unanswered may have been applied.
    pub fn may_be_applied(&self) -> bool {
        self.unanswered
    }
}
