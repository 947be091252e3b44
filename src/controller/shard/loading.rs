//! What a new leader reads back from the state service.

use super::Shard;
use crate::Millis;
use crate::fleet::{GroupValue, InventoryMember, MachineRequestRecord};
use crate::ids::Index;
use crate::pipeline::ChunkValue;
use crate::wire::Entry;
use crate::workers::{Attempt, Machine};

impl Shard {
    /// Takes over what the former leader left: machines first, then machine requests, then
    /// every written firing. Jobs come by the watch cache before these.
    pub fn load_group(&mut self, now: Millis, name: &str, entry: &Entry) {
        let Ok(value) = serde_json::from_value::<GroupValue>(entry.value.clone()) else {
            tracing::error!(key = entry.key, "an inventory key can't be read");
            return;
        };
        let group_ix = self.fleet.inventory.load(name, entry.version);
        for member in value.machines {
            let InventoryMember {
                name, address, spot, ..
            } = member;
            let type_ix = self.topology.type_ix(&member.machine_type);
            let zone = self.topology.zones.intern(&member.zone);
            let machine = Machine {
                known_up_at: address.is_some().then_some(now),
                address,
                group: Some(group_ix),
                written: true,
                // A start sent under an earlier term may still be on its way.
                unconfirmed_start_term: self.term.saturating_sub(1),
                ..Machine::new(&name, type_ix, zone, spot, now)
            };
            let ix = self.workers.machines.insert(&name, machine);
            if let Some(group) = self.fleet.inventory.groups.get_mut(group_ix) {
                group.members.insert(ix);
            }
        }
    }

    pub fn load_machine_request(&mut self, entry: &Entry) {
        match serde_json::from_value::<MachineRequestRecord>(entry.value.clone()) {
            Ok(value) => self.fleet.add_machine_request(value, entry.version),
            Err(error) => tracing::error!(key = entry.key, %error, "a machine_request key can't be read"),
        }
    }

    pub fn load_chunk(&mut self, now: Millis, job: &str, number: u32, entry: &Entry) {
        let Ok(value) = serde_json::from_value::<ChunkValue>(entry.value.clone()) else {
            tracing::error!(key = entry.key, "a firing key can't be read");
            return;
        };
        let Some(job_ix) = self.jobs.table.find(job) else {
            tracing::error!(key = entry.key, "a firing without a job");
            return;
        };
        let first = number * self.jobs.chunk_tasks;
        for (task, attempt, machine_name, agent_epoch) in value.open {
            let machine_ix = match self.workers.machines.find(&machine_name) {
                Some(ix) => ix,
                None => {
                    // The inventory drops it only after a deletion that the cloud
                    // confirmed, so nothing of it is left.
                    continue;
                }
            };
            let Some(job) = self.jobs.table.get_mut(job_ix) else {
                continue;
            };
            let resources = job.shape.resources;
            let ended = job.ended.is_some();
            let ix = self.workers.attempts.insert(Attempt {
                job: job_ix,
                task,
                number: attempt,
                machine: machine_ix,
                agent_epoch,
                written: true,
                writing: false,
                observed_state: None,
                // Nobody knows any more; what may have run long is not to be
                // stopped as if it had just begun.
                running_since: Some(0),
                start_sent: None,
                start_answered: false,
                stop: ended.then_some(0.0),
                withdrawn: false,
            });
            job.open.insert(task, ix);
            self.jobs.team_quotas[job.team.usize()].used.add(resources);
            let (image, gb) = (job.image, job.spec.image_gb);
            if let Some(machine) = self.workers.machines.get_mut(machine_ix) {
                machine.used.add(resources);
                machine.open.push(ix);
                machine.agent_epoch = machine.agent_epoch.max(agent_epoch);
                machine.touch(image, gb, f64::MAX);
                machine.idle_since = now;
            }
        }
        if let Some(job) = self.jobs.table.get_mut(job_ix)
            && let Some(chunk) = job.chunks.get_mut(number as usize)
        {
            chunk.version = entry.version;
            chunk.next = value.next;
            job.done.add_text(first, &value.done);
        }
    }

    /// After loading: sets going what needs no event to go on.
    pub fn loaded(&mut self) {
        for ix in self.jobs.table.indices() {
            let Some(job) = self.jobs.table.get(ix) else {
                continue;
            };
            if job.ended.is_some() {
                if job.open.is_empty() {
                    self.pending_writes.cleanups.insert(ix);
                }
            } else if job.complete() {
                self.pending_writes.finished.insert(ix);
            }
        }
    }
}
