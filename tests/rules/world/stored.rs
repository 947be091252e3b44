//! A world that begins in the midst of work: keys in the state service, machines with
//! tasks on them, and users who were told of their jobs.

use super::worker::Running;
use super::*;
use std::sync::Arc;

impl World {
    /// Puts a key as a former leader left it.
    pub fn put_stored(&mut self, key: &str, value: serde_json::Value) {
        let transaction = Transaction {
            conditions: Vec::new(),
            changes: vec![Change::put(key, value)],
        };
        let request = StoreRequest::Transact(Arc::new(transaction));
        let reply = self.store.execute(self.now, &request);
        assert!(matches!(reply, StoreReply::Committed { .. }), "{key}: {reply:?}");
    }

    pub fn read_stored(&mut self, key: &str) -> Option<serde_json::Value> {
        match self.store.execute(self.now, &StoreRequest::Get(key.into())) {
            StoreReply::Found { value, .. } => Some(value),
            _ => None,
        }
    }

    /// A machine that was rented before and has seen its fencing token.
    pub fn add_known_machine(&mut self, name: &str, (machine_type, zone, spot): (&str, &str, bool), agent_epoch: u64) {
        let mut worker = self.new_worker(name, machine_type, zone, spot, 0);
        worker.agent_epoch = agent_epoch;
        worker.fencing_token = World::FORMER_TERM;
        self.workers.insert(name.into(), worker);
    }

    /// The term of the leader before this world began.
    pub const FORMER_TERM: u64 = 41;

    /// A task that was started before and still runs, for `ms`.
    pub fn add_running(&mut self, machine: &str, task: &str, attempt: u64, ms: u64) {
        let running = Running {
            attempt,
            state: TaskState::Running,
            exit_reason: None,
            until: self.now + ms,
            run_ms: ms,
        };
        self.started(machine, task);
        let worker = self.workers.get_mut(machine).expect("a machine of this world");
        worker.tasks.insert(task.into(), running);
    }

    /// A task that was done before. `machine`: where its report still waits to be taken.
    pub fn add_done(&mut self, task: &str, machine: Option<(&str, u64)>) {
        self.done_tasks.insert(task.into());
        let Some((machine, attempt)) = machine else {
            return;
        };
        let over = Running {
            attempt,
            state: TaskState::Exited,
            exit_reason: Some(ExitReason::Done),
            until: 0,
            run_ms: 0,
        };
        let worker = self.workers.get_mut(machine).expect("a machine of this world");
        worker.tasks.insert(task.into(), over);
    }

    /// A job that its user submitted before this world began, as it was told of it.
    pub fn add_known_job(&mut self, spec: JobSpec, told: KnownState) {
        let index = self.jobs.len();
        assert_eq!(spec.id, format!("j-{index:06}"), "jobs go by their number");
        let mut job = self.draw_job(index);
        job.spec = spec;
        job.submit_at = self.now;
        job.known_state = told;
        job.cancel_asked = told == KnownState::Cancelled;
        job.cancel_at = job.cancel_asked.then_some(self.now);
        self.jobs.push(job);
        self.at(self.now + 1_000, ScheduledEvent::User(index));
    }

    /// Whether the task was ever on a machine of this world.
    pub fn ever_started(&self, task: &str) -> bool {
        self.task_machines.contains_key(task)
    }

    /// The machines that a request was answered with.
    pub fn machines_of_request(&self, request: &str) -> Option<&Vec<String>> {
        self.rented.get(request)
    }
}
