//! The leader's work after each input: maintenance, placement and merging worker reports.
//!
//! Claims, takeover, transactions and direct commands are in modules of their own.

use super::{Controller, SHARD, Shard};
use crate::Millis;
use crate::peers::{JobTaskCounts, Message};
use crate::pipeline::TaskCounts;
use crate::wire::{Report, ReportAnswer};
use crate::workers::{MergeOutcome, ReportPath};

/// The largest number of jobs in one task counts message, so that it stays well below the frame
/// size limit.
const MAX_TASK_COUNTS: usize = 20_000;
/// Delay before claiming again after resigning because of isolation, so that other controllers can
/// claim first.
const RESIGNED_CLAIM_DELAY_MS: Millis = 6_000;
/// Delay before claiming again after a worker reported a higher fencing token.
const OUTRANKED_CLAIM_DELAY_MS: Millis = 1_000;

impl Controller {
    /// Performs the leader's work that is due, or resigns if the leader is isolated. Aborts loading
    /// if it has stalled.
    pub(super) fn advance_leader(&mut self) {
        if !self.leads() || self.shard.is_none() {
            self.abort_stalled_loading();
            return;
        }
        if self.is_isolated() {
            tracing::warn!(
                term = self.election.term(),
                "resigned: no controller and no worker is reachable"
            );
            self.resign(RESIGNED_CLAIM_DELAY_MS);
            return;
        }
        if self.raise_term() {
            return;
        }
        self.maintain();
        self.place();
        self.commit();
        self.deliver_commands();
        self.advance_cloud();
        self.send_task_counts();
    }

    /// Applies the effects of elapsed time: expired attempts, drains, scaling and deletions.
    fn maintain(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.wall_clock = self.wall_clock;
        let was_inactive = self.leader_timers.note_acting(self.now);
        if was_inactive {
            shard.workers.receiving_reports_since = self.now;
        }
        if self.leader_timers.take_maintenance_due(self.now) {
            shard.close_expired_attempts(self.now);
            shard.drain(self.now);
            shard.plan_fleet(self.now);
            self.expire_deliveries();
            self.delete_decommissioned();
        }
    }

    /// Runs a placement round if one is due.
    fn place(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        if std::mem::take(&mut shard.workers.capacity_changed) {
            self.placement_rounds.request();
        }
        let size = shard.workers.machines.len() + shard.jobs.table.len();
        if !self.placement_rounds.take_due(self.now, size) {
            return;
        }
        shard.place(self.now);
        // While only a lease extension is valid, nothing can be written, so no task could be
        // started in place of a preempted one.
        if self.election.is_lease_valid(self.now) {
            shard.preempt(self.now);
        }
    }

    /// Merges a worker report into the shard. Returns `None` if this controller is not the acting
    /// leader. Steps down if the worker has seen a higher fencing token.
    pub(super) fn merge_worker_report(&mut self, report: &Report, path: ReportPath) -> Option<MergeOutcome> {
        let now = self.now;
        if !self.election.is_acting_leader(now) {
            return None;
        }
        let shard = self.shard.as_mut()?;
        let merged = shard.merge_report(now, report, path);
        self.activity.report_merged(&merged);
        match merged {
            MergeOutcome::Newest(ix) => {
                self.leader_timers.note_worker_contact(now);
                let machine = shard.workers.machines.get(ix);
                if machine
                    .is_some_and(|machine| !machine.unmatched_tasks.is_empty() && machine.delivery.not_before <= now)
                {
                    shard.workers.delivery_due.insert(ix);
                }
            }
            MergeOutcome::HigherFencingToken => {
                // Another controller claimed the shard later, even if this controller's lease still
                // looks valid.
                tracing::warn!(
                    fencing_token = report.fencing_token,
                    term = self.election.term(),
                    "lost the shard: a worker has seen a higher fencing token"
                );
                self.step_down(OUTRANKED_CLAIM_DELAY_MS);
                self.watch_cache.invalidate();
            }
            MergeOutcome::Stale | MergeOutcome::MachineDeleted => {}
        }
        Some(merged)
    }

    /// Merges a worker report as the leader and returns the answer: the fencing token and the
    /// commands for the worker. `None` if the report was not accepted.
    ///
    /// `relayed_by` names the peer that relayed the report, if any.
    pub(super) fn answer_report(&mut self, report: &Report, relayed_by: Option<&str>) -> Option<ReportAnswer> {
        let merged = self.merge_worker_report(report, ReportPath::Heartbeat)?;
        let now = self.now;
        let shard = self.shard.as_mut()?;
        if let MergeOutcome::Newest(ix) = merged
            && let Some(machine) = shard.workers.machines.get_mut(ix)
            && machine.relayed_by.as_deref() != relayed_by
        {
            machine.relayed_by = relayed_by.map(str::to_owned);
        }
        let commands = match merged {
            MergeOutcome::Newest(ix) => shard.commands_for_answer(now, ix),
            MergeOutcome::Stale => {
                if let Some(machine) = shard
                    .workers
                    .machines
                    .find(&report.machine)
                    .and_then(|ix| shard.workers.machines.get_mut(ix))
                {
                    machine.answered_at = now;
                }
                Vec::new()
            }
            MergeOutcome::HigherFencingToken | MergeOutcome::MachineDeleted => return None,
        };
        self.activity.commands_answered(&commands);
        Some(ReportAnswer {
            fencing_token: shard.fencing_token_of(&report.machine),
            commands,
        })
    }

    /// Sends the task counts of unfinished jobs to the other controllers if they are due.
    fn send_task_counts(&mut self) {
        if !self.leader_timers.take_task_counts_due(self.now) {
            return;
        }
        let Some(shard) = &self.shard else {
            return;
        };
        let counts: Vec<_> = shard
            .jobs
            .table
            .iter()
            .filter(|(_, job)| job.ended.is_none())
            .filter_map(|(_, job)| {
                let TaskCounts { done, running } = shard.task_counts(&job.id)?;
                Some(JobTaskCounts {
                    job: job.id.clone(),
                    done,
                    running,
                })
            })
            .take(MAX_TASK_COUNTS)
            .collect();
        self.log_summary(shard);
        let shard = SHARD.into();
        self.broadcast(&Message::TaskCounts { shard, counts });
    }

    /// Logs a summary of the shard for operators, once a second.
    fn log_summary(&self, shard: &Shard) {
        let live_jobs = shard.jobs.table.iter().filter(|(_, job)| job.is_active());
        let attempts = || shard.workers.attempts.iter().map(|(_, attempt)| attempt);
        let machines = || shard.workers.machines.iter().map(|(_, machine)| machine);
        let in_flight = shard.pending_writes.in_flight();
        tracing::debug!(
            jobs = shard.jobs.table.len(),
            waiting = live_jobs.map(|(_, job)| job.waiting_tasks()).sum::<u32>(),
            open = attempts().count(),
            unwritten = attempts().filter(|attempt| !attempt.record.is_written()).count(),
            unseen = attempts().filter(|attempt| attempt.observed_state.is_none()).count(),
            machines = shard.workers.machines.len(),
            usable = machines().filter(|machine| machine.usable(self.now)).count(),
            writing_ms = in_flight.map_or(0, |flight| self.now - flight.sent_at),
            queued = self.store_client.queue_len(),
            asked = self.admission.len(),
            "shard summary"
        );
    }
}
