//! A report that came in, and what became of it.

use super::{EndedAttempt, Outcome};
use crate::Millis;
use crate::ids::{AttemptIx, ChunkId, GroupIx, MachineIx};
use crate::wire::Report;

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportPath {
    /// By itself: it may be a copy, seconds or minutes late.
    Heartbeat,
    /// As the answer to a direct command of this term.
    CommandReply,
}

/// A report, with how and when this leader received it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// What the worker sent.
    pub report: &'a Report,
    /// How it came.
    pub path: ReportPath,
    /// When it came.
    pub now: Millis,
    /// The leader's term.
    pub term: u64,
}

impl ReceivedReport<'_> {
    /// Surely sent in this term, and no late copy.
    pub fn is_of_this_term(&self) -> bool {
        self.path == ReportPath::CommandReply || self.report.fencing_token == self.term
    }
}

/// What became of a report.
#[derive(Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The newest of its machine.
    Newest(MachineIx),
    /// Older than one already merged: its task list means nothing now.
    Stale,
    /// Its worker has seen a fencing token above ours: somebody else is the leader.
    HigherFencingToken,
    /// From a machine already deleted.
    MachineDeleted,
}

/// A merged report, with what follows for others than its machine.
#[derive(Debug, PartialEq, Eq)]
pub struct MergedReport {
    /// What became of the report.
    pub outcome: MergeOutcome,
    /// The inventory group whose key lacks the machine's new address.
    pub group_to_rewrite: Option<GroupIx>,
    /// Attempts that it proves over, to be closed in this order.
    pub ended: Vec<EndedAttempt>,
    /// Chunks that hold records of attempts withdrawn now.
    pub chunks_to_rewrite: Vec<ChunkId>,
}

impl MergedReport {
    /// Nothing follows from the report yet.
    pub(super) fn new(outcome: MergeOutcome) -> MergedReport {
        MergedReport {
            outcome,
            group_to_rewrite: None,
            ended: Vec::new(),
            chunks_to_rewrite: Vec::new(),
        }
    }

    pub(super) fn end(&mut self, attempt: AttemptIx, outcome: Outcome) {
        self.ended.push(EndedAttempt { attempt, outcome });
    }

    pub(super) fn has_ended(&self, attempt: AttemptIx) -> bool {
        self.ended.iter().any(|ended| ended.attempt == attempt)
    }
}
