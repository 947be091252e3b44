//! Time passes for the machines, and their heartbeat reports go out.

use super::*;

impl World {
    /// Workers' time passes, and their reports go out.
    pub(super) fn world(&mut self) {
        let nodes = self.nodes.len();
        if self.now % 1_000 < 100 {
            for node in 0..nodes {
                if self.now < self.alone_until(node).max(self.nodes[node].frozen_until) {
                    self.nodes[node].healthy = false;
                    continue;
                }
                let request = self.expect(node, Waiting::Health);
                self.step(node, Input::Health { request });
            }
        }
        self.check_known();
        self.check_waiting();
        self.send_odd_requests();
        if self.now >= self.store_out && self.store_out > 0 {
            self.store_out = 0;
            self.store.refresh_leases(self.now);
        }
        if self.store_out == 0 {
            self.store.expire(self.now);
            self.serve_watches();
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            if !worker.up(now) {
                continue;
            }
            if worker.spot_reclaim_at.is_some_and(|at| now >= at) {
                self.machine_gone(&name);
                continue;
            }
            if now < worker.hung_until {
                continue;
            }
            let mut effects = Vec::new();
            worker.advance(now, LEASE_MS, &mut effects);
            if worker.report_out.is_some_and(|(_, sent)| now >= sent + 4_000) {
                worker.report_out = None;
                worker.node = (worker.node + 1) % nodes;
                worker.next_report = now + 1_000;
            }
            let mut sent = None;
            if worker.report_out.is_none() && now >= worker.next_report {
                self.next_report += 1;
                let id = self.next_report;
                worker.report_out = Some((id, now));
                worker.next_report = now + 3_000;
                if now < worker.mute_until {
                    // Refused at once: it tries the next controller.
                    worker.report_out = None;
                    worker.node = (worker.node + 1) % nodes;
                    worker.next_report = now + 1_000;
                } else {
                    let south = worker.zone == "south";
                    sent = Some((worker.node, id, Box::new(worker.report()), worker.cut_until, south));
                }
            }
            self.take_effects(&name, effects);
            if let Some((node, id, report, cut, south)) = sent {
                let cut = cut.max(self.nodes[node].worker_cut).max(self.apart(node, south));
                // Reports may be held back and arrive late.
                let delay = if now < cut { cut - now + 500 } else { self.delay() };
                if now < self.copies && self.rng.random_bool(0.3) {
                    let (node, late) = (self.rng.random_range(0..nodes), self.rng.random_range(1_000..90_000));
                    // Nobody waits for its answer.
                    let copy = Happening::ReportArrives {
                        node,
                        machine: name.clone(),
                        report: report.clone(),
                        id: 0,
                    };
                    self.at(now + late, copy);
                }
                self.at(
                    now + delay,
                    Happening::ReportArrives {
                        node,
                        machine: name,
                        report,
                        id,
                    },
                );
            }
        }
        self.check_cancelled();
    }
}
