//! Handling of open attempts that their machine's newest report does not list.

use super::{Attempt, Machine, MergedReport, Outcome, ReceivedReport, RecordState, ReportPath, Workers, task_name};
use crate::ids::{AttemptIx, ChunkId, MachineIx};
use crate::pipeline::Jobs;

/// What follows from the absence of an open attempt from a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// Nothing follows: the attempt is still wanted or may still start.
    Inconclusive,
    /// The attempt has ended: the worker dropped all tasks of its earlier agent epochs.
    EpochEnded,
    /// The attempt is no longer wanted, and no start command for it can still arrive.
    NeverStarts,
}

impl Workers {
    /// Handles the open attempts that a report does not list. Returns whether the report
    /// should list one of them because its start command was due in the answer to the previous
    /// report.
    pub(super) fn handle_missing_attempts(
        &mut self,
        ix: MachineIx,
        received: ReceivedReport<'_>,
        listed: &[AttemptIx],
        jobs: &Jobs,
        merged: &mut MergedReport,
    ) -> bool {
        let mut start_is_missing = false;
        let Some(machine) = self.machines.get(ix) else {
            return start_is_missing;
        };
        for &attempt_ix in machine.open.iter().filter(|&open| !listed.contains(open)) {
            let Some(attempt) = self.attempts.get_mut(attempt_ix) else {
                continue;
            };
            start_is_missing |= attempt.start_in_last_answer && attempt.agent_epoch == received.report.agent_epoch;
            match attempt.classify_absence(machine, received, jobs) {
                Absence::Inconclusive => {}
                Absence::EpochEnded => merged.end(attempt_ix, Outcome::Lost),
                Absence::NeverStarts => attempt.withdraw_record(attempt_ix, jobs, merged),
            }
        }
        start_is_missing
    }
}

impl Attempt {
    /// Records that a report does not list the attempt, and returns what follows from it.
    fn classify_absence(&mut self, machine: &Machine, received: ReceivedReport<'_>, jobs: &Jobs) -> Absence {
        if self.agent_epoch < received.report.agent_epoch {
            return Absence::EpochEnded;
        }
        self.clear_observed_state();
        let is_unwanted = self.stop_grace_s.is_some() && self.record.is_written();
        let may_still_start = self.may_be_started_after(received.report.fencing_token)
            || machine.may_receive_answered_start(self, received, jobs);
        if is_unwanted && !may_still_start {
            Absence::NeverStarts
        } else {
            Absence::Inconclusive
        }
    }

    /// Withdraws the record of an attempt that never starts. The record has to be removed
    /// before the attempt's resources are given to another attempt. The attempt of an ended
    /// job ends immediately, since a new leader starts nothing from that job's records.
    fn withdraw_record(&mut self, ix: AttemptIx, jobs: &Jobs, merged: &mut MergedReport) {
        let Some(job) = jobs.table.get(self.job).filter(|job| job.ended.is_none()) else {
            merged.end(ix, Outcome::Lost);
            return;
        };
        if !self.record.is_withdrawn() {
            self.record = RecordState::Withdrawn;
            merged.chunks_to_rewrite.push(ChunkId {
                job: self.job,
                number: job.chunk_index_of(self.task, jobs.tasks_per_chunk) as u32,
            });
        }
    }
}

impl Machine {
    /// Whether a start command of this attempt in the answer to an earlier report may be executed
    /// after the worker made the received one.
    fn may_receive_answered_start(&self, attempt: &Attempt, received: ReceivedReport<'_>, jobs: &Jobs) -> bool {
        let ReportPath::CommandReply { commands_sent_at } = received.path else {
            // The worker had executed or dropped the answers to all its earlier reports.
            return false;
        };
        let Some(job) = jobs.table.get(attempt.job) else {
            return false;
        };
        let task = task_name(&job.id, attempt.task);
        let fencing_token = received.report.fencing_token;
        self.answered_starts
            .may_be_executed(&task, attempt.number, commands_sent_at, fencing_token)
    }
}
