//! A simulated cloud: its catalogue, its machine requests and its list of machines.

use super::*;

/// The maximum number of machines in one page of the list.
const LIST_LIMIT: usize = 500;

/// Returns the machine types that the cloud offers.
pub(super) fn catalogue() -> Catalogue {
    let machine_type = |name: &str, cpus: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: cpus * 0.05,
        spot_price: Some(cpus * 0.02),
        boot_s: 5.0,
        zones: vec!["north".into(), "south".into()],
    };
    Catalogue {
        types: vec![machine_type("small", 4.0), machine_type("large", 8.0)],
    }
}

impl World {
    /// Returns the worker of a new machine that boots in `boot_ms` and sends its first report to a
    /// random controller.
    pub(super) fn new_worker(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        boot_ms: u64,
    ) -> Worker {
        let node = match self.nodes.len() {
            0 => 0,
            nodes => self.rng.random_range(0..nodes),
        };
        Worker {
            name: name.into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            requested_at: self.now,
            up_at: self.now + boot_ms,
            terminated: false,
            cut_until: 0,
            receives_nothing_until: 0,
            reaches_no_controller_until: 0,
            hung_until: 0,
            fails_tasks_until: 0,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            lease_start: self.now + boot_ms,
            spot_reclaim_at: None,
            node,
            report_in_flight: None,
            next_report_at: self.now + boot_ms,
            begun_attempts: BTreeSet::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Executes one request to the cloud and returns its reply.
    pub(super) fn handle_cloud_request(&mut self, request: &CloudRequest) -> CloudReply {
        if self.now < self.ongoing_faults.cloud_outage_until {
            return CloudReply::Unavailable;
        }
        match request {
            CloudRequest::Catalogue => CloudReply::Catalogue(catalogue()),
            CloudRequest::RequestMachines(machine_request) => self.rent(machine_request),
            CloudRequest::Delete(names) => {
                for name in &names.machines {
                    self.terminate_machine(name);
                }
                CloudReply::Deleted
            }
            CloudRequest::List { after } => self.list_machines(after),
        }
    }

    /// Rents as many of the requested machines as the cloud has; a repeated request gets the
    /// machines of the first one.
    fn rent(&mut self, machine_request: &MachineRequest) -> CloudReply {
        if let Some(names) = self.machines_by_request.get(&machine_request.request) {
            return CloudReply::Provisioned(MachineNames {
                machines: names.clone(),
            });
        }
        let in_use = self
            .workers
            .values()
            .filter(|w| !w.terminated && w.zone == machine_request.zone && w.spot == machine_request.spot)
            .count();
        let count = (machine_request.count as usize).min(self.capacity.saturating_sub(in_use));
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("host-{:06}", self.next_machine);
            self.next_machine += 1;
            let boot_ms = self.draw_boot_ms();
            let worker = self.new_worker(
                &name,
                &machine_request.machine_type,
                &machine_request.zone,
                machine_request.spot,
                boot_ms,
            );
            self.workers.insert(name.clone(), worker);
            names.push(name);
        }
        self.machines_by_request
            .insert(machine_request.request.clone(), names.clone());
        CloudReply::Provisioned(MachineNames { machines: names })
    }

    /// Draws the boot time of a machine in milliseconds; some machines never come up during a run.
    fn draw_boot_ms(&mut self) -> u64 {
        let slow = self.now < self.ongoing_faults.slow_boots_until;
        if self.rng.random_bool(if slow { 0.3 } else { 0.05 }) {
            10_000_000
        } else if slow {
            self.rng.random_range(8_000..40_000)
        } else {
            self.rng.random_range(500..8_000)
        }
    }

    /// Returns one page of the machines that are not terminated, by name, after `after`.
    fn list_machines(&self, after: &str) -> CloudReply {
        let listed = self
            .workers
            .values()
            .filter(|w| !w.terminated && *w.name > *after)
            .map(|w| ListedMachine {
                id: w.name.clone(),
                address: Some(w.name.clone()),
                machine_type: w.machine_type.clone(),
                zone: w.zone.clone(),
                spot: w.spot,
                state: if self.now >= w.up_at {
                    MachineState::Running
                } else {
                    MachineState::Starting
                },
                age_s: (self.now - w.requested_at) as f64 / 1000.0,
            });
        let mut machines: Vec<ListedMachine> = listed.take(LIST_LIMIT + 1).collect();
        let more = machines.len() > LIST_LIMIT;
        machines.truncate(LIST_LIMIT);
        CloudReply::Listed(MachineList { machines, more })
    }
}
