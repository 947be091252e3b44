//! Workers that follow the published protocol, for tests of the commands that controllers send.

use super::*;
use crate::wire::{Command, DirectCommands, ExitReason, Redirect, Report, ReportAnswer, TaskReport, TaskState};
use std::collections::{BTreeMap, BTreeSet};

/// How often a worker reports, and how soon after a change.
const REPORT_INTERVAL_MS: Millis = 1_000;
const REPORT_AFTER_CHANGE_MS: Millis = 100;
/// How long a worker waits for the answer to a report, and before it reports to the next controller.
const ANSWER_TIMEOUT_MS: Millis = 4_000;
const NEXT_CONTROLLER_DELAY_MS: Millis = 1_000;

/// A task and the number of its attempt.
pub type TaskAttempt = (String, u64);

/// A worker whose agent epoch and tasks end when the test ends them.
#[derive(Default)]
pub struct WorkerStandIn {
    /// The name of the machine, which is also the worker's address.
    pub name: String,
    /// Whether it sends and receives nothing.
    pub is_silent: bool,
    /// Whether it refuses to start tasks because it lacks room.
    pub refuses_starts: bool,
    /// Attempts that began to run in the present agent epoch, in this order.
    pub started: Vec<TaskAttempt>,
    /// Attempts that it was told to forget.
    pub forgotten: Vec<TaskAttempt>,
    /// The direct commands that reached it, and the controllers that sent them.
    pub received: Vec<DirectCommands>,
    pub senders: Vec<usize>,
    /// How many answers to its reports it dropped because of their lower fencing token.
    pub dropped_answers: usize,
    agent_epoch: u64,
    fencing_token: u64,
    seq: u64,
    tasks: BTreeMap<TaskAttempt, (TaskState, Option<ExitReason>)>,
    /// The controller that it reports to.
    node: usize,
    report_sent_at: Option<Millis>,
    next_report_at: Millis,
}

impl WorkerStandIn {
    pub fn new(name: &str) -> WorkerStandIn {
        WorkerStandIn {
            name: name.into(),
            agent_epoch: 1,
            ..WorkerStandIn::default()
        }
    }

    /// Begins the next agent epoch, without tasks.
    pub fn begin_agent_epoch(&mut self) {
        self.agent_epoch += 1;
        self.tasks.clear();
        self.started.clear();
        self.report_sent_at = None;
    }

    /// Returns the tasks that run.
    pub fn running_tasks(&self) -> BTreeSet<&str> {
        let tasks = self.tasks.iter();
        let running = tasks.filter(|(_, (state, _))| *state == TaskState::Running);
        running.map(|((task, _), _)| task.as_str()).collect()
    }

    /// Makes it report to this controller, at once and from now on.
    pub fn report_to(&mut self, node: usize) {
        self.node = node;
        self.report_sent_at = None;
        self.next_report_at = 0;
    }

    /// Ends all running tasks.
    pub fn end_tasks(&mut self, exit_reason: ExitReason) {
        for (state, reason) in self.tasks.values_mut() {
            if *state == TaskState::Running {
                (*state, *reason) = (TaskState::Exited, Some(exit_reason));
            }
        }
        self.next_report_at = 0;
    }

    /// Executes each direct command that has reached it once more.
    pub fn receive_all_again(&mut self, now: Millis) {
        for commands in self.received.clone() {
            self.receive_commands(now, &commands);
        }
    }

    /// Executes direct commands, unless it has seen a higher fencing token.
    pub fn receive_commands(&mut self, now: Millis, commands: &DirectCommands) -> WorkerReply {
        if commands.fencing_token < self.fencing_token || commands.agent_epoch != self.agent_epoch {
            return WorkerReply::Refused(Box::new(self.report()));
        }
        self.fencing_token = commands.fencing_token;
        self.execute(now, &commands.commands);
        WorkerReply::Executed(Box::new(self.report()))
    }

    /// Takes the answer to its report.
    pub fn receive_answer(&mut self, now: Millis, answer: &Answer) {
        if self.is_silent || self.report_sent_at.take().is_none() {
            return;
        }
        if let Ok(answer) = serde_json::from_str::<ReportAnswer>(&answer.body) {
            if answer.fencing_token >= self.fencing_token {
                self.fencing_token = answer.fencing_token;
                self.execute(now, &answer.commands);
            } else {
                self.dropped_answers += 1;
            }
            return;
        }
        let redirect = serde_json::from_str::<Redirect>(&answer.body).ok();
        let named = redirect.and_then(|redirect| redirect.report_to?.strip_prefix("stall-")?.parse().ok());
        self.node = named.unwrap_or(self.node + 1);
        self.next_report_at = now + NEXT_CONTROLLER_DELAY_MS;
    }

    /// Returns the report that it sends now, if one is due, and the controller that it is sent to.
    pub fn due_report(&mut self, now: Millis, nodes: usize) -> Option<(usize, Report)> {
        if self.report_sent_at.is_some_and(|at| now >= at + ANSWER_TIMEOUT_MS) {
            self.report_sent_at = None;
            self.node += 1;
        }
        if self.is_silent || self.report_sent_at.is_some() || now < self.next_report_at {
            return None;
        }
        self.report_sent_at = Some(now);
        self.next_report_at = now + REPORT_INTERVAL_MS;
        self.node %= nodes;
        Some((self.node, self.report()))
    }

    /// Returns a report of its tasks.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), (state, reason))| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            exit_reason: *reason,
        });
        Report {
            machine: self.name.clone(),
            address: self.name.clone(),
            machine_type: "small".into(),
            zone: "north".into(),
            spot: false,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    fn execute(&mut self, now: Millis, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt),
                Command::Forget { task, attempt } => self.forget(task, *attempt),
            }
        }
        if !commands.is_empty() {
            self.next_report_at = self.next_report_at.min(now + REPORT_AFTER_CHANGE_MS);
        }
    }

    fn start(&mut self, task: &str, attempt: u64) {
        let key = (task.to_owned(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let is_busy = self.tasks.keys().any(|(other, _)| other == task);
        let refusal = match (is_busy, self.refuses_starts) {
            (true, _) => Some(ExitReason::Busy),
            (false, true) => Some(ExitReason::NoRoom),
            (false, false) => None,
        };
        let state = if refusal.is_some() {
            TaskState::Exited
        } else {
            self.started.push(key.clone());
            TaskState::Running
        };
        self.tasks.insert(key, (state, refusal));
    }

    fn stop(&mut self, task: &str, attempt: u64) {
        if let Some((state, reason)) = self.tasks.get_mut(&(task.to_owned(), attempt))
            && *state == TaskState::Running
        {
            (*state, *reason) = (TaskState::Exited, Some(ExitReason::Stopped));
        }
    }

    fn forget(&mut self, task: &str, attempt: u64) {
        let key = (task.to_owned(), attempt);
        if self
            .tasks
            .get(&key)
            .is_some_and(|(state, _)| *state == TaskState::Exited)
        {
            self.tasks.remove(&key);
            self.forgotten.push(key);
        }
    }
}
