//! How each fault is injected.

use super::*;

impl World {
    pub(super) fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Crash { node } => {
                // The leader, when one is named that is out of range.
                let node = self.pick_node(node);
                self.crash(node, 4_000);
            }
            Trouble::Blink { node } => {
                let node = self.pick_node(node);
                let pause = self.rng.random_range(50..900);
                self.crash(node, pause);
            }
            Trouble::Freeze { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].frozen_until = self.now + ms;
                self.nodes[node].last_inputs = 3;
            }
            Trouble::CutFromAllButWorkers { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].store_cut = self.now + ms;
                self.nodes[node].peer_cut = self.now + ms;
            }
            Trouble::Refused { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].refused = self.now + ms;
            }
            Trouble::ReadsLost { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].reads_lost = self.now + ms;
            }
            Trouble::AllSick { ms } => {
                for worker in self.workers.values_mut() {
                    worker.sick_until = self.now + ms;
                }
            }
            Trouble::LateWrites { ms } => self.late_writes = self.now + ms,
            Trouble::HeldCommands { ms } => self.held_commands = self.now + ms,
            Trouble::CancelAtEnd { ms } => self.cancel_at_end = self.now + ms,
            Trouble::OddRequests { ms } => self.odd_requests = self.now + ms,
            Trouble::SouthAlone { ms } => self.south_alone = self.now + ms,
            Trouble::AllAway { ms } => {
                for node in 0..self.nodes.len() {
                    self.crash(node, ms);
                }
            }
            Trouble::CancelNow { hang_ms } => self.cancel_now(hang_ms),
            Trouble::MachineMute { ms } => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.mute_until = now + ms;
                }
            }
            Trouble::MachineHangs { ms } => {
                if let Some(name) = self.pick_worker().map(|worker| worker.name.clone()) {
                    self.hang(&name, ms);
                }
            }
            Trouble::PeersRefuse { ms } => self.peers_refuse = self.now + ms,
            Trouble::StoreSlow { ms } => self.store_slow = self.now + ms,
            Trouble::LateBoots { ms } => self.late_boots = self.now + ms,
            Trouble::LateCopies { ms } => self.copies = self.now + ms,
            Trouble::MachineDeaf { ms } => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.deaf_until = now + ms;
                }
            }
            Trouble::MachineBlinks => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    let (name, mut effects) = (worker.name.clone(), Vec::new());
                    worker.next_session(now, &mut effects);
                    self.take_effects(&name, effects);
                }
            }
            Trouble::CutFromStore { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].store_cut = self.now + ms;
            }
            Trouble::CutFromPeers { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].peer_cut = self.now + ms;
            }
            Trouble::CutFromWorkers { node, ms } => {
                let node = self.pick_node(node);
                self.nodes[node].worker_cut = self.now + ms;
            }
            Trouble::StoreOutage { ms } => self.store_out = self.now + ms,
            Trouble::CloudOutage { ms } => self.cloud_out = self.now + ms,
            Trouble::MachineCut { ms } => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.cut_until = now + ms;
                }
            }
            Trouble::ZoneCut { ms } => {
                let until = self.now + ms;
                let south = self.workers.values_mut().filter(|worker| worker.zone == "south");
                south.for_each(|worker| worker.cut_until = until);
            }
            Trouble::MachineTaken => {
                let now = self.now;
                if let Some(worker) = self.pick_worker() {
                    worker.spot_reclaim_at = Some(now + 500);
                }
            }
            Trouble::MachineSick => {
                if let Some(worker) = self.pick_worker() {
                    worker.sick_until = u64::MAX;
                }
            }
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
