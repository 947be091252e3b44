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
    /// Its firing is known to be in the state service; only then may it start.
    pub written: bool,
    /// In the transaction now in flight.
    pub writing: bool,
    /// State in the newest report; `None` while no report has shown it.
    pub observed_state: Option<TaskState>,
    /// When a report first showed it running.
    pub running_since: Option<Millis>,
    /// When a start command last left, by a report's answer or directly.
    pub start_sent: Option<Millis>,
    /// One left in the answer to the last report.
    pub start_answered: bool,
    /// Asked to stop, with this much time to save.
    pub stop: Option<f64>,
    /// Proven never to start. It keeps its room until its record is gone from the
    /// state service: a new leader would read it there and start it.
    pub withdrawn: bool,
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
            written: false,
            writing: false,
            observed_state: None,
            running_since: None,
            start_sent: None,
            start_answered: false,
            stop: None,
            withdrawn: false,
        }
    }

    /// Its firing is neither written nor in the transaction in flight: nobody else
    /// knows of it, and it can be dropped at once.
    pub fn is_only_planned(&self) -> bool {
        !self.written && !self.writing
    }

    /// It may start, no report has shown it yet, and it is still wanted.
    pub fn is_start_due(&self) -> bool {
        self.written && self.observed_state.is_none() && self.stop.is_none()
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
