//! A received report and the result of merging it.

use super::{EndedAttempt, Outcome};
use crate::Millis;
use crate::ids::{AttemptIx, ChunkId, GroupIx, MachineIx};
use crate::wire::Report;

/// How a report reached the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportPath {
    /// The worker sent it on its own. It may be a copy that is delayed by seconds or minutes.
    Heartbeat,
    /// The worker sent it in reply to direct commands of this term.
    CommandReply {
        /// When the leader sent the commands. The worker made the report after that, and possibly
        /// seconds before the reply arrived.
        commands_sent_at: Millis,
    },
}

impl ReportPath {
    /// Whether the report is the reply to direct commands.
    pub fn is_command_reply(self) -> bool {
        matches!(self, ReportPath::CommandReply { .. })
    }
}

/// A report with the circumstances in which this leader received it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// Report as the worker sent it.
    pub report: &'a Report,
    /// How the report reached the leader.
    pub path: ReportPath,
    /// When the report was received.
    pub now: Millis,
    /// Current term of the leader.
    pub term: u64,
}

impl ReceivedReport<'_> {
    /// Whether the report was certainly sent in the current term and is no delayed copy of an
    /// earlier one.
    pub fn is_from_current_term(&self) -> bool {
        self.path.is_command_reply() || self.report.fencing_token >= self.term
    }
}

/// Result of merging a report.
#[derive(Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report is the newest of this machine and was merged.
    Newest(MachineIx),
    /// The report is not newer than the last merged one, so it was ignored.
    Stale,
    /// The worker has seen a higher fencing token than this leader's: there is a newer leader.
    HigherFencingToken,
    /// The machine has already been deleted.
    MachineDeleted,
}

/// Result of merging a report, with its consequences outside the state of the machine.
#[derive(Debug, PartialEq, Eq)]
pub struct MergedReport {
    /// Whether the report was merged, and if not, why.
    pub outcome: MergeOutcome,
    /// Inventory group to write again because the machine's address changed.
    pub group_to_rewrite: Option<GroupIx>,
    /// Attempts that have ended according to the report, in the order in which to close them.
    pub ended: Vec<EndedAttempt>,
    /// Chunks to write again because records of attempts in them were withdrawn.
    pub chunks_to_rewrite: Vec<ChunkId>,
}

impl MergedReport {
    /// Returns a result without consequences.
    pub(super) fn new(outcome: MergeOutcome) -> MergedReport {
        MergedReport {
            outcome,
            group_to_rewrite: None,
            ended: Vec::new(),
            chunks_to_rewrite: Vec::new(),
        }
    }

    /// Adds an attempt that has ended according to the report.
    pub(super) fn end(&mut self, attempt: AttemptIx, outcome: Outcome) {
        self.ended.push(EndedAttempt { attempt, outcome });
    }

    /// Whether the report has already shown that this attempt has ended.
    pub(super) fn has_ended(&self, attempt: AttemptIx) -> bool {
        self.ended.iter().any(|ended| ended.attempt == attempt)
    }
}
