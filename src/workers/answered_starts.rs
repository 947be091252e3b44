//! Start commands in the answers to a machine's reports that its worker may still execute.
//!
//! They belong to the machine and not to the attempts, because a start command can outlive its
//! attempt: the same start is also sent directly, so the attempt may run, end and be closed
//! while the answer is still on its way. Start commands that are sent directly are tracked by
//! [`super::WorkerTokens`].

use crate::Millis;
use crate::wire::Command;

/// How long a command in the answer to a report may still be executed. A worker discards the
/// answer to its report after 4 s.
const ANSWER_LIFETIME_MS: Millis = 4_500;

/// A start command in the answer to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AnsweredStart {
    task: String,
    attempt: u64,
    /// Fencing token of the answer. A worker that has seen a higher one drops the answer.
    fencing_token: u64,
    answered_at: Millis,
}

/// The start commands in recent answers to one machine's reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnsweredStarts {
    starts: Vec<AnsweredStart>,
}

impl AnsweredStarts {
    /// Records the start commands in an answer under this fencing token that is given now, and drops
    /// the recorded ones that have expired.
    pub(super) fn record(&mut self, now: Millis, fencing_token: u64, commands: &[Command]) {
        self.starts.retain(|start| !has_expired(start, now));
        let added = commands.iter().filter_map(|command| match command {
            Command::Start { task, attempt } => Some(AnsweredStart {
                task: task.clone(),
                attempt: *attempt,
                fencing_token,
                answered_at: now,
            }),
            Command::Stop { .. } | Command::Forget { .. } => None,
        });
        self.starts.extend(added);
    }

    /// Discards all start commands, because the worker sent a report on its own after the answered
    /// one, or began a new agent epoch. It has one report in flight at a time, so it has executed
    /// or dropped the answers to all earlier ones.
    pub(super) fn settle(&mut self) {
        self.starts = Vec::new();
    }

    /// Whether a start command of this attempt may be executed after `time` by a worker that has
    /// seen `fencing_token`.
    pub(super) fn may_be_executed(&self, task: &str, attempt: u64, time: Millis, fencing_token: u64) -> bool {
        self.starts.iter().any(|start| {
            start.attempt == attempt
                && start.fencing_token >= fencing_token
                && !has_expired(start, time)
                && start.task == task
        })
    }
}

/// Whether the answer with this start command is too old at `time` to be accepted by the worker.
fn has_expired(start: &AnsweredStart, time: Millis) -> bool {
    time > start.answered_at + ANSWER_LIFETIME_MS
}

#[cfg(test)]
mod tests;
