//! Merging a report into what is known of its machine and of the attempts there.

use super::{
    Attempts, MISSED_ANSWERS_TO_CORDON, Machine, MergeOutcome, MergedReport, ReceivedReport, ReportPath, Workers,
    parse_task_name,
};
use crate::Millis;
use crate::ids::{AttemptIx, MachineIx};
use crate::pipeline::Jobs;
use crate::wire::{Report, TaskReport, TaskState};

/// A report may come this much later than its interval allows for without a
/// doubt: a worker that lost its controller tries the next one after 5 s.
const LATE_MS: Millis = 6_000;

/// Ended tasks that a machine may have to list because one start is in doubt.
pub(crate) const MAX_LISTED_ENDED_TASKS: usize = 40;

impl Workers {
    /// Why a report is rejected before anything is learned from it; `None` if it is not.
    pub fn reject_report(&self, report: &Report, term: u64) -> Option<MergeOutcome> {
        if report.fencing_token > term {
            return Some(MergeOutcome::HigherFencingToken);
        }
        self.was_recently_deleted(&report.machine)
            .then_some(MergeOutcome::MachineDeleted)
    }

    /// Merges a report of a known machine that was not rejected.
    pub fn merge_report(&mut self, ix: MachineIx, received: ReceivedReport<'_>, jobs: &Jobs) -> MergedReport {
        let Some(machine) = self.machines.get_mut(ix) else {
            return MergedReport::new(MergeOutcome::MachineDeleted);
        };
        if !machine.is_newer(received.report) {
            return MergedReport::new(MergeOutcome::Stale);
        }
        let mut merged = MergedReport::new(MergeOutcome::Newest(ix));
        merged.group_to_rewrite = machine.set_address(&received.report.address);
        self.note_machine(ix, received);
        let listed = self.match_tasks(ix, received, jobs, &mut merged);
        let lacks_start = self.observe_missing(ix, received, &listed, jobs, &mut merged);
        let shows_no_effect = lacks_start || received.report.fencing_token < received.term;
        self.count_missed_answers(ix, received.path, shows_no_effect);
        self.limit_ended_tasks(ix, received.term);
        merged
    }

    /// What a report says of the machine itself.
    fn note_machine(&mut self, ix: MachineIx, received: ReceivedReport<'_>) {
        let report_due = received.now + crate::millis(self.longest_report_interval_s()) + LATE_MS;
        let Some(machine) = self.machines.get_mut(ix) else {
            return;
        };
        let report = received.report;
        let is_new_epoch = report.agent_epoch > machine.agent_epoch;
        machine.agent_epoch = report.agent_epoch;
        machine.seq = report.seq;
        machine.fencing_token = machine.fencing_token.max(report.fencing_token);
        if received.is_of_this_term() {
            self.capacity_changed |= machine.heard_at.is_none();
            machine.note_heard(received.now, report_due);
        } else {
            machine.known_up_at.get_or_insert(received.now);
        }
        machine.spot_reclaim_at = report.notice_s.map(|left| received.now + crate::millis(left));
        if is_new_epoch {
            machine.begin_agent_epoch(received, self.lease_expiry_ms);
        }
    }

    /// Finds the open attempt that each task of a report belongs to, and takes its
    /// state. Returns the attempts that were found.
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
            let found = self.attempts.find_listed(machine, task, jobs, merged);
            // What has ended stays listed until the worker is told to forget it.
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

    /// Counts the reports in a row that show that answers do not reach the worker.
    fn count_missed_answers(&mut self, ix: MachineIx, path: ReportPath, shows_no_effect: bool) {
        let Some(machine) = self.machines.get_mut(ix) else {
            return;
        };
        if path == ReportPath::CommandReply || std::mem::take(&mut machine.expects_effect) {
            machine.missed_answers = match path {
                ReportPath::Heartbeat if shows_no_effect => machine.missed_answers + 1,
                _ => 0,
            };
        }
        if machine.missed_answers > 0 {
            // An answer to a direct command clears it at once.
            self.delivery_due.insert(ix);
        }
    }

    /// A start of this term that may still arrive keeps ended tasks listed, and
    /// reports may not grow without end.
    fn limit_ended_tasks(&mut self, ix: MachineIx, term: u64) {
        self.needs_higher_term |= self.machines.get(ix).is_some_and(|machine| {
            machine.has_unconfirmed_start_of(term) && machine.unmatched_ended_tasks() >= MAX_LISTED_ENDED_TASKS
        });
    }
}

impl Machine {
    /// Whether a report was sent after all that were merged before.
    fn is_newer(&self, report: &Report) -> bool {
        (report.agent_epoch, report.seq) > (self.agent_epoch, self.seq)
    }

    /// Its worker was heard in this term.
    fn note_heard(&mut self, now: Millis, report_due: Millis) {
        if self.heard_at.is_none() {
            self.idle_since = now;
        }
        self.heard_at = Some(now);
        self.report_due = report_due;
        self.has_unanswered_command = false;
    }

    /// Its worker dropped all tasks and began anew: it started again, or its lease ran out.
    fn begin_agent_epoch(&mut self, received: ReceivedReport<'_>, lease_expiry_ms: Millis) {
        let answered_lately = received.now < self.answered_at + lease_expiry_ms / 2;
        if received.path == ReportPath::Heartbeat && self.heard_at.is_some() && answered_lately {
            // Its lease ran out although it was answered: not by us, then.
            self.missed_answers += MISSED_ANSWERS_TO_CORDON;
        }
        self.unconfirmed_start_term = 0;
        // An agent epoch has its whole lease from its beginning, answered or not.
        self.answered_at = self.answered_at.max(received.now);
    }

    fn unmatched_ended_tasks(&self) -> usize {
        let ended = self
            .unmatched_tasks
            .iter()
            .filter(|task| task.state == TaskState::Exited);
        ended.count()
    }
}

impl Attempts {
    /// The open attempt that a task in its machine's report belongs to. One that the
    /// same report has already proven over is not open any more.
    fn find_listed(
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
