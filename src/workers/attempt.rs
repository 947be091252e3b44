//! One attempt to run a task, from its placement until there is proof that it has ended.

use crate::Millis;
use crate::ids::{AttemptIx, JobIx, MachineIx};
use crate::wire::{ExitReason, TaskState};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task completed successfully.
    Done,
    /// The task failed.
    Error,
    /// The worker refused to start the attempt, or gave no exit reason or an unknown one.
    Refused,
    /// The worker stopped the attempt on command.
    Stopped,
    /// The attempt ended with its machine or its agent epoch, or it never started.
    Lost,
}

impl Outcome {
    /// Returns the outcome for the exit reason that a worker reported.
    pub fn from_exit_reason(reason: Option<ExitReason>) -> Outcome {
        match reason {
            Some(ExitReason::Done) => Outcome::Done,
            Some(ExitReason::Error) => Outcome::Error,
            Some(ExitReason::Stopped) => Outcome::Stopped,
            _ => Outcome::Refused,
        }
    }
}

/// Numbers of closed attempts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Completed.
    pub done: u64,
    /// Failed.
    pub failed: u64,
    /// Refused by the worker.
    pub refused: u64,
    /// Stopped on command.
    pub stopped: u64,
    /// Ended with the machine or agent epoch, or never started.
    pub lost: u64,
}

impl OutcomeCounts {
    /// Counts one closed attempt.
    pub fn add(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Done => &mut self.done,
            Outcome::Error => &mut self.failed,
            Outcome::Refused => &mut self.refused,
            Outcome::Stopped => &mut self.stopped,
            Outcome::Lost => &mut self.lost,
        } += 1;
    }
}

/// An attempt that has provably ended and has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Index of the attempt, valid until it is closed.
    pub attempt: AttemptIx,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// State of an attempt's record in the state service.
///
/// An attempt may start only after its record is written. An attempt that can no longer
/// start keeps its resources reserved until its record is removed: a new leader would
/// otherwise read the record and start the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// Only this leader knows of the attempt.
    Planned,
    /// The transaction in flight writes the record.
    BeingWritten,
    /// The state service holds the record.
    Written,
    /// The record is written and has to be removed, since the attempt never starts.
    Withdrawn,
    /// The transaction in flight removes the record.
    BeingRemoved,
}

/// Change that a committed transaction made to an attempt's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommittedRecord {
    /// The state service now holds the record.
    Written,
    /// The state service no longer holds the record.
    Removed,
}

impl RecordState {
    /// Whether the state service is known to hold the record.
    pub fn is_written(self) -> bool {
        matches!(
            self,
            RecordState::Written | RecordState::Withdrawn | RecordState::BeingRemoved
        )
    }

    /// Whether it is certain that the attempt never starts.
    pub fn is_withdrawn(self) -> bool {
        matches!(self, RecordState::Withdrawn | RecordState::BeingRemoved)
    }

    /// Updates the state when a transaction that writes the records of the chunk is sent.
    pub fn start_write(&mut self) {
        *self = match *self {
            RecordState::Planned | RecordState::BeingWritten => RecordState::BeingWritten,
            RecordState::Written => RecordState::Written,
            RecordState::Withdrawn | RecordState::BeingRemoved => RecordState::BeingRemoved,
        };
    }

    /// Updates the state when it is certain that the transaction in flight was not applied.
    pub fn write_failed(&mut self) {
        *self = match *self {
            RecordState::Planned | RecordState::BeingWritten => RecordState::Planned,
            RecordState::Written => RecordState::Written,
            RecordState::Withdrawn | RecordState::BeingRemoved => RecordState::Withdrawn,
        };
    }

    /// Updates the state when the transaction in flight was applied. Returns `None` if that
    /// transaction did not change this record.
    pub fn write_committed(&mut self) -> Option<CommittedRecord> {
        match *self {
            RecordState::BeingWritten => {
                *self = RecordState::Written;
                Some(CommittedRecord::Written)
            }
            RecordState::BeingRemoved => Some(CommittedRecord::Removed),
            RecordState::Planned | RecordState::Written | RecordState::Withdrawn => None,
        }
    }
}

/// An attempt to run a task on one machine.
#[derive(Debug)]
pub struct Attempt {
    /// Job that the task belongs to.
    pub job: JobIx,
    /// Number of the task within its job.
    pub task: u32,
    /// Number of the attempt. Numbers increase within a chunk of the job's tasks.
    pub number: u64,
    /// Machine on which the attempt runs or will run.
    pub machine: MachineIx,
    /// Agent epoch of the worker for which the attempt was placed.
    pub agent_epoch: u64,
    /// State of the attempt's record in the state service.
    pub record: RecordState,
    /// State of the attempt in the machine's newest report; `None` if that report does not
    /// list it.
    pub observed_state: Option<TaskState>,
    /// When a report first listed the attempt as running; `None` before that, and again once a
    /// report no longer lists the attempt.
    pub running_since: Option<Millis>,
    /// Whether a start command was due in the answer to the machine's last report.
    pub start_in_last_answer: bool,
    /// Seconds that the task may take to save its progress, if the attempt is to stop; `None`
    /// while it is wanted.
    pub stop_grace_s: Option<f64>,
    /// Highest fencing token under which its start command may have been sent directly; `None` if
    /// it was not.
    pub direct_start_token: Option<u64>,
}

impl Attempt {
    /// Returns a new attempt that this leader has planned and not yet written.
    pub fn new(job: JobIx, task: u32, number: u64, machine: MachineIx, agent_epoch: u64) -> Attempt {
        Attempt {
            job,
            task,
            number,
            machine,
            agent_epoch,
            record: RecordState::Planned,
            observed_state: None,
            running_since: None,
            start_in_last_answer: false,
            stop_grace_s: None,
            direct_start_token: None,
        }
    }

    /// Whether the attempt's record is neither written nor in the transaction in flight. Such
    /// an attempt is known only to this leader and can be dropped immediately.
    pub fn is_only_planned(&self) -> bool {
        self.record == RecordState::Planned
    }

    /// Whether the attempt should be started: its record is written, the newest report does
    /// not list it, and it is not to stop.
    pub fn is_start_due(&self) -> bool {
        self.record.is_written() && self.observed_state.is_none() && self.stop_grace_s.is_none()
    }

    /// Whether the attempt is to stop although its record is written and the newest report does not
    /// list it: it ends once it is certain never to start.
    pub(super) fn is_unwanted_and_unseen(&self) -> bool {
        self.record.is_written() && self.observed_state.is_none() && self.stop_grace_s.is_some()
    }

    /// Whether a direct start command may be executed after a command that carries this fencing
    /// token, or by a worker that has seen it.
    pub(super) fn may_be_started_after(&self, fencing_token: u64) -> bool {
        self.direct_start_token.is_some_and(|token| token >= fencing_token)
    }

    /// Records the state in which a report lists the attempt.
    pub(super) fn observe(&mut self, now: Millis, state: TaskState) {
        self.observed_state = Some(state);
        if state == TaskState::Running && self.running_since.is_none() {
            self.running_since = Some(now);
        }
    }

    /// Records that the newest report does not list the attempt.
    pub(super) fn clear_observed_state(&mut self) {
        self.observed_state = None;
        self.running_since = None;
    }

    /// Returns for how many seconds reports have listed the attempt as running.
    pub(super) fn observed_running_s(&self, now: Millis) -> f64 {
        self.running_since.map_or(0.0, |since| (now - since) as f64 / 1000.0)
    }
}

#[cfg(test)]
mod tests;
