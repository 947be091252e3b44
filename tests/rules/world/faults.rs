//! Troubles: what can go wrong, and how it comes about.

use super::*;

/// A trouble, from a time on and for a while.
#[derive(Clone, Debug)]
pub enum Trouble {
    Crash {
        node: usize,
    },
    CutFromStore {
        node: usize,
        ms: u64,
    },
    CutFromPeers {
        node: usize,
        ms: u64,
    },
    CutFromWorkers {
        node: usize,
        ms: u64,
    },
    StoreOutage {
        ms: u64,
    },
    CloudOutage {
        ms: u64,
    },
    MachineCut {
        ms: u64,
    },
    /// All machines of one zone at once.
    ZoneCut {
        ms: u64,
    },
    MachineTaken,
    MachineSick,
    /// Its reports arrive; answers and commands don't reach it.
    MachineDeaf {
        ms: u64,
    },
    /// Back at once, its tasks gone, in its next agent epoch.
    MachineBlinks,
    /// Copies of reports come seconds to several leases late.
    LateCopies {
        ms: u64,
    },
    /// Cut from the state service and the other controllers, not from workers.
    CutFromAllButWorkers {
        node: usize,
        ms: u64,
    },
    /// Back within a fraction of a second.
    Blink {
        node: usize,
    },
    /// Stands still while its clocks run on; what it had worked out just before
    /// leaves only when it wakes.
    Freeze {
        node: usize,
        ms: u64,
    },
    PeersRefuse {
        ms: u64,
    },
    /// Refused by the state service alone; its open watches wait.
    Refused {
        node: usize,
        ms: u64,
    },
    /// Its reads of the state service get no answer, while writes and renewals do.
    ReadsLost {
        node: usize,
        ms: u64,
    },
    /// All machines fail what they run.
    AllSick {
        ms: u64,
    },
    /// A third of the transactions get no answer and are carried out seconds
    /// later, after newer ones.
    LateWrites {
        ms: u64,
    },
    /// Reaches no controller, while direct commands reach it.
    MachineMute {
        ms: u64,
    },
    /// Executes nothing and answers nothing, and goes on within its lease.
    MachineHangs {
        ms: u64,
    },
    /// Direct commands, or their answers, are held up for seconds.
    HeldCommands {
        ms: u64,
    },
    /// Users call off all that runs at once; the machines of some hang then.
    CancelNow {
        hang_ms: u64,
    },
    /// Half of the jobs that end are called off at the moment of their end.
    CancelAtEnd {
        ms: u64,
    },
    /// All controllers are gone for this long.
    AllAway {
        ms: u64,
    },
    /// The south is cut off, with its machines and one controller.
    SouthAlone {
        ms: u64,
    },
    /// Users repeat submissions, cancel what is done, and send jobs that can't
    /// run or lack a field.
    OddRequests {
        ms: u64,
    },
    StoreSlow {
        ms: u64,
    },
    /// New machines take several boot times, and a third never come up.
    LateBoots {
        ms: u64,
    },
}

impl Trouble {
    /// Until all of it is over, late messages included.
    pub(super) fn lasts(&self) -> u64 {
        match self {
            Trouble::CutFromStore { ms, .. }
            | Trouble::CutFromPeers { ms, .. }
            | Trouble::CutFromWorkers { ms, .. }
            | Trouble::CutFromAllButWorkers { ms, .. }
            | Trouble::Freeze { ms, .. }
            | Trouble::StoreOutage { ms }
            | Trouble::CloudOutage { ms }
            | Trouble::MachineCut { ms }
            | Trouble::ZoneCut { ms }
            | Trouble::MachineDeaf { ms }
            | Trouble::LateCopies { ms }
            | Trouble::PeersRefuse { ms }
            | Trouble::Refused { ms, .. }
            | Trouble::ReadsLost { ms, .. }
            | Trouble::AllSick { ms }
            | Trouble::MachineMute { ms }
            | Trouble::MachineHangs { ms }
            | Trouble::CancelAtEnd { ms }
            | Trouble::AllAway { ms }
            | Trouble::SouthAlone { ms }
            | Trouble::OddRequests { ms }
            | Trouble::StoreSlow { ms } => *ms,
            // The last of them is up, or given up, by then.
            Trouble::LateBoots { ms } => ms + 40_000,
            Trouble::LateWrites { ms } | Trouble::HeldCommands { ms } => ms + 12_000,
            Trouble::CancelNow { hang_ms } => *hang_ms,
            _ => 5_000,
        }
    }
}

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
