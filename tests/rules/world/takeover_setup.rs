//! The setup of a cluster that a former leader left with work in progress: keys in the state
//! service, machines with tasks on them, and users who know the states of their jobs.

use super::worker::WorkerTask;
use super::*;
use std::sync::Arc;

impl World {
    /// Writes a key as a former leader left it.
    pub fn put_stored(&mut self, key: &str, value: serde_json::Value) {
        let transaction = Transaction {
            conditions: Vec::new(),
            changes: vec![Change::put(key, value)],
        };
        let request = StoreRequest::Transact(Arc::new(transaction));
        let reply = self.store.execute(self.now, &request);
        assert!(matches!(reply, StoreReply::Committed { .. }), "{key}: {reply:?}");
    }

    /// Reads the value of a key, if the key exists.
    pub fn read_stored(&mut self, key: &str) -> Option<serde_json::Value> {
        match self.store.execute(self.now, &StoreRequest::Get(key.into())) {
            StoreReply::Found { value, .. } => Some(value),
            _ => None,
        }
    }

    /// Adds a machine that was rented before the run and has seen the former leader's fencing
    /// token.
    pub fn add_known_machine(&mut self, name: &str, (machine_type, zone, spot): (&str, &str, bool), agent_epoch: u64) {
        let mut worker = self.new_worker(name, machine_type, zone, spot, 0);
        worker.agent_epoch = agent_epoch;
        worker.fencing_token = World::FORMER_TERM;
        self.workers.insert(name.into(), worker);
    }

    /// The term, and so the fencing token, of the leader before the run.
    pub const FORMER_TERM: u64 = 41;

    /// Adds a task that was started before the run and runs for another `ms` milliseconds.
    pub fn add_running(&mut self, machine: &str, task: &str, attempt: u64, ms: u64) {
        let worker_task = WorkerTask {
            attempt,
            state: TaskState::Running,
            exit_reason: None,
            until: self.now + ms,
            run_ms: ms,
        };
        self.record_task_start(machine, task);
        let worker = self.workers.get_mut(machine).expect("known machine");
        worker.tasks.insert(task.into(), worker_task);
    }

    /// Adds a task that was done before the run.
    ///
    /// `machine` is the machine that still reports the exited attempt, if any, and the attempt's
    /// number.
    pub fn add_done(&mut self, task: &str, machine: Option<(&str, u64)>) {
        self.done_tasks.insert(task.into());
        let Some((machine, attempt)) = machine else {
            return;
        };
        let exited = WorkerTask {
            attempt,
            state: TaskState::Exited,
            exit_reason: Some(ExitReason::Done),
            until: 0,
            run_ms: 0,
        };
        let worker = self.workers.get_mut(machine).expect("known machine");
        worker.tasks.insert(task.into(), exited);
    }

    /// Adds a job that its user submitted before the run and knows to be in `known_state`.
    pub fn add_known_job(&mut self, spec: JobSpec, known_state: KnownState) {
        let index = self.jobs.len();
        assert_eq!(spec.id, format!("j-{index:06}"), "job ids are numbered by index");
        let mut job = self.draw_job(index);
        job.spec = spec;
        job.submit_at = self.now;
        job.known_state = known_state;
        job.cancel_asked = known_state == KnownState::Cancelled;
        job.cancel_at = job.cancel_asked.then_some(self.now);
        self.jobs.push(job);
        self.schedule(self.now + 1_000, ScheduledEvent::UserTurn(index));
    }

    /// Whether the task ever started on a machine during the run or was set up as running.
    pub fn ever_started(&self, task: &str) -> bool {
        self.task_machines.contains_key(task)
    }

    /// Returns the names of the machines rented for a machine request.
    pub fn machines_of_request(&self, request: &str) -> Option<&Vec<String>> {
        self.machines_by_request.get(request)
    }
}
