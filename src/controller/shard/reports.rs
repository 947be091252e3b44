//! Reports of workers: merging them, answering them, and closing what they or an expired
//! lease prove over.

use super::Shard;
use crate::Millis;
use crate::ids::MachineIx;
use crate::wire::{Command, Report};
use crate::workers::{MergeOutcome, MergedReport, ReceivedReport, ReportPath};

impl Shard {
    /// Merges a report, whether it came by itself or answered direct commands.
    pub fn merge_report(&mut self, now: Millis, report: &Report, path: ReportPath) -> MergeOutcome {
        if let Some(rejected) = self.workers.reject_report(report, self.term) {
            return rejected;
        }
        let ix = match self.workers.machines.find(&report.machine) {
            Some(ix) => ix,
            // Not rented by anybody we know of, or rented late: it is used, or
            // returned once idle, like any other.
            None => self.add_unverified_machine(now, report),
        };
        if path == ReportPath::CommandReply {
            self.add_to_inventory(ix);
        }
        let received = ReceivedReport {
            report,
            path,
            now,
            term: self.term,
        };
        let merged = self.workers.merge_report(ix, received, &self.jobs);
        self.apply_report(now, merged)
    }

    /// Applies what follows from a report for jobs, teams and the inventory.
    fn apply_report(&mut self, now: Millis, merged: MergedReport) -> MergeOutcome {
        self.fleet.inventory.address_changed(merged.group_to_rewrite);
        for ended in merged.ended {
            self.close_attempt(now, ended.attempt, ended.outcome);
        }
        self.pending_writes.queue_urgent_chunks(merged.chunks_to_rewrite);
        merged.outcome
    }

    /// What a report is answered with, and so what the next one must show.
    pub fn answer_commands(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        self.workers.answer_commands(now, self.term, ix, &self.jobs)
    }

    /// Everything that a machine should be told now, in order.
    pub fn commands(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        self.workers.commands(now, self.term, ix, &self.jobs)
    }

    /// Closes everything on machines whose worker's lease has surely expired.
    pub fn close_expired_attempts(&mut self, now: Millis) {
        for expired in self.workers.expired_attempts(now) {
            self.close_attempt(now, expired.attempt, expired.outcome);
        }
    }

    /// Stops in time what runs on machines that the cloud is about to take.
    pub fn drain(&mut self, now: Millis) {
        self.workers.drain(now, &self.jobs);
    }
}
