//! Counts of what this controller has done and received, for a line in the log at intervals.

use super::{Controller, WorkerReply};
use crate::Millis;
use crate::wire::{Command, TaskState};
use crate::workers::{MergeOutcome, Workers};

/// How often the counts are logged.
const LOG_INTERVAL_MS: Millis = 10_000;

/// Commands to workers, by kind.
#[derive(Clone, Copy, Debug, Default)]
struct CommandCounts {
    starts: u64,
    stops: u64,
    forgets: u64,
}

impl CommandCounts {
    fn add(&mut self, commands: &[Command]) {
        for command in commands {
            *match command {
                Command::Start { .. } => &mut self.starts,
                Command::Stop { .. } => &mut self.stops,
                Command::Forget { .. } => &mut self.forgets,
            } += 1;
        }
    }
}

/// Answers to users of this controller, by status.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerCounts {
    accepted: u64,
    known: u64,
    unknown: u64,
    refused: u64,
    unavailable: u64,
}

/// What was done and received since the counts were last logged.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Commands in answers to reports, and in direct calls.
    in_answers: CommandCounts,
    in_calls: CommandCounts,
    calls_executed: u64,
    calls_refused: u64,
    calls_failed: u64,
    reports: u64,
    stale_reports: u64,
    answers: AnswerCounts,
}

/// The counts since the last line, and when that was.
#[derive(Debug, Default)]
pub(super) struct Activity {
    counts: Counts,
    logged_at: Millis,
}

impl Activity {
    /// Counts the commands in the answer to a report.
    pub(super) fn commands_answered(&mut self, commands: &[Command]) {
        self.counts.in_answers.add(commands);
    }

    /// Counts the commands of a direct call.
    pub(super) fn commands_sent(&mut self, commands: &[Command]) {
        self.counts.in_calls.add(commands);
    }

    /// Counts the outcome of a direct call.
    pub(super) fn call_ended(&mut self, reply: &WorkerReply) {
        *match reply {
            WorkerReply::Executed(_) => &mut self.counts.calls_executed,
            WorkerReply::Refused(_) => &mut self.counts.calls_refused,
            WorkerReply::NotDelivered | WorkerReply::Unanswered => &mut self.counts.calls_failed,
        } += 1;
    }

    /// Counts a report that a worker sent, or its reply to a direct call.
    pub(super) fn report_merged(&mut self, outcome: &MergeOutcome) {
        self.counts.reports += 1;
        self.counts.stale_reports += u64::from(*outcome == MergeOutcome::Stale);
    }

    /// Counts the answer to a user.
    pub(super) fn user_answered(&mut self, status: u16) {
        let answers = &mut self.counts.answers;
        *match status {
            201 => &mut answers.accepted,
            200 => &mut answers.known,
            404 => &mut answers.unknown,
            400 | 422 => &mut answers.refused,
            _ => &mut answers.unavailable,
        } += 1;
    }

    /// Returns the counts and begins the next interval, if a line is due.
    fn take_due(&mut self, now: Millis) -> Option<Counts> {
        if now < self.logged_at + LOG_INTERVAL_MS {
            return None;
        }
        self.logged_at = now;
        Some(std::mem::take(&mut self.counts))
    }
}

impl Controller {
    /// Logs what was done since the last line, if one is due.
    pub(super) fn log_activity(&mut self) {
        let Some(counts) = self.activity.take_due(self.now) else {
            return;
        };
        let answers = counts.answers;
        tracing::info!(
            revision = self.watch_cache.revision(),
            leader = self.watch_cache.leader().map(|(leader, _)| leader.node.as_str()),
            accepted = answers.accepted,
            known = answers.known,
            unknown = answers.unknown,
            refused = answers.refused,
            unavailable = answers.unavailable,
            "answered users"
        );
        if self.leads() {
            self.log_leader_activity(&counts);
        }
    }

    fn log_leader_activity(&mut self, counts: &Counts) {
        let term = self.election.term();
        let Some(shard) = &mut self.shard else {
            return;
        };
        let closed = std::mem::take(&mut shard.closed_attempts);
        let tokens_raised = std::mem::take(&mut shard.workers.tokens_raised);
        let exited = ExitedTasks::listed_by(&shard.workers);
        let (answered, called) = (counts.in_answers, counts.in_calls);
        tracing::info!(
            term,
            tokens_raised,
            starts_in_answers = answered.starts,
            starts_in_calls = called.starts,
            stops = answered.stops + called.stops,
            forgets = answered.forgets + called.forgets,
            calls_executed = counts.calls_executed,
            calls_refused = counts.calls_refused,
            calls_failed = counts.calls_failed,
            reports = counts.reports,
            stale_reports = counts.stale_reports,
            done = closed.done,
            failed = closed.failed,
            start_refused = closed.refused,
            stopped = closed.stopped,
            lost = closed.lost,
            open = shard.workers.attempts.iter().count(),
            exited_listed = exited.total,
            exited_listed_max = exited.largest,
            exited_listed_max_on = exited.machine,
            "led the shard"
        );
    }
}

/// The exited tasks that machines list, since they have not been told to forget them.
#[derive(Debug, Default)]
struct ExitedTasks<'a> {
    total: usize,
    /// The largest number on one machine, and that machine.
    largest: usize,
    machine: Option<&'a str>,
}

impl ExitedTasks<'_> {
    fn listed_by(workers: &Workers) -> ExitedTasks<'_> {
        let mut listed = ExitedTasks::default();
        for (_, machine) in workers.machines.iter() {
            let unmatched = machine.unmatched_tasks.iter();
            let count = unmatched.filter(|task| task.state == TaskState::Exited).count();
            listed.total += count;
            if count > listed.largest {
                listed.largest = count;
                listed.machine = Some(&machine.name);
            }
        }
        listed
    }
}
