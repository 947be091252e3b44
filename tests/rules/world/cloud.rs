//! A simulated cloud: its catalogue, machine requests and list of machines.

use super::*;

/// Machines in one page of the list.
const LIST_LIMIT: usize = 500;

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
    pub(super) fn new_worker(&mut self, name: &str, machine_type: &str, zone: &str, spot: bool, boot: u64) -> Worker {
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
            up_at: self.now + boot,
            gone: false,
            cut_until: 0,
            receives_nothing_until: 0,
            reaches_no_controller_until: 0,
            hung_until: 0,
            fails_tasks_until: 0,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            lease_from: self.now + boot,
            spot_reclaim_at: None,
            node,
            report_out: None,
            next_report: self.now + boot,
            tasks: BTreeMap::new(),
        }
    }

    pub(super) fn cloud_call(&mut self, request: &CloudRequest) -> CloudReply {
        if self.now < self.ongoing.cloud_out_until {
            return CloudReply::Unavailable;
        }
        match request {
            CloudRequest::Catalogue => CloudReply::Catalogue(catalogue()),
            CloudRequest::RequestMachines(machine_request) => self.rent(machine_request),
            CloudRequest::Delete(names) => {
                for name in &names.machines {
                    self.machine_gone(name);
                }
                CloudReply::Deleted
            }
            CloudRequest::List { after } => self.list_machines(after),
        }
    }

    fn rent(&mut self, machine_request: &MachineRequest) -> CloudReply {
        if let Some(names) = self.rented.get(&machine_request.request) {
            return CloudReply::Provisioned(MachineNames {
                machines: names.clone(),
            });
        }
        let there = self
            .workers
            .values()
            .filter(|w| !w.gone && w.zone == machine_request.zone && w.spot == machine_request.spot)
            .count();
        let count = (machine_request.count as usize).min(self.capacity.saturating_sub(there));
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("host-{:06}", self.next_machine);
            self.next_machine += 1;
            let boot = self.draw_boot_ms();
            let worker = self.new_worker(
                &name,
                &machine_request.machine_type,
                &machine_request.zone,
                machine_request.spot,
                boot,
            );
            self.workers.insert(name.clone(), worker);
            names.push(name);
        }
        self.rented.insert(machine_request.request.clone(), names.clone());
        CloudReply::Provisioned(MachineNames { machines: names })
    }

    /// How long a machine takes to boot; some never come up.
    fn draw_boot_ms(&mut self) -> u64 {
        let late = self.now < self.ongoing.slow_boots_until;
        if self.rng.random_bool(if late { 0.3 } else { 0.05 }) {
            10_000_000
        } else if late {
            self.rng.random_range(8_000..40_000)
        } else {
            self.rng.random_range(500..8_000)
        }
    }

    fn list_machines(&self, after: &str) -> CloudReply {
        let listed = self
            .workers
            .values()
            .filter(|w| !w.gone && *w.name > *after)
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
