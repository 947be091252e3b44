//! How each fault is injected.

use super::*;

impl World {
    pub(super) fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Crash { node }
            | Trouble::Blink { node }
            | Trouble::Freeze { node, .. }
            | Trouble::CutFromStore { node, .. }
            | Trouble::CutFromPeers { node, .. }
            | Trouble::CutFromWorkers { node, .. }
            | Trouble::CutFromAllButWorkers { node, .. }
            | Trouble::Refused { node, .. }
            | Trouble::ReadsLost { node, .. } => self.trouble_of_controller(node, trouble),
            Trouble::MachineCut { .. }
            | Trouble::MachineDeaf { .. }
            | Trouble::MachineMute { .. }
            | Trouble::MachineHangs { .. }
            | Trouble::MachineTaken
            | Trouble::MachineSick
            | Trouble::MachineBlinks => self.trouble_of_machine(trouble),
            Trouble::AllAway { ms } => {
                for node in 0..self.nodes.len() {
                    self.crash(node, ms);
                }
            }
            Trouble::AllSick { ms } => {
                for worker in self.workers.values_mut() {
                    worker.sick_until = self.now + ms;
                }
            }
            Trouble::ZoneCut { ms } => {
                let until = self.now + ms;
                let south = self.workers.values_mut().filter(|worker| worker.zone == "south");
                south.for_each(|worker| worker.cut_until = until);
            }
            Trouble::CancelNow { hang_ms } => self.cancel_now(hang_ms),
            _ => self.trouble_of_service(trouble),
        }
    }

    /// Of a service, the network or the users, for a while.
    fn trouble_of_service(&mut self, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::StoreOutage { ms } => self.store_out = now + ms,
            Trouble::StoreSlow { ms } => self.store_slow = now + ms,
            Trouble::LateWrites { ms } => self.late_writes = now + ms,
            Trouble::CloudOutage { ms } => self.cloud_out = now + ms,
            Trouble::LateBoots { ms } => self.late_boots = now + ms,
            Trouble::PeersRefuse { ms } => self.peers_refuse = now + ms,
            Trouble::SouthAlone { ms } => self.south_alone = now + ms,
            Trouble::LateCopies { ms } => self.copies = now + ms,
            Trouble::HeldCommands { ms } => self.held_commands = now + ms,
            Trouble::CancelAtEnd { ms } => self.cancel_at_end = now + ms,
            Trouble::OddRequests { ms } => self.odd_requests = now + ms,
            other => unreachable!("{other:?} is of a controller or of machines"),
        }
    }

    fn trouble_of_controller(&mut self, node: usize, trouble: Trouble) {
        let (index, now) = (self.pick_node(node), self.now);
        let node = &mut self.nodes[index];
        match trouble {
            Trouble::Crash { .. } => self.crash(index, 4_000),
            Trouble::Blink { .. } => {
                let pause = self.rng.random_range(50..900);
                self.crash(index, pause);
            }
            Trouble::Freeze { ms, .. } => {
                node.frozen_until = now + ms;
                node.last_inputs = 3;
            }
            Trouble::CutFromStore { ms, .. } => node.store_cut = now + ms,
            Trouble::CutFromPeers { ms, .. } => node.peer_cut = now + ms,
            Trouble::CutFromWorkers { ms, .. } => node.worker_cut = now + ms,
            Trouble::CutFromAllButWorkers { ms, .. } => {
                node.store_cut = now + ms;
                node.peer_cut = now + ms;
            }
            Trouble::Refused { ms, .. } => node.refused = now + ms,
            Trouble::ReadsLost { ms, .. } => node.reads_lost = now + ms,
            other => unreachable!("{other:?} is not of a controller"),
        }
    }

    /// Of a machine drawn from those that are up.
    fn trouble_of_machine(&mut self, trouble: Trouble) {
        let now = self.now;
        let Some(worker) = self.pick_worker() else {
            return;
        };
        match trouble {
            Trouble::MachineCut { ms } => worker.cut_until = now + ms,
            Trouble::MachineDeaf { ms } => worker.deaf_until = now + ms,
            Trouble::MachineMute { ms } => worker.mute_until = now + ms,
            Trouble::MachineHangs { ms } => {
                let name = worker.name.clone();
                self.hang(&name, ms);
            }
            Trouble::MachineTaken => worker.spot_reclaim_at = Some(now + 500),
            Trouble::MachineSick => worker.sick_until = u64::MAX,
            Trouble::MachineBlinks => {
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
        self.at(self.now + pause, Happening::Restart(node));
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

    /// What runs is called off, up to eight jobs' machines hang meanwhile.
    fn cancel_now(&mut self, hang_ms: u64) {
        let mut hangs = BTreeSet::new();
        for (task, machines) in &self.on {
            let Some(index) = self.job_of(task) else {
                continue;
            };
            let job = &mut self.jobs[index];
            if job.told == Told::Accepted && job.cancel_at.is_none_or(|at| at > self.now) && !machines.is_empty() {
                job.cancel_at = Some(self.now);
                if hangs.len() < 8 {
                    hangs.extend(machines.iter().cloned());
                }
            }
        }
        for index in 0..self.jobs.len() {
            if self.jobs[index].cancel_at == Some(self.now) {
                let at = self.now + self.rng.random_range(0..200);
                self.at(at, Happening::UserNow(index));
            }
        }
        for name in hangs.into_iter().filter(|_| hang_ms > 0) {
            self.hang(&name, hang_ms);
        }
    }
}
