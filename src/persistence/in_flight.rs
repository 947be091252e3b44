//! The transaction in flight and what it stands for.

use super::AnsweredRequest;
use super::clean_ups::CleanUp;
use super::inventory_groups::WrittenGroup;
use crate::Millis;
use crate::fleet::MachineRequestRecord;
use crate::ids::{ChunkId, JobIx};
use crate::wire::Transaction;
use std::sync::Arc;

/// A transaction that is sent and not known to be applied or not.
#[derive(Debug)]
pub struct InFlight {
    /// Sent again as it is until it is answered.
    pub transaction: Arc<Transaction>,
    /// When it was first sent.
    pub sent: Millis,
    /// A copy went unanswered.
    unanswered: bool,
    pub(super) content: Content,
}

impl InFlight {
    /// A transaction that is about to be sent.
    pub(super) fn new(transaction: Arc<Transaction>, now: Millis, content: Content) -> InFlight {
        InFlight {
            transaction,
            sent: now,
            unanswered: false,
            content,
        }
    }

    /// A copy went unanswered: it may have been applied, or may yet be.
    pub fn note_unanswered(&mut self) {
        self.unanswered = true;
    }

    /// Whether an earlier copy may have been applied.
    pub fn may_be_applied(&self) -> bool {
        self.unanswered
    }
}

/// What a transaction writes, by kind of change.
#[derive(Debug, Default)]
pub(super) struct Content {
    pub chunks: Vec<ChunkId>,
    pub finished_jobs: Vec<JobIx>,
    pub clean_ups: Vec<CleanUp>,
    pub groups: Vec<WrittenGroup>,
    pub machine_requests: Vec<MachineRequestRecord>,
    pub answered_requests: Vec<AnsweredRequest>,
}
