//! How each fault is injected.

use super::*;

impl World {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { node }
            | Fault::QuickRestart { node }
            | Fault::Freeze { node, .. }
            | Fault::CutFromStore { node, .. }
            | Fault::CutFromPeers { node, .. }
            | Fault::CutFromWorkers { node, .. }
            | Fault::CutFromAllButWorkers { node, .. }
            | Fault::StoreRefuses { node, .. }
            | Fault::ReadsLost { node, .. } => self.inject_controller_fault(node, fault),
            Fault::MachineCut { .. }
            | Fault::MachineReceivesNothing { .. }
            | Fault::MachineReachesNoController { .. }
            | Fault::MachineHangs { .. }
            | Fault::MachineReclaimed
            | Fault::MachineFailsTasks
            | Fault::AgentRestarts => self.inject_machine_fault(fault),
            Fault::AllControllersDown { ms } => {
                for node in 0..self.nodes.len() {
                    self.crash(node, ms);
                }
            }
            Fault::AllMachinesFailTasks { ms } => {
                for worker in self.workers.values_mut() {
                    worker.fails_tasks_until = self.now + ms;
                }
            }
            Fault::ZoneCut { ms } => {
                let until = self.now + ms;
                let south = self.workers.values_mut().filter(|worker| worker.zone == "south");
                south.for_each(|worker| worker.cut_until = until);
            }
            Fault::CancelRunningJobs { hang_ms } => self.cancel_now(hang_ms),
            _ => self.inject_service_fault(fault),
        }
    }

    /// Of a service, the network or the users, for a while.
    fn inject_service_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::StoreOutage { ms } => self.ongoing.store_out_until = now + ms,
            Fault::StoreSlow { ms } => self.ongoing.store_slow_until = now + ms,
            Fault::DelayedTransactions { ms } => self.ongoing.late_writes_until = now + ms,
            Fault::CloudOutage { ms } => self.ongoing.cloud_out_until = now + ms,
            Fault::SlowBoots { ms } => self.ongoing.slow_boots_until = now + ms,
            Fault::PeerMessagesDropped { ms } => self.ongoing.peers_refuse_until = now + ms,
            Fault::SouthIsolated { ms } => self.ongoing.south_isolated_until = now + ms,
            Fault::DelayedDuplicateReports { ms } => self.ongoing.late_copies_until = now + ms,
            Fault::DelayedCommands { ms } => self.ongoing.held_commands_until = now + ms,
            Fault::CancelAtEnd { ms } => self.ongoing.cancel_at_end_until = now + ms,
            Fault::InvalidRequests { ms } => self.ongoing.invalid_requests_until = now + ms,
            other => unreachable!("{other:?} is of a controller or of machines"),
        }
    }

    fn inject_controller_fault(&mut self, node: usize, fault: Fault) {
        let (index, now) = (self.pick_node(node), self.now);
        let node = &mut self.nodes[index];
        match fault {
            Fault::Crash { .. } => self.crash(index, 4_000),
            Fault::QuickRestart { .. } => {
                let pause = self.rng.random_range(50..900);
                self.crash(index, pause);
            }
            Fault::Freeze { ms, .. } => {
                node.frozen_until = now + ms;
                node.last_inputs = 3;
            }
            Fault::CutFromStore { ms, .. } => node.store_cut_until = now + ms,
            Fault::CutFromPeers { ms, .. } => node.peer_cut_until = now + ms,
            Fault::CutFromWorkers { ms, .. } => node.worker_cut_until = now + ms,
            Fault::CutFromAllButWorkers { ms, .. } => {
                node.store_cut_until = now + ms;
                node.peer_cut_until = now + ms;
            }
            Fault::StoreRefuses { ms, .. } => node.refused_until = now + ms,
            Fault::ReadsLost { ms, .. } => node.reads_lost_until = now + ms,
            other => unreachable!("{other:?} is not of a controller"),
        }
    }

    /// Of a machine drawn from those that are up.
    fn inject_machine_fault(&mut self, fault: Fault) {
        let now = self.now;
        let Some(worker) = self.pick_worker() else {
            return;
        };
        match fault {
            Fault::MachineCut { ms } => worker.cut_until = now + ms,
            Fault::MachineReceivesNothing { ms } => worker.receives_nothing_until = now + ms,
            Fault::MachineReachesNoController { ms } => worker.reaches_no_controller_until = now + ms,
            Fault::MachineHangs { ms } => {
                let name = worker.name.clone();
                self.hang(&name, ms);
            }
            Fault::MachineReclaimed => worker.spot_reclaim_at = Some(now + 500),
            Fault::MachineFailsTasks => worker.fails_tasks_until = u64::MAX,
            Fault::AgentRestarts => {
                let (name, mut effects) = (worker.name.clone(), Vec::new());
                worker.next_session(now, &mut effects);
                self.take_effects(&name, effects);
            }
            other => unreachable!("{other:?} is not of a machine"),
        }
    }

    /// The leader, when one is named that is out of range.
    pub(super) fn pick_node(&self, node: usize) -> usize {
        if node < self.nodes.len() {
            node
        } else {
            self.leader().unwrap_or(0)
        }
    }

    pub(super) fn crash(&mut self, node: usize, pause: u64) {
        self.nodes[node].controller = None;
        self.nodes[node].incarnation = 0;
        self.nodes[node].frozen_until = 0;
        self.nodes[node].healthy = false;
        self.at(self.now + pause, ScheduledEvent::Restart(node));
    }

    pub(super) fn pick_worker(&mut self) -> Option<&mut Worker> {
        let up: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.up(self.now))
            .map(|w| w.name.clone())
            .collect();
        if up.is_empty() {
            return None;
        }
        let pick = self.rng.random_range(0..up.len());
        self.workers.get_mut(&up[pick])
    }

    /// A machine that hangs goes on within its lease, or not at all.
    pub fn hang(&mut self, name: &str, ms: u64) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            let until = (now + ms).min(worker.lease_from + LEASE_MS);
            if until > now && now >= worker.hung_until {
                worker.hung_until = until;
                for running in worker.tasks.values_mut() {
                    running.until += until - now;
                }
            }
        }
    }

    /// All running jobs are cancelled; up to eight jobs' machines hang meanwhile.
    fn cancel_now(&mut self, hang_ms: u64) {
        let mut hangs = BTreeSet::new();
        for (task, machines) in &self.task_machines {
            let Some(index) = self.job_of(task) else {
                continue;
            };
            let job = &mut self.jobs[index];
            if job.known_state == KnownState::Accepted
                && job.cancel_at.is_none_or(|at| at > self.now)
                && !machines.is_empty()
            {
                job.cancel_at = Some(self.now);
                if hangs.len() < 8 {
                    hangs.extend(machines.iter().cloned());
                }
            }
        }
        for index in 0..self.jobs.len() {
            if self.jobs[index].cancel_at == Some(self.now) {
                let at = self.now + self.rng.random_range(0..200);
                self.at(at, ScheduledEvent::UserNow(index));
            }
        }
        for name in hangs.into_iter().filter(|_| hang_ms > 0) {
            self.hang(&name, hang_ms);
        }
    }
}
