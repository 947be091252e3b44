//! Open attempts that their machine's newest report does not list.

use super::{Attempt, Machine, MergedReport, Outcome, ReceivedReport, RecordState, Workers};
use crate::ids::{AttemptIx, ChunkId, MachineIx};
use crate::pipeline::Jobs;

/// What it means that a report does not list an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// It may still start, or is wanted to.
    ProvesNothing,
    /// The worker forgot all tasks of its earlier agent epochs.
    EpochGone,
    /// Not wanted, not there, and no start for it can still arrive.
    NeverStarts,
    /// The same, but for a start of this term that may still arrive: only a higher
    /// fencing token can withdraw it.
    NeedsHigherTerm,
}

impl Workers {
    /// Looks at the open attempts that a report does not list. Returns whether one of
    /// them should be there, since the answer to the report before told to start it.
    pub(super) fn observe_missing(
        &mut self,
        ix: MachineIx,
        received: ReceivedReport<'_>,
        listed: &[AttemptIx],
        jobs: &Jobs,
        merged: &mut MergedReport,
    ) -> bool {
        let mut lacks_start = false;
        let Some(machine) = self.machines.get(ix) else {
            return lacks_start;
        };
        for &attempt_ix in machine.open.iter().filter(|&open| !listed.contains(open)) {
            let Some(attempt) = self.attempts.get_mut(attempt_ix) else {
                continue;
            };
            lacks_start |= attempt.start_answered && attempt.agent_epoch == received.report.agent_epoch;
            match attempt.observe_missing(machine, received) {
                Absence::ProvesNothing => {}
                Absence::EpochGone => merged.end(attempt_ix, Outcome::Lost),
                Absence::NeverStarts => attempt.withdraw_record(attempt_ix, jobs, merged),
                Absence::NeedsHigherTerm => self.needs_higher_term = true,
            }
        }
        lacks_start
    }
}

impl Attempt {
    fn observe_missing(&mut self, machine: &Machine, received: ReceivedReport<'_>) -> Absence {
        if self.agent_epoch < received.report.agent_epoch {
            return Absence::EpochGone;
        }
        self.observe_absence();
        let unwanted = self.stop_grace_s.is_some() && self.record.is_written();
        if !unwanted || !self.is_answered_start_dead(received.now) {
            return Absence::ProvesNothing;
        }
        if !machine.may_receive_direct_start(received.report.fencing_token) {
            Absence::NeverStarts
        } else if machine.has_unconfirmed_start_of(received.term) {
            // Starts of earlier terms are withdrawn already, once the worker
            // sees ours; only one of our own term calls for a higher.
            Absence::NeedsHigherTerm
        } else {
            Absence::ProvesNothing
        }
    }

    /// This attempt never starts. Its record must go before its room is given to
    /// another; an ended job's records start nothing.
    fn withdraw_record(&mut self, ix: AttemptIx, jobs: &Jobs, merged: &mut MergedReport) {
        let Some(job) = jobs.table.get(self.job).filter(|job| job.ended.is_none()) else {
            merged.end(ix, Outcome::Lost);
            return;
        };
        if !self.record.is_withdrawn() {
            self.record = RecordState::Withdrawn;
            merged.chunks_to_rewrite.push(ChunkId {
                job: self.job,
                number: job.chunk_of(self.task, jobs.chunk_tasks) as u32,
            });
        }
    }
}

impl Machine {
    /// A start sent directly may still arrive at a worker that holds this fencing token.
    fn may_receive_direct_start(&self, fencing_token: u64) -> bool {
        let unconfirmed = self.unconfirmed_start_term > 0 && self.unconfirmed_start_term >= fencing_token;
        unconfirmed || self.delivery.has_starts_in_flight()
    }
}
