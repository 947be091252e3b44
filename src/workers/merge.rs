//! Merging of a worker's report into the state of its machine and of the attempts on it.

use super::{
    Attempts, MISSED_ANSWERS_TO_CORDON, Machine, MergeOutcome, MergedReport, ReceivedReport, ReportPath, Workers,
    parse_task_name,
};
use crate::Millis;
use crate::fencing::last_token;
use crate::ids::{AttemptIx, MachineIx};
use crate::pipeline::Jobs;
use crate::wire::{Report, TaskReport, TaskState};

/// How much later than the longest report interval a report may arrive before the machine
/// counts as late. A worker that loses its controller tries the next one after 5 s.
const REPORT_DELAY_TOLERANCE_MS: Millis = 6_000;

impl Workers {
    /// Returns why a report must be rejected before it is merged; `None` if it is acceptable.
    pub fn reject_report(&self, report: &Report, term: u64) -> Option<MergeOutcome> {
        if report.fencing_token > last_token(term) {
            return Some(MergeOutcome::HigherFencingToken);
        }
        self.was_recently_deleted(&report.machine)
            .then_some(MergeOutcome::MachineDeleted)
    }

    /// Merges the report of a known machine. [`Workers::reject_report`] must have accepted it.
    pub fn merge_report(&mut self, ix: MachineIx, received: ReceivedReport<'_>, jobs: &Jobs) -> MergedReport {
        let Some(machine) = self.machines.get_mut(ix) else {
            return MergedReport::new(MergeOutcome::MachineDeleted);
        };
        if !machine.is_newer(received.report) {
            return MergedReport::new(MergeOutcome::Stale);
        }
        let mut merged = MergedReport::new(MergeOutcome::Newest(ix));
        merged.group_to_rewrite = machine.set_address(&received.report.address);
        self.update_machine(ix, received);
        let listed = self.match_tasks(ix, received, jobs, &mut merged);
        let start_is_missing = self.handle_missing_attempts(ix, received, &listed, jobs, &mut merged);
        let answer_had_no_effect = start_is_missing || received.report.fencing_token < received.term;
        self.count_missed_answers(ix, received.path, answer_had_no_effect);
        merged
    }

    /// Updates the state of the machine itself from its report.
    fn update_machine(&mut self, ix: MachineIx, received: ReceivedReport<'_>) {
        let report_due = received.now + crate::millis(self.longest_report_interval_s()) + REPORT_DELAY_TOLERANCE_MS;
        let Some(machine) = self.machines.get_mut(ix) else {
            return;
        };
        let report = received.report;
        let is_new_epoch = report.agent_epoch > machine.agent_epoch;
        machine.agent_epoch = report.agent_epoch;
        machine.seq = report.seq;
        machine.tokens.note_seen(report.fencing_token);
        if is_new_epoch || received.path == ReportPath::Heartbeat {
            machine.answered_starts.settle();
        }
        if received.is_from_current_term() {
            self.capacity_changed |= machine.last_report_at.is_none();
            machine.note_report_from_current_term(received.now, report_due);
        } else {
            machine.known_up_at.get_or_insert(received.now);
        }
        machine.spot_reclaim_at = report.reclaim_in_s.map(|left| received.now + crate::millis(left));
        if is_new_epoch {
            machine.begin_agent_epoch(received, self.lease_expiry_ms);
        }
    }

    /// Finds the open attempt for each task that a report lists, and records its state.
    /// Returns the attempts that were found.
    fn match_tasks(
        &mut self,
        ix: MachineIx,
        received: ReceivedReport<'_>,
        jobs: &Jobs,
        merged: &mut MergedReport,
    ) -> Vec<AttemptIx> {
        let report = received.report;
        let mut listed = Vec::with_capacity(report.tasks.len());
        let Some(machine) = self.machines.get_mut(ix) else {
            return listed;
        };
        machine.unmatched_tasks.clear();
        for task in &report.tasks {
            let found = self.attempts.find_open(machine, task, jobs, merged);
            // The worker lists exited tasks until it receives a forget command.
            if found.is_none() || task.state == TaskState::Exited {
                machine.unmatched_tasks.push(task.clone());
            }
            if let Some(attempt) = found {
                listed.push(attempt);
                if let Some(outcome) = self.attempts.observe(received.now, attempt, task) {
                    merged.end(attempt, outcome);
                }
            }
        }
        listed
    }

    /// Counts the consecutive reports that show no effect of the previous answer, which
    /// indicates that answers do not reach the worker.
    fn count_missed_answers(&mut self, ix: MachineIx, path: ReportPath, answer_had_no_effect: bool) {
        let Some(machine) = self.machines.get_mut(ix) else {
            return;
        };
        if path.is_command_reply() || std::mem::take(&mut machine.expects_effect) {
            machine.missed_answers = match path {
                ReportPath::Heartbeat if answer_had_no_effect => machine.missed_answers + 1,
                _ => 0,
            };
        }
        if machine.missed_answers > 0 {
            // The reply to a direct command resets the count.
            self.delivery_due.insert(ix);
        }
    }
}

impl Machine {
    /// Whether a report was sent after all reports merged so far.
    fn is_newer(&self, report: &Report) -> bool {
        (report.agent_epoch, report.seq) > (self.agent_epoch, self.seq)
    }

    /// Records a report that the worker provably sent in this term.
    fn note_report_from_current_term(&mut self, now: Millis, report_due: Millis) {
        if self.last_report_at.is_none() {
            self.idle_since = now;
        }
        self.last_report_at = Some(now);
        self.report_due = report_due;
        self.has_unanswered_command = false;
    }

    /// Handles the first report of an agent epoch: the worker has started, restarted or lost its
    /// lease, and it has dropped all tasks of earlier epochs.
    fn begin_agent_epoch(&mut self, received: ReceivedReport<'_>, lease_expiry_ms: Millis) {
        let answered_recently = received.now < self.answered_at + lease_expiry_ms / 2;
        if received.path == ReportPath::Heartbeat && self.last_report_at.is_some() && answered_recently {
            // The worker most likely lost its lease although this leader answered its reports,
            // so the answers do not reach it.
            self.missed_answers += MISSED_ANSWERS_TO_CORDON;
        }
        self.tokens.begin_agent_epoch();
        // A new agent epoch starts with a full lease, even before the first answer.
        self.answered_at = self.answered_at.max(received.now);
    }
}

impl Attempts {
    /// Finds the open attempt for a task in its machine's report. Excludes attempts that the
    /// same report has already shown to have ended.
    fn find_open(
        &self,
        machine: &Machine,
        listed: &TaskReport,
        jobs: &Jobs,
        merged: &MergedReport,
    ) -> Option<AttemptIx> {
        let (job_id, task) = parse_task_name(&listed.task)?;
        machine.open.iter().copied().find(|&ix| {
            self.get(ix).is_some_and(|attempt| {
                attempt.task == task
                    && attempt.number == listed.attempt
                    && attempt.agent_epoch == machine.agent_epoch
                    && jobs.table.get(attempt.job).is_some_and(|job| job.id == job_id)
                    && !merged.has_ended(ix)
            })
        })
    }
}
