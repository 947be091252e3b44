//! A simulated worker and its machine, by the published protocol.

use std::collections::BTreeMap;
use sumacbend::wire::{Command, DirectCommands, ExitReason, Report, ReportAnswer, TaskReport, TaskState};

/// The run time of a task that fails on every machine.
pub const FAILS: u64 = 0;

pub struct Running {
    pub attempt: u64,
    pub state: TaskState,
    pub exit_reason: Option<ExitReason>,
    /// When it leaves its present state by itself.
    pub until: u64,
    pub run_ms: u64,
}

impl Running {
    fn exit(&mut self, exit_reason: ExitReason) {
        self.state = TaskState::Exited;
        self.exit_reason = Some(exit_reason);
    }
}

pub struct Worker {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub requested_at: u64,
    pub up_at: u64,
    pub gone: bool,
    pub cut_until: u64,
    pub receives_nothing_until: u64,
    pub reaches_no_controller_until: u64,
    pub hung_until: u64,
    pub fails_tasks_until: u64,
    pub agent_epoch: u64,
    pub seq: u64,
    pub fencing_token: u64,
    pub lease_from: u64,
    pub spot_reclaim_at: Option<u64>,
    pub node: usize,
    pub report_out: Option<(u64, u64)>,
    pub next_report: u64,
    pub tasks: BTreeMap<String, Running>,
}

/// What the rules look at.
pub enum Effect {
    Started { task: String },
    Left { task: String, done: bool },
}

impl Worker {
    pub fn up(&self, now: u64) -> bool {
        !self.gone && now >= self.up_at
    }

    /// Until when neither an answer nor a direct command is taken.
    pub fn unreachable_until(&self) -> u64 {
        self.cut_until.max(self.receives_nothing_until).max(self.hung_until)
    }

    /// In reach, at work, and not about to go.
    pub fn well(&self, now: u64) -> bool {
        let until = self.unreachable_until().max(self.reaches_no_controller_until);
        self.up(now) && now >= until && now >= self.fails_tasks_until && self.spot_reclaim_at.is_none()
    }

    pub fn report(&mut self) -> Report {
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
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(task, running)| TaskReport {
                    task: task.clone(),
                    attempt: running.attempt,
                    state: running.state,
                    exit_reason: running.exit_reason,
                })
                .collect(),
        }
    }

    /// Time passes: leases expiry, fetches and runs end.
    pub fn advance(&mut self, now: u64, lease_ms: u64, effects: &mut Vec<Effect>) {
        if now > self.lease_from + lease_ms {
            self.next_session(now, effects);
        }
        for (task, running) in &mut self.tasks {
            if running.state == TaskState::Fetching && now >= running.until {
                running.state = TaskState::Running;
                running.until = now + running.run_ms;
                effects.push(Effect::Started { task: task.clone() });
                if now < self.fails_tasks_until || running.run_ms == FAILS {
                    running.exit(ExitReason::Error);
                    effects.push(Effect::Left {
                        task: task.clone(),
                        done: false,
                    });
                }
                self.next_report = self.next_report.min(now + 200);
            } else if running.state == TaskState::Running && now >= running.until {
                running.exit(ExitReason::Done);
                effects.push(Effect::Left {
                    task: task.clone(),
                    done: true,
                });
                self.next_report = self.next_report.min(now + 200);
            } else if running.state == TaskState::Saving && now >= running.until {
                running.exit(ExitReason::Stopped);
                effects.push(Effect::Left {
                    task: task.clone(),
                    done: false,
                });
                self.next_report = self.next_report.min(now + 200);
            }
        }
    }

    /// Drops all tasks and begins anew.
    pub fn next_session(&mut self, now: u64, effects: &mut Vec<Effect>) {
        for (task, running) in std::mem::take(&mut self.tasks) {
            if matches!(running.state, TaskState::Running | TaskState::Saving) {
                effects.push(Effect::Left { task, done: false });
            }
        }
        self.agent_epoch += 1;
        self.lease_from = now;
        self.report_out = None;
        self.next_report = now;
    }

    pub fn answer(
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
        self.lease_from = self.lease_from.max(sent);
        self.execute(now, &answer.commands, run_ms, effects);
    }

    pub fn direct(
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
            self.next_report = self.next_report.min(now + 300);
        }
        self.fencing_token = commands.fencing_token;
        self.execute(now, &commands.commands, run_ms, effects);
        true
    }

    fn execute(&mut self, now: u64, commands: &[Command], run_ms: impl Fn(&str) -> u64, effects: &mut Vec<Effect>) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(now, task, *attempt, run_ms(task)),
                Command::Stop { task, attempt, grace_s } => self.stop(now, task, *attempt, *grace_s, effects),
                Command::Forget { task, attempt } => {
                    let over = self
                        .tasks
                        .get(task)
                        .is_some_and(|running| running.attempt == *attempt && running.state == TaskState::Exited);
                    if over {
                        self.tasks.remove(task);
                    }
                }
            }
        }
    }

    fn start(&mut self, now: u64, task: &str, attempt: u64, run_ms: u64) {
        // Another attempt replaces a task only after its end.
        let here = self.tasks.get(task);
        if here.is_some_and(|running| running.attempt == attempt || running.state != TaskState::Exited) {
            return;
        }
        let running = Running {
            attempt,
            state: TaskState::Fetching,
            exit_reason: None,
            until: now + 800,
            run_ms,
        };
        self.tasks.insert(task.into(), running);
    }

    fn stop(&mut self, now: u64, task: &str, attempt: u64, grace_s: f64, effects: &mut Vec<Effect>) {
        let open = self
            .tasks
            .get_mut(task)
            .filter(|running| running.attempt == attempt && running.state != TaskState::Exited);
        let Some(running) = open else {
            return;
        };
        // Only a job that saves is given time for it.
        if grace_s > 0.0 {
            if running.state == TaskState::Running {
                running.state = TaskState::Saving;
                running.until = now + (grace_s * 1_000.0) as u64;
            }
            return;
        }
        if matches!(running.state, TaskState::Running | TaskState::Saving) {
            effects.push(Effect::Left {
                task: task.into(),
                done: false,
            });
        }
        running.exit(ExitReason::Stopped);
        self.next_report = self.next_report.min(now + 200);
    }
}
