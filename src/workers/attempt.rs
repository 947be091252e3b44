//! One attempt at a task, from its placement until it is proven over.

use crate::Millis;
use crate::ids::{AttemptIx, JobIx, MachineIx};
use crate::wire::{ExitReason, TaskState};

/// A worker drops a report's answer after 4 s; a command in it is then dead.
const ANSWER_LIFE_MS: Millis = 4_500;

/// How an attempt was proven over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its task is done.
    Done,
    /// Its task failed.
    Error,
    /// Refused by the worker.
    Refused,
    /// Stopped by command.
    Stopped,
    /// Gone with its machine or its agent epoch, or never started.
    Lost,
}

impl Outcome {
    /// What a worker's reason for an exit means.
    pub fn of_exit(reason: Option<ExitReason>) -> Outcome {
        match reason {
            Some(ExitReason::Done) => Outcome::Done,
            Some(ExitReason::Error) => Outcome::Error,
            Some(ExitReason::Stopped) => Outcome::Stopped,
            _ => Outcome::Refused,
        }
    }
}

/// An attempt that is proven over, and is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptIx,
    /// How it ended.
    pub outcome: Outcome,
}

/// How the record of an attempt in the state service stands. Only a written attempt may
/// start. One that is proven never to start keeps its room until its record is gone: a new
/// leader would read the record and start it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// Nobody else knows of the attempt.
    Planned,
    /// In the transaction in flight.
    BeingWritten,
    /// Known to be in the state service.
    Written,
    /// Written, and to be removed since the attempt never starts.
    Withdrawn,
    /// Its removal is in the transaction in flight.
    BeingRemoved,
}

/// What a committed transaction made of a record that it held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommittedRecord {
    /// The record is in the state service now.
    Written,
    /// The record is gone.
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

    /// Whether the attempt is proven never to start.
    pub fn is_withdrawn(self) -> bool {
        matches!(self, RecordState::Withdrawn | RecordState::BeingRemoved)
    }

    /// A transaction that writes the chunk's records as they stand is sent.
    pub fn start_write(&mut self) {
        *self = match *self {
            RecordState::Planned | RecordState::BeingWritten => RecordState::BeingWritten,
            RecordState::Written => RecordState::Written,
            RecordState::Withdrawn | RecordState::BeingRemoved => RecordState::BeingRemoved,
        };
    }

    /// The transaction in flight was surely not applied.
    pub fn write_failed(&mut self) {
        *self = match *self {
            RecordState::Planned | RecordState::BeingWritten => RecordState::Planned,
            RecordState::Written => RecordState::Written,
            RecordState::Withdrawn | RecordState::BeingRemoved => RecordState::Withdrawn,
        };
    }

    /// The transaction in flight was applied. `None`: it did not change this record.
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

/// An attempt at a task, on one machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job that the task belongs to.
    pub job: JobIx,
    /// The task's number within its job.
    pub task: u32,
    /// The attempt's number, which rises within a chunk of the job's tasks.
    pub number: u64,
    /// Where it runs or is to run.
    pub machine: MachineIx,
    /// The agent epoch of the worker that it was placed for.
    pub agent_epoch: u64,
    /// How its record in the state service stands.
    pub record: RecordState,
    /// State in the newest report; `None` while no report has shown it.
    pub observed_state: Option<TaskState>,
    /// When a report first showed it running.
    pub running_since: Option<Millis>,
    /// When a start command last left, by a report's answer or directly.
    pub start_sent: Option<Millis>,
    /// One left in the answer to the last report.
    pub start_answered: bool,
    /// Asked to stop, with this much time to save.
    pub stop_grace_s: Option<f64>,
}

impl Attempt {
    /// An attempt that this leader has planned, and that nobody else knows of yet.
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
            start_sent: None,
            start_answered: false,
            stop_grace_s: None,
        }
    }

    /// Its firing is neither written nor in the transaction in flight: nobody else
    /// knows of it, and it can be dropped at once.
    pub fn is_only_planned(&self) -> bool {
        self.record == RecordState::Planned
    }

    /// It may start, no report has shown it yet, and it is still wanted.
    pub fn is_start_due(&self) -> bool {
        self.record.is_written() && self.observed_state.is_none() && self.stop_grace_s.is_none()
    }

    /// A report lists it in this state.
    pub(super) fn observe(&mut self, now: Millis, state: TaskState) {
        self.observed_state = Some(state);
        if state == TaskState::Running && self.running_since.is_none() {
            self.running_since = Some(now);
        }
    }

    /// The newest report does not list it.
    pub(super) fn observe_absence(&mut self) {
        self.observed_state = None;
        self.running_since = None;
    }

    /// No start that left in the answer to a report can still be carried out.
    pub(super) fn is_answered_start_dead(&self, now: Millis) -> bool {
        self.start_sent.is_none_or(|sent| now > sent + ANSWER_LIFE_MS)
    }

    /// How long reports have shown it running.
    pub(super) fn ran_s(&self, now: Millis) -> f64 {
        self.running_since.map_or(0.0, |since| (now - since) as f64 / 1000.0)
    }
}

#[cfg(test)]
mod tests;
