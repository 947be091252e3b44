//! The cluster steps, and the heartbeat reports that workers send in them.

use super::*;

/// How long a worker waits for the answer to a report.
const REPORT_TIMEOUT_MS: u64 = 4_000;
/// How often a worker reports.
const REPORT_INTERVAL_MS: u64 = 3_000;
/// How long a worker waits before it reports to the next controller.
const RETRY_MS: u64 = 1_000;

impl World {
    /// Executes a cluster step: health checks once a second, the checks of the rules, invalid
    /// requests, the leases and watches of the state service, and the workers.
    pub(super) fn step_cluster(&mut self) {
        if self.now % 1_000 < 100 {
            self.check_health();
        }
        self.check_users_answered();
        self.check_starvation();
        self.send_invalid_requests();
        self.look_closely();
        if self.now >= self.ongoing_faults.store_outage_until && self.ongoing_faults.store_outage_until > 0 {
            self.ongoing_faults.store_outage_until = 0;
            self.store.refresh_leases(self.now);
        }
        if self.ongoing_faults.store_outage_until == 0 {
            self.store.expire_leases(self.now);
            self.answer_watches();
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.advance_worker(name);
        }
        self.check_cancelled();
    }

    /// Sends the load balancer's health check to each controller; one that is isolated or
    /// frozen is unhealthy.
    fn check_health(&mut self) {
        for node in 0..self.nodes.len() {
            if self.now < self.isolated_until(node).max(self.nodes[node].frozen_until) {
                self.nodes[node].healthy = false;
                continue;
            }
            let request = self.register_request(node, PendingRequest::Health);
            self.step_controller(node, Input::Health { request });
        }
    }

    /// Advances a worker that is up: reclaims its machine if that is due. Unless the machine hangs,
    /// expires the lease, starts and ends tasks, times out the report in flight and sends the next
    /// one, as each falls due.
    fn advance_worker(&mut self, name: String) {
        let (now, nodes) = (self.now, self.nodes.len());
        let Some(worker) = self.workers.get_mut(&name).filter(|worker| worker.is_up(now)) else {
            return;
        };
        if worker.spot_reclaim_at.is_some_and(|at| now >= at) {
            self.terminate_machine(&name);
            return;
        }
        if now < worker.hung_until {
            return;
        }
        let mut effects = Vec::new();
        worker.advance(now, LEASE_MS, &mut effects);
        if worker
            .report_in_flight
            .is_some_and(|(_, sent)| now >= sent + REPORT_TIMEOUT_MS)
        {
            worker.report_in_flight = None;
            worker.try_next_controller(now, nodes);
        }
        let report = self.due_report(&name);
        self.apply_effects(&name, effects);
        if let Some((id, report)) = report {
            self.send_report(name, id, report);
        }
    }

    /// Returns the report that a worker sends now, if one is due, and its id.
    fn due_report(&mut self, name: &str) -> Option<(u64, Box<Report>)> {
        let (now, nodes) = (self.now, self.nodes.len());
        let worker = self.workers.get_mut(name)?;
        if worker.report_in_flight.is_some() || now < worker.next_report_at {
            return None;
        }
        self.last_report += 1;
        let id = self.last_report;
        if now < worker.reaches_no_controller_until {
            // The connection is refused at once, so the worker tries the next controller.
            worker.try_next_controller(now, nodes);
            return None;
        }
        worker.report_in_flight = Some((id, now));
        worker.next_report_at = now + REPORT_INTERVAL_MS;
        Some((id, Box::new(worker.build_report())))
    }

    /// Sends a report, possibly late, and possibly a copy that arrives 1 to 90 s late.
    fn send_report(&mut self, machine: String, id: u64, report: Box<Report>) {
        let (now, worker) = (self.now, &self.workers[&machine]);
        let (node, south) = (worker.node, worker.zone == "south");
        let cut = worker
            .cut_until
            .max(self.nodes[node].worker_cut_until)
            .max(self.partitioned_until(node, south));
        // During a cut or a partition, reports are held back and arrive 500 ms after its end.
        let delay = if now < cut {
            cut - now + 500
        } else {
            self.draw_network_delay_ms()
        };
        if now < self.ongoing_faults.duplicate_reports_until && self.rng.random_bool(0.3) {
            let node = self.rng.random_range(0..self.nodes.len());
            let late = self.rng.random_range(1_000..90_000);
            // No worker waits for the answer to a report with id 0.
            let copy = ScheduledEvent::ReportArrives {
                node,
                machine: machine.clone(),
                report: report.clone(),
                id: 0,
            };
            self.schedule(now + late, copy);
        }
        let arrival = ScheduledEvent::ReportArrives {
            node,
            machine,
            report,
            id,
        };
        self.schedule(now + delay, arrival);
    }
}

impl Worker {
    /// Directs the next report to the next controller and schedules it after `RETRY_MS`.
    pub fn try_next_controller(&mut self, now: u64, nodes: usize) {
        self.node = (self.node + 1) % nodes;
        self.next_report_at = now + RETRY_MS;
    }
}
