//! The injection of each fault.

use super::*;

impl World {
    /// Injects a fault now.
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
            | Fault::StoreRepliesSlow { node, .. }
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
            Fault::CancelRunningJobs { hang_ms } => self.cancel_running_jobs(hang_ms),
            _ => self.inject_service_fault(fault),
        }
    }

    /// Injects a fault of a service, the network or the users.
    fn inject_service_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::StoreOutage { ms } => self.ongoing_faults.store_outage_until = now + ms,
            Fault::WritesRejected { key, ms } => self.store.reject_writes(key, now + ms),
            Fault::CloseLooks { ms } => self.ongoing_faults.close_looks_until = now + ms,
            Fault::StoreSlow { ms } => self.ongoing_faults.store_slow_until = now + ms,
            Fault::DelayedTransactions { ms } => self.ongoing_faults.delayed_transactions_until = now + ms,
            Fault::CloudOutage { ms } => self.ongoing_faults.cloud_outage_until = now + ms,
            Fault::SlowBoots { ms } => self.ongoing_faults.slow_boots_until = now + ms,
            Fault::PeerMessagesDropped { ms } => self.ongoing_faults.peer_messages_dropped_until = now + ms,
            Fault::SouthIsolated { ms } => self.ongoing_faults.south_isolated_until = now + ms,
            Fault::DelayedDuplicateReports { ms } => self.ongoing_faults.duplicate_reports_until = now + ms,
            Fault::DelayedCommands { ms } => self.ongoing_faults.delayed_commands_until = now + ms,
            Fault::RepeatedCommands { ms } => self.ongoing_faults.repeated_commands_until = now + ms,
            Fault::RepeatedRequests { ms } => self.ongoing_faults.repeated_requests_until = now + ms,
            Fault::RepeatedMessages { ms } => self.ongoing_faults.repeated_messages_until = now + ms,
            Fault::DelayedAnswers { ms } => self.ongoing_faults.delayed_answers_until = now + ms,
            Fault::CancelAtEnd { ms } => self.ongoing_faults.cancel_at_end_until = now + ms,
            Fault::InvalidRequests { ms } => self.ongoing_faults.invalid_requests_until = now + ms,
            other => unreachable!("{other:?} is not a fault of a service, the network or the users"),
        }
    }

    /// Injects a fault of one controller; see [`Fault`] for the meaning of `node`.
    fn inject_controller_fault(&mut self, node: usize, fault: Fault) {
        let (index, now) = (self.resolve_node(node), self.now);
        let node = &mut self.nodes[index];
        match fault {
            Fault::Crash { .. } => self.crash(index, 4_000),
            Fault::QuickRestart { .. } => {
                let downtime_ms = self.rng.random_range(50..900);
                self.crash(index, downtime_ms);
            }
            Fault::Freeze { ms, .. } => {
                node.frozen_until = now + ms;
                node.inputs_before_freeze = 3;
                node.takes_inputs_first = self.rng.random_bool(0.5);
            }
            Fault::CutFromStore { ms, .. } => node.store_cut_until = now + ms,
            Fault::CutFromPeers { ms, .. } => node.peer_cut_until = now + ms,
            Fault::CutFromWorkers { ms, .. } => node.worker_cut_until = now + ms,
            Fault::CutFromAllButWorkers { ms, .. } => {
                node.store_cut_until = now + ms;
                node.peer_cut_until = now + ms;
            }
            Fault::StoreRefuses { ms, .. } => node.store_refuses_until = now + ms,
            Fault::StoreRepliesSlow { delay_ms, ms, .. } => {
                node.store_replies_slow_until = now + ms;
                node.store_reply_delay_ms = delay_ms;
            }
            Fault::ReadsLost { ms, .. } => node.store_reads_lost_until = now + ms,
            other => unreachable!("{other:?} is not a fault of a controller"),
        }
    }

    /// Injects a fault of one random machine that is up, if there is one.
    fn inject_machine_fault(&mut self, fault: Fault) {
        let now = self.now;
        let Some(worker) = self.draw_worker() else {
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
                worker.begin_epoch(now, &mut effects);
                self.apply_effects(&name, effects);
            }
            other => unreachable!("{other:?} is not a fault of a machine"),
        }
    }

    /// Returns `node`, or the leader if `node` is out of range, or controller 0 if there is no
    /// leader.
    pub(super) fn resolve_node(&self, node: usize) -> usize {
        if node < self.nodes.len() {
            node
        } else {
            self.leader().unwrap_or(0)
        }
    }

    /// Ends a controller and schedules its restart after `downtime_ms`.
    pub(super) fn crash(&mut self, node: usize, downtime_ms: u64) {
        self.nodes[node].controller = None;
        self.nodes[node].incarnation = 0;
        self.nodes[node].frozen_until = 0;
        self.nodes[node].healthy = false;
        self.schedule(self.now + downtime_ms, ScheduledEvent::Restart(node));
    }

    /// Draws one of the workers that are up.
    pub(super) fn draw_worker(&mut self) -> Option<&mut Worker> {
        let up: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.is_up(self.now))
            .map(|w| w.name.clone())
            .collect();
        if up.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..up.len());
        self.workers.get_mut(&up[index])
    }

    /// Makes a machine hang for `ms`, but no longer than until its lease expires.
    ///
    /// The ends of its tasks are postponed by the duration of the hang. A machine that hangs
    /// already or whose lease has expired is left as it is.
    pub fn hang(&mut self, name: &str, ms: u64) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            let until = (now + ms).min(worker.lease_start + LEASE_MS);
            if until > now && now >= worker.hung_until {
                worker.hung_until = until;
                for worker_task in worker.tasks.values_mut() {
                    worker_task.until += until - now;
                }
            }
        }
    }

    /// Makes the users of all running jobs cancel them within 200 ms. Up to eight machines, each
    /// running a task of one of these jobs, hang for `hang_ms` meanwhile.
    fn cancel_running_jobs(&mut self, hang_ms: u64) {
        let mut hanging = BTreeSet::new();
        for (task, machines) in &self.task_machines {
            let Some(index) = self.job_index_of_task(task) else {
                continue;
            };
            let job = &mut self.jobs[index];
            if job.known_state == KnownState::Accepted
                && job.cancel_at.is_none_or(|at| at > self.now)
                && !machines.is_empty()
            {
                job.cancel_at = Some(self.now);
                if hanging.len() < 8 {
                    hanging.extend(machines.iter().cloned());
                }
            }
        }
        for index in 0..self.jobs.len() {
            if self.jobs[index].cancel_at == Some(self.now) {
                let at = self.now + self.rng.random_range(0..200);
                self.schedule(at, ScheduledEvent::ExtraUserRequest(index));
            }
        }
        for name in hanging.into_iter().filter(|_| hang_ms > 0) {
            self.hang(&name, hang_ms);
        }
    }
}
