//! Machines: their reports, direct commands, and what their tasks come to.

use super::*;

impl World {
    pub(super) fn machine_gone(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.gone = true;
            worker.tasks.clear();
        }
        for machines in self.task_machines.values_mut() {
            machines.remove(name);
        }
    }

    pub(super) fn run_ms(&self) -> impl Fn(&str) -> u64 + use<> {
        let (times, mistaken) = (self.run_time_factor, self.mistaken.clone());
        move |task: &str| {
            let job = task.split('/').next().unwrap_or(task);
            if mistaken.contains(job) {
                return worker::FAILS;
            }
            (1_500 + (task.bytes().map(u64::from).sum::<u64>() * 37) % 9_000) * times
        }
    }

    pub(super) fn direct(&mut self, machine: &str, commands: &DirectCommands) -> WorkerReply {
        let (now, run_ms) = (self.now, self.run_ms());
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.up(now)) else {
            return WorkerReply::Unanswered;
        };
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        let done = worker.direct(now, commands, run_ms, &mut effects);
        let report = Box::new(worker.report());
        self.take_effects(machine, effects);
        if done {
            WorkerReply::Executed(report)
        } else {
            WorkerReply::Refused(report)
        }
    }

    pub(super) fn report_answered(&mut self, machine: &str, id: u64, answer: &Answer) {
        let (now, run_ms, nodes) = (self.now, self.run_ms(), self.nodes.len());
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.up(now)) else {
            return;
        };
        let Some((out, sent)) = worker.report_out else {
            return;
        };
        if out != id || now < worker.unreachable_until() {
            return;
        }
        worker.report_out = None;
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        match answer.status {
            200 => {
                let answer: ReportAnswer = serde_json::from_str(&answer.body).expect("a report's answer");
                let agent_epoch = worker.agent_epoch;
                worker.answer(now, agent_epoch, sent, &answer, run_ms, &mut effects);
            }
            421 => {
                let redirect: Redirect = serde_json::from_str(&answer.body).expect("a redirect");
                let to = redirect
                    .report_to
                    .and_then(|name| name.strip_prefix('n').and_then(|n| n.parse().ok()));
                worker.node = to.unwrap_or((worker.node + 1) % nodes);
                worker.next_report = now + if to.is_some() { 100 } else { 1_000 };
            }
            _ => worker.try_next_controller(now, nodes),
        }
        self.take_effects(machine, effects);
    }

    pub(super) fn take_effects(&mut self, machine: &str, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Started { task } => self.started(machine, &task),
                Effect::Left { task, done } => {
                    if let Some(machines) = self.task_machines.get_mut(&task) {
                        machines.remove(machine);
                    }
                    self.lost_tasks += u64::from(!done);
                    if done {
                        self.ended_now(&task);
                        self.done_tasks.insert(task);
                    }
                }
            }
        }
    }

    /// For tests of the checks: a machine that no controller rented.
    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let worker = self.new_worker(name, "small", zone, false, 0);
        self.workers.insert(name.into(), worker);
    }

    /// For tests of the checks: a task begins there.
    pub fn start_task(&mut self, machine: &str, task: &str) {
        self.started(machine, task);
    }
}
