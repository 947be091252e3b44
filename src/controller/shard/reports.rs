//! Worker reports: merges them, returns the commands that answer them, and closes the attempts
//! that have ended according to a report or because a lease has expired.

use super::Shard;
use crate::Millis;
use crate::ids::MachineIx;
use crate::wire::{Command, Report};
use crate::workers::{MergeOutcome, MergedReport, ReceivedReport, ReportPath};

impl Shard {
    /// Merges a report that a worker sent on its own or in reply to direct commands.
    pub fn merge_report(&mut self, now: Millis, report: &Report, path: ReportPath) -> MergeOutcome {
        if let Some(rejected) = self.workers.reject_report(report, self.term) {
            return rejected;
        }
        let ix = match self.workers.machines.find(&report.machine) {
            Some(ix) => ix,
            // The machine was provisioned late or by a request that this leader does not know of.
            // Once verified, it is used, or decommissioned when idle, like any other.
            None => self.add_unverified_machine(now, report),
        };
        if path.is_command_reply() {
            // Only a machine that exists replies to a command.
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

    /// Applies the consequences of a merged report for jobs, teams and the inventory.
    fn apply_report(&mut self, now: Millis, merged: MergedReport) -> MergeOutcome {
        self.fleet.inventory.address_changed(merged.group_to_rewrite);
        for ended in merged.ended {
            self.close_attempt(now, ended.attempt, ended.outcome);
        }
        self.pending_writes.queue_urgent_chunks(merged.chunks_to_rewrite);
        merged.outcome
    }

    /// Returns the commands for the answer to a machine's report, and records the start commands
    /// among them and which effects the next report must show.
    pub fn commands_for_answer(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        self.workers.commands_for_answer(now, self.term, ix, &self.jobs)
    }

    /// Returns the fencing token of the next message to a machine's worker.
    pub fn fencing_token_of(&self, name: &str) -> u64 {
        let machine = self.workers.machines.find(name);
        let machine = machine.and_then(|ix| self.workers.machines.get(ix));
        machine.map_or(self.term, |machine| machine.tokens.current(self.term))
    }

    /// Returns the commands that a machine's worker should receive now, in order.
    pub fn commands(&self, now: Millis, ix: MachineIx) -> Vec<Command> {
        self.workers.commands(now, self.term, ix, &self.jobs)
    }

    /// Closes all attempts on machines whose worker's lease has certainly expired.
    pub fn close_expired_attempts(&mut self, now: Millis) {
        for expired in self.workers.expired_attempts(now) {
            self.close_attempt(now, expired.attempt, expired.outcome);
        }
    }

    /// Stops tasks on machines that the cloud is about to reclaim, with time to save their progress
    /// where possible.
    pub fn drain(&mut self, now: Millis) {
        self.workers.drain(now, &self.jobs);
    }
}
