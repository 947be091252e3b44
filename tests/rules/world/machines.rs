//! How workers handle answers and direct commands, and the effects of their tasks.

use super::*;

impl World {
    /// Terminates a machine and removes all tasks on it.
    pub(super) fn terminate_machine(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.terminated = true;
            worker.tasks.clear();
        }
        for machines in self.task_machines.values_mut() {
            machines.remove(name);
        }
    }

    /// Returns a function from task names to run times in milliseconds. For tasks of jobs that
    /// always fail, it returns [`worker::ALWAYS_FAILS_MS`].
    pub(super) fn run_time_fn(&self) -> impl Fn(&str) -> u64 + use<> {
        let (factor, always_failing_jobs) = (self.run_time_factor, self.always_failing_jobs.clone());
        move |task: &str| {
            let job = task.split('/').next().unwrap_or(task);
            if always_failing_jobs.contains(job) {
                return worker::ALWAYS_FAILS_MS;
            }
            (1_500 + (task.bytes().map(u64::from).sum::<u64>() * 37) % 9_000) * factor
        }
    }

    /// Delivers direct commands to a worker and returns its reply. Commands that are already under
    /// way reach any machine that is up, even one that has become unreachable or hangs.
    pub(super) fn deliver_direct_commands(&mut self, machine: &str, commands: &DirectCommands) -> WorkerReply {
        let (now, run_ms) = (self.now, self.run_time_fn());
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.is_up(now)) else {
            return WorkerReply::Unanswered;
        };
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        let accepted = worker.apply_direct_commands(now, commands, run_ms, &mut effects);
        let report = Box::new(worker.build_report());
        self.apply_effects(machine, effects);
        if accepted {
            WorkerReply::Executed(report)
        } else {
            WorkerReply::Refused(report)
        }
    }

    /// Delivers the answer to a report to the worker, unless the worker no longer waits for it or
    /// is unreachable.
    pub(super) fn handle_report_answer(&mut self, machine: &str, id: u64, answer: &Answer) {
        let (now, run_ms, nodes) = (self.now, self.run_time_fn(), self.nodes.len());
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.is_up(now)) else {
            return;
        };
        let Some((expected, sent)) = worker.report_in_flight else {
            return;
        };
        if expected != id || now < worker.unreachable_until() {
            return;
        }
        worker.report_in_flight = None;
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        match answer.status {
            200 => {
                let answer: ReportAnswer = serde_json::from_str(&answer.body).expect("valid answer to a report");
                let agent_epoch = worker.agent_epoch;
                worker.apply_report_answer(now, agent_epoch, sent, &answer, run_ms, &mut effects);
            }
            421 => {
                let redirect: Redirect = serde_json::from_str(&answer.body).expect("valid redirect");
                let target = redirect
                    .report_to
                    .and_then(|name| name.strip_prefix('n').and_then(|n| n.parse().ok()));
                worker.node = target.unwrap_or((worker.node + 1) % nodes);
                worker.next_report_at = now + if target.is_some() { 100 } else { 1_000 };
            }
            _ => worker.try_next_controller(now, nodes),
        }
        self.apply_effects(machine, effects);
    }

    /// Records the task starts and ends on a machine and checks the rules on them.
    pub(super) fn apply_effects(&mut self, machine: &str, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Started { task } => self.record_task_start(machine, &task),
                Effect::AttemptRepeated { task, attempt } => {
                    let violation = format!("repeated: attempt {attempt} of {task} on {machine} at {}", self.now);
                    self.violations.push(violation);
                }
                Effect::Ended { task, done } => {
                    if let Some(machines) = self.task_machines.get_mut(&task) {
                        machines.remove(machine);
                    }
                    self.lost_tasks += u64::from(!done);
                    if done {
                        self.maybe_cancel_at_end(&task);
                        self.done_tasks.insert(task);
                    }
                }
            }
        }
    }

    /// Adds a machine that no controller rented, for tests of the checks.
    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let worker = self.new_worker(name, "small", zone, false, 0);
        self.workers.insert(name.into(), worker);
    }

    /// Records that a task starts on a machine, for tests of the checks.
    pub fn start_task(&mut self, machine: &str, task: &str) {
        self.record_task_start(machine, task);
    }
}
