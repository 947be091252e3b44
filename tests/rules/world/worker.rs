//! A simulated worker that follows the published worker protocol, and its machine.

use std::collections::{BTreeMap, BTreeSet};
use sumacbend::wire::{Command, DirectCommands, ExitReason, Report, ReportAnswer, TaskReport, TaskState};

/// A run time in milliseconds that marks a task as failing on every machine.
pub const ALWAYS_FAILS_MS: u64 = 0;

/// An attempt of a task, as its worker knows it.
pub struct WorkerTask {
    pub attempt: u64,
    pub state: TaskState,
    /// Set once the attempt has exited.
    pub exit_reason: Option<ExitReason>,
    /// When it leaves its state without a command: the end of fetching, running or saving.
    pub until: u64,
    /// How long it runs, in milliseconds.
    pub run_ms: u64,
}

impl WorkerTask {
    /// Marks the attempt as exited.
    fn exit(&mut self, exit_reason: ExitReason) {
        self.state = TaskState::Exited;
        self.exit_reason = Some(exit_reason);
    }
}

/// A worker agent and the rented machine that it runs on.
pub struct Worker {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// When the machine was rented.
    pub requested_at: u64,
    /// When the machine has booted.
    pub up_at: u64,
    /// Whether the machine was deleted or reclaimed.
    pub terminated: bool,
    /// Until when it and the controllers can't reach each other.
    pub cut_until: u64,
    /// Until when answers and direct commands don't reach it.
    pub receives_nothing_until: u64,
    /// Until when it reaches no controller.
    pub reaches_no_controller_until: u64,
    /// Until when it hangs: its tasks make no progress, and it sends no reports and receives no
    /// answers.
    pub hung_until: u64,
    /// Until when every task that starts on it fails.
    pub fails_tasks_until: u64,
    /// The number of the agent's current run; a new one starts without tasks.
    pub agent_epoch: u64,
    /// The sequence number of the last report.
    pub seq: u64,
    /// The highest fencing token seen; commands with a lower one are refused.
    pub fencing_token: u64,
    /// The time from which its lease counts: the send time of the last acknowledged report, or the
    /// start of the agent epoch.
    pub lease_start: u64,
    /// When the cloud takes the machine away, on-demand machines included.
    pub spot_reclaim_at: Option<u64>,
    /// The controller that it reports to.
    pub node: usize,
    /// The id and send time of the report that waits for an answer.
    pub report_in_flight: Option<(u64, u64)>,
    /// When the next report is due.
    pub next_report_at: u64,
    /// Attempts that have begun in the present agent epoch.
    pub begun_attempts: BTreeSet<(String, u64)>,
    /// Its tasks by name, including exited ones that the controller has not yet told it to
    /// forget.
    pub tasks: BTreeMap<String, WorkerTask>,
}

/// A change of a task on a worker that the rules are checked against.
pub enum Effect {
    /// The task has begun to run.
    Started { task: String },
    /// An attempt has begun for the second time in an agent epoch.
    AttemptRepeated { task: String, attempt: u64 },
    /// A task that ran or saved has ended; `done` if it succeeded.
    Ended { task: String, done: bool },
}

impl Worker {
    /// Whether the machine has booted and is not terminated.
    pub fn is_up(&self, now: u64) -> bool {
        !self.terminated && now >= self.up_at
    }

    /// Returns until when neither answers nor direct commands reach the worker.
    pub fn unreachable_until(&self) -> u64 {
        self.cut_until.max(self.receives_nothing_until).max(self.hung_until)
    }

    /// Whether the machine is up and reachable, doesn't fail its tasks, and is not about to be
    /// reclaimed.
    pub fn is_healthy(&self, now: u64) -> bool {
        let until = self.unreachable_until().max(self.reaches_no_controller_until);
        self.is_up(now) && now >= until && now >= self.fails_tasks_until && self.spot_reclaim_at.is_none()
    }

    /// Builds the next report, with a new sequence number.
    pub fn build_report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.name.clone(),
            address: self.name.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(task, worker_task)| TaskReport {
                    task: task.clone(),
                    attempt: worker_task.attempt,
                    state: worker_task.state,
                    exit_reason: worker_task.exit_reason,
                })
                .collect(),
        }
    }

    /// Advances the worker to `now`: an expired lease starts a new agent epoch, and tasks whose
    /// fetching, running or saving is over change their state.
    pub fn advance(&mut self, now: u64, lease_ms: u64, effects: &mut Vec<Effect>) {
        if now > self.lease_start + lease_ms {
            self.begin_epoch(now, effects);
        }
        for (task, worker_task) in &mut self.tasks {
            if worker_task.state == TaskState::Fetching && now >= worker_task.until {
                worker_task.state = TaskState::Running;
                worker_task.until = now + worker_task.run_ms;
                effects.push(Effect::Started { task: task.clone() });
                if now < self.fails_tasks_until || worker_task.run_ms == ALWAYS_FAILS_MS {
                    worker_task.exit(ExitReason::Error);
                    effects.push(Effect::Ended {
                        task: task.clone(),
                        done: false,
                    });
                }
                self.next_report_at = self.next_report_at.min(now + 200);
            } else if worker_task.state == TaskState::Running && now >= worker_task.until {
                worker_task.exit(ExitReason::Done);
                effects.push(Effect::Ended {
                    task: task.clone(),
                    done: true,
                });
                self.next_report_at = self.next_report_at.min(now + 200);
            } else if worker_task.state == TaskState::Saving && now >= worker_task.until {
                worker_task.exit(ExitReason::Stopped);
                effects.push(Effect::Ended {
                    task: task.clone(),
                    done: false,
                });
                self.next_report_at = self.next_report_at.min(now + 200);
            }
        }
    }

    /// Starts a new agent epoch without tasks and with a fresh lease.
    pub fn begin_epoch(&mut self, now: u64, effects: &mut Vec<Effect>) {
        for (task, worker_task) in std::mem::take(&mut self.tasks) {
            if matches!(worker_task.state, TaskState::Running | TaskState::Saving) {
                effects.push(Effect::Ended { task, done: false });
            }
        }
        self.agent_epoch += 1;
        self.begun_attempts.clear();
        self.lease_start = now;
        self.report_in_flight = None;
        self.next_report_at = now;
    }

    /// Applies the answer to the report sent at `sent` in `agent_epoch`: renews the lease and
    /// executes the commands.
    ///
    /// Answers to another agent epoch or from a former leader are ignored.
    pub fn apply_report_answer(
        &mut self,
        now: u64,
        agent_epoch: u64,
        sent: u64,
        answer: &ReportAnswer,
        run_ms: impl Fn(&str) -> u64,
        effects: &mut Vec<Effect>,
    ) {
        if agent_epoch != self.agent_epoch || answer.fencing_token < self.fencing_token {
            return;
        }
        self.fencing_token = answer.fencing_token;
        self.lease_start = self.lease_start.max(sent);
        self.execute(now, &answer.commands, run_ms, effects);
    }

    /// Executes direct commands and returns whether they were accepted.
    ///
    /// Commands from a former leader or for another agent epoch are refused. After commands
    /// from a new leader, the worker reports within 300 ms.
    pub fn apply_direct_commands(
        &mut self,
        now: u64,
        commands: &DirectCommands,
        run_ms: impl Fn(&str) -> u64,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if commands.fencing_token < self.fencing_token || commands.agent_epoch != self.agent_epoch {
            return false;
        }
        if commands.fencing_token > self.fencing_token {
            self.next_report_at = self.next_report_at.min(now + 300);
        }
        self.fencing_token = commands.fencing_token;
        self.execute(now, &commands.commands, run_ms, effects);
        true
    }

    /// Executes commands in order.
    fn execute(&mut self, now: u64, commands: &[Command], run_ms: impl Fn(&str) -> u64, effects: &mut Vec<Effect>) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(now, task, *attempt, run_ms(task), effects),
                Command::Stop { task, attempt, grace_s } => self.stop(now, task, *attempt, *grace_s, effects),
                Command::Forget { task, attempt } => {
                    let exited = self.tasks.get(task).is_some_and(|worker_task| {
                        worker_task.attempt == *attempt && worker_task.state == TaskState::Exited
                    });
                    if exited {
                        self.tasks.remove(task);
                    }
                }
            }
        }
    }

    /// Starts to fetch the image of a task, which takes 800 ms.
    fn start(&mut self, now: u64, task: &str, attempt: u64, run_ms: u64, effects: &mut Vec<Effect>) {
        // A new attempt replaces an earlier one only after that has exited.
        let present = self.tasks.get(task);
        if present.is_some_and(|worker_task| worker_task.attempt == attempt || worker_task.state != TaskState::Exited) {
            return;
        }
        if !self.begun_attempts.insert((task.into(), attempt)) {
            let task = task.into();
            effects.push(Effect::AttemptRepeated { task, attempt });
        }
        let worker_task = WorkerTask {
            attempt,
            state: TaskState::Fetching,
            exit_reason: None,
            until: now + 800,
            run_ms,
        };
        self.tasks.insert(task.into(), worker_task);
    }

    /// Stops an attempt at once, or after `grace_s` seconds of saving its progress. With a grace
    /// period, an attempt that is not running is left as it is.
    fn stop(&mut self, now: u64, task: &str, attempt: u64, grace_s: f64, effects: &mut Vec<Effect>) {
        let open = self
            .tasks
            .get_mut(task)
            .filter(|worker_task| worker_task.attempt == attempt && worker_task.state != TaskState::Exited);
        let Some(worker_task) = open else {
            return;
        };
        // Only jobs that save their progress are given a grace period.
        if grace_s > 0.0 {
            if worker_task.state == TaskState::Running {
                worker_task.state = TaskState::Saving;
                worker_task.until = now + (grace_s * 1_000.0) as u64;
            }
            return;
        }
        if matches!(worker_task.state, TaskState::Running | TaskState::Saving) {
            effects.push(Effect::Ended {
                task: task.into(),
                done: false,
            });
        }
        worker_task.exit(ExitReason::Stopped);
        self.next_report_at = self.next_report_at.min(now + 200);
    }
}
