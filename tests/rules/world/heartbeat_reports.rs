//! Time passes for the machines, and their heartbeat reports go out.

use super::*;

/// After so long without an answer, a worker takes its report for lost.
const REPORT_TIMEOUT_MS: u64 = 4_000;
const REPORT_INTERVAL_MS: u64 = 3_000;
/// How long a worker waits before it tries the next controller.
const RETRY_MS: u64 = 1_000;

impl World {
    /// A step of simulated time: health checks, the rules, the state service and the workers.
    pub(super) fn step_cluster(&mut self) {
        if self.now % 1_000 < 100 {
            self.check_health();
        }
        self.check_users_answered();
        self.check_starvation();
        self.send_invalid_requests();
        if self.now >= self.ongoing.store_out_until && self.ongoing.store_out_until > 0 {
            self.ongoing.store_out_until = 0;
            self.store.refresh_leases(self.now);
        }
        if self.ongoing.store_out_until == 0 {
            self.store.expire(self.now);
            self.serve_watches();
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(name);
        }
        self.check_cancelled();
    }

    /// The load balancer asks each controller that it reaches for its health.
    fn check_health(&mut self) {
        for node in 0..self.nodes.len() {
            if self.now < self.alone_until(node).max(self.nodes[node].frozen_until) {
                self.nodes[node].healthy = false;
                continue;
            }
            let request = self.expect(node, Waiting::Health);
            self.step(node, Input::Health { request });
        }
    }

    fn advance_worker(&mut self, name: String) {
        let (now, nodes) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(&name).filter(|worker| worker.up(now)) else {
            return;
        };
        if worker.spot_reclaim_at.is_some_and(|at| now >= at) {
            self.machine_gone(&name);
            return;
        }
        if now < worker.hung_until {
            return;
        }
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        if worker
            .report_out
            .is_some_and(|(_, sent)| now >= sent + REPORT_TIMEOUT_MS)
        {
            worker.report_out = None;
            worker.try_next_controller(now, nodes);
        }
        let report = self.due_report(&name);
        self.take_effects(&name, effects);
        if let Some((id, report)) = report {
            self.send_report(name, id, report);
        }
    }

    /// The report that a worker sends now, and its number.
    fn due_report(&mut self, name: &str) -> Option<(u64, Box<Report>)> {
        let (now, nodes) = (self.now, self.nodes.len());
        let worker = self.workers.get_mut(name)?;
        if worker.report_out.is_some() || now < worker.next_report {
            return None;
        }
        self.next_report += 1;
        let id = self.next_report;
        if now < worker.reaches_no_controller_until {
            // Refused at once: it tries the next controller.
            worker.try_next_controller(now, nodes);
            return None;
        }
        worker.report_out = Some((id, now));
        worker.next_report = now + REPORT_INTERVAL_MS;
        Some((id, Box::new(worker.report())))
    }

    fn send_report(&mut self, machine: String, id: u64, report: Box<Report>) {
        let (now, worker) = (self.now, &self.workers[&machine]);
        let (node, south) = (worker.node, worker.zone == "south");
        let cut = worker
            .cut_until
            .max(self.nodes[node].worker_cut_until)
            .max(self.apart(node, south));
        // Reports may be held back and arrive late.
        let delay = if now < cut { cut - now + 500 } else { self.delay() };
        if now < self.ongoing.late_copies_until && self.rng.random_bool(0.3) {
            let node = self.rng.random_range(0..self.nodes.len());
            let late = self.rng.random_range(1_000..90_000);
            // Nobody waits for its answer.
            let copy = ScheduledEvent::ReportArrives {
                node,
                machine: machine.clone(),
                report: report.clone(),
                id: 0,
            };
            self.at(now + late, copy);
        }
        let arrival = ScheduledEvent::ReportArrives {
            node,
            machine,
            report,
            id,
        };
        self.at(now + delay, arrival);
    }
}

impl Worker {
    /// Its next report goes to the next controller, after a pause.
    pub fn try_next_controller(&mut self, now: u64, nodes: usize) {
        self.node = (self.node + 1) % nodes;
        self.next_report = now + RETRY_MS;
    }
}
