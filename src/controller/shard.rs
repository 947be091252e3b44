use crate::Millis;
use crate::fleet::{Fleet, GroupValue, Inventory, MachineRequestRecord, PendingMachineRequest};
use crate::ids::{AttemptIx, ChunkId, ClassIx, ImageIx, Index, JobIx, MachineIx, Names, Table, TeamIx, TypeIx, ZoneIx};
use crate::pipeline::ledger::Ledger;
use crate::pipeline::{ChunkValue, Job, JobBuilder, chunk_tasks, error_pause};
use crate::placement::{TeamQuota, TypeInfo};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::{JobKey, Keys};
use crate::wire::{Catalogue, Entry, JobState, ListedMachine, MachineState, Report, TaskState};
use crate::workers::{Attempt, Attempts, Machine, Outcome, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Machines deleted are remembered this long, since lists and reports lag.
const TOMBSTONE_MS: Millis = 120_000;
/// Workers report every `report_s`, give or take a quarter.
const LONGEST_REPORT_INTERVAL: f64 = 1.25;
/// A machine that refused a task gets no new ones for this long.
const REFUSED_CORDON_MS: Millis = 1_000;

/// Everything that the leader of a shard knows of it. Made anew for every term.
pub struct Shard {
    pub name: String,
    pub term: u64,
    pub policy: Policy,
    pub report_s: f64,
    /// Since when the leader has taken reports without a break.
    pub hearing_since: Millis,
    /// The time of day of the step now going on.
    pub wall_clock: Millis,
    /// In which time jobs of a class should be complete.
    pub due: BTreeMap<String, Millis>,
    /// In which time their tasks should be started.
    pub start_within: BTreeMap<String, Millis>,
    /// After this much time without an answer a worker has dropped its tasks.
    pub lease_expiry_ms: Millis,
    pub chunk_tasks: u32,
    pub machine_request_prefix: String,

    pub team_names: Names<TeamIx>,
    pub types: Names<TypeIx>,
    pub zones: Names<ZoneIx>,
    pub images: Names<ImageIx>,
    pub classes: Names<ClassIx>,
    pub type_info: Vec<Option<TypeInfo>>,
    pub team_quotas: Vec<TeamQuota>,

    pub jobs: Table<JobIx, Job>,
    pub attempts: Attempts,
    pub machines: Table<MachineIx, Machine>,
    pub tombstones: BTreeMap<String, Millis>,
    pub ledger: Ledger,
    pub fleet: Fleet,
    pub inventory: Inventory,
    /// Machines that have something new to be told.
    pub delivery_due: BTreeSet<MachineIx>,
    /// When preemption was last looked for.
    pub preempted_at: Millis,
    /// Something happened since the last round that placement depends on.
    pub capacity_changed: bool,
    /// Jobs whose keys were seen to be gone.
    pub deleted_jobs: Vec<String>,
    /// Starts that may still arrive have to be withdrawn by a higher term.
    pub needs_higher_term: bool,
}

impl Shard {
    pub fn new(name: &str, term: u64, settings: &Settings, policy: &Policy) -> Shard {
        let keys = Keys::new(name);
        let params = &settings.params;
        let mut team_names = Names::default();
        let mut team_quotas = Vec::new();
        for team in &params.teams {
            team_names.intern(&team.name);
            let resources = |cpus, gpus| Resources {
                cpus,
                gpus,
                memory_gb: 0.0,
            };
            team_quotas.push(TeamQuota {
                guarantee: resources(team.cpus, team.gpus),
                limit: resources(team.cpus_max, team.gpus_max),
                used: Resources::default(),
            });
        }
        let mut zones = Names::default();
        for zone in &params.zones {
            zones.intern(zone);
        }
        let within = |kind: &str| {
            let mut least: BTreeMap<String, Millis> = BTreeMap::new();
            for objective in params.objectives.iter().filter(|objective| objective.kind == kind) {
                if let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) {
                    let within = crate::millis(within_s);
                    let least = least.entry(class.clone()).or_insert(within);
                    *least = within.min(*least);
                }
            }
            least
        };
        Shard {
            name: name.into(),
            term,
            policy: policy.clone(),
            report_s: params.workers.report_s,
            hearing_since: 0,
            wall_clock: 0,
            due: within("finished"),
            start_within: within("wait"),
            lease_expiry_ms: settings.lease_expiry_ms(),
            chunk_tasks: chunk_tasks(params.state.value_kb),
            machine_request_prefix: keys.machine_requests(),
            team_names,
            types: Names::default(),
            zones,
            images: Names::default(),
            classes: Names::default(),
            type_info: Vec::new(),
            team_quotas,
            jobs: Table::default(),
            attempts: Attempts::default(),
            machines: Table::default(),
            tombstones: BTreeMap::new(),
            ledger: Ledger::default(),
            fleet: Fleet::default(),
            inventory: Inventory::new(params.state.value_kb),
            delivery_due: BTreeSet::new(),
            preempted_at: 0,
            capacity_changed: true,
            deleted_jobs: Vec::new(),
            needs_higher_term: false,
        }
    }

    pub fn longest_report_interval_s(&self) -> f64 {
        self.report_s * LONGEST_REPORT_INTERVAL
    }

    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        for info in &catalogue.types {
            let ix = self.type_ix(&info.name).usize();
            let zones = info.zones.iter().map(|zone| self.zones.intern(zone)).collect();
            self.type_info[ix] = Some(TypeInfo {
                resources: Resources {
                    cpus: info.cpus,
                    gpus: info.gpus,
                    memory_gb: info.memory_gb,
                },
                cache_gb: info.cache_gb,
                fetch_gb_per_s: info.fetch_gb_per_s,
                price: info.price,
                spot_price: info.spot_price,
                boot_s: info.boot_s,
                zones,
            });
        }
    }

    fn type_ix(&mut self, name: &str) -> TypeIx {
        let ix = self.types.intern(name);
        if self.type_info.len() <= ix.usize() {
            self.type_info.resize(ix.usize() + 1, None);
        }
        ix
    }

    pub fn add_machine(&mut self, now: Millis, name: &str, type_name: &str, zone: &str, spot: bool) -> MachineIx {
        let type_ix = self.type_ix(type_name);
        let zone = self.zones.intern(zone);
        let ix = self.machines.insert(name, Machine::new(name, type_ix, zone, spot, now));
        self.add_to_inventory(ix);
        ix
    }

    /// A machine that only a report speaks of. The report may be a late copy,
    /// from a machine returned long ago, so it counts for nothing until the
    /// cloud lists it or it answers a command.
    pub fn add_unverified(&mut self, now: Millis, report: &Report) -> MachineIx {
        let type_ix = self.type_ix(&report.machine_type);
        let zone = self.zones.intern(&report.zone);
        let machine = Machine::new(&report.machine, type_ix, zone, report.spot, now);
        let ix = self.machines.insert(&report.machine, machine);
        self.delivery_due.insert(ix);
        ix
    }

    /// The machine is surely there: a successor must know of it.
    pub fn add_to_inventory(&mut self, ix: MachineIx) {
        let Some(machine) = self.machines.get_mut(ix).filter(|machine| machine.group.is_none()) else {
            return;
        };
        machine.group = Some(self.inventory.add(self.term, ix));
    }

    /// Takes over what the former leader left: machines first, then machine requests, then
    /// every written firing. Jobs come by the watch cache before these.
    pub fn load_group(&mut self, now: Millis, name: &str, entry: &Entry) {
        let Ok(value) = serde_json::from_value::<GroupValue>(entry.value.clone()) else {
            tracing::error!(key = entry.key, "an inventory key can't be read");
            return;
        };
        let group_ix = self.inventory.load(name, entry.version);
        for (name, type_name, zone, spot, address) in value.machines {
            let type_ix = self.type_ix(&type_name);
            let zone = self.zones.intern(&zone);
            let machine = Machine {
                known_up_at: address.is_some().then_some(now),
                address,
                group: Some(group_ix),
                written: true,
                // A start sent under an earlier term may still be on its way.
                unconfirmed_start_term: self.term.saturating_sub(1),
                ..Machine::new(&name, type_ix, zone, spot, now)
            };
            let ix = self.machines.insert(&name, machine);
            if let Some(group) = self.inventory.groups.get_mut(group_ix) {
                group.members.insert(ix);
            }
        }
    }

    pub fn load_machine_request(&mut self, entry: &Entry) {
        match serde_json::from_value::<MachineRequestRecord>(entry.value.clone()) {
            Ok(value) => self.fleet.machine_requests.push(PendingMachineRequest {
                value,
                version: entry.version,
                in_flight: false,
                not_before: 0,
            }),
            Err(error) => tracing::error!(key = entry.key, %error, "a machine_request key can't be read"),
        }
    }

    pub fn load_chunk(&mut self, now: Millis, job: &str, number: u32, entry: &Entry) {
        let Ok(value) = serde_json::from_value::<ChunkValue>(entry.value.clone()) else {
            tracing::error!(key = entry.key, "a firing key can't be read");
            return;
        };
        let Some(job_ix) = self.jobs.find(job) else {
            tracing::error!(key = entry.key, "a firing without a job");
            return;
        };
        let first = number * self.chunk_tasks;
        for (task, attempt, machine_name, agent_epoch) in value.open {
            let machine_ix = match self.machines.find(&machine_name) {
                Some(ix) => ix,
                None => {
                    // The inventory drops it only after a deletion that the cloud
                    // confirmed, so nothing of it is left.
                    continue;
                }
            };
            let Some(job) = self.jobs.get_mut(job_ix) else {
                continue;
            };
            let resources = job.shape.resources;
            let ended = job.ended.is_some();
            let ix = self.attempts.insert(Attempt {
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
            self.team_quotas[job.team.usize()].used.add(resources);
            let (image, gb) = (job.image, job.spec.image_gb);
            if let Some(machine) = self.machines.get_mut(machine_ix) {
                machine.used.add(resources);
                machine.open.push(ix);
                machine.agent_epoch = machine.agent_epoch.max(agent_epoch);
                machine.touch(image, gb, f64::MAX);
                machine.idle_since = now;
            }
        }
        if let Some(job) = self.jobs.get_mut(job_ix)
            && let Some(chunk) = job.chunks.get_mut(number as usize)
        {
            chunk.version = entry.version;
            chunk.next = value.next;
            job.done.add_text(first, &value.done);
        }
    }

    /// After loading: sets going what needs no event to go on.
    pub fn loaded(&mut self) {
        for ix in self.jobs.indices() {
            let Some(job) = self.jobs.get(ix) else {
                continue;
            };
            if job.ended.is_some() {
                if job.open.is_empty() {
                    self.ledger.cleanups.insert(ix);
                }
            } else if job.complete() {
                self.ledger.finished.insert(ix);
            }
        }
    }

    /// A job key appeared or changed.
    pub fn job_changed(&mut self, now: Millis, id: &str, key: &JobKey, version: u64) {
        let Some(ix) = self.jobs.find(id) else {
            let mut builder = JobBuilder {
                teams: &self.team_names,
                types: &mut self.types,
                zones: &mut self.zones,
                images: &mut self.images,
                classes: &mut self.classes,
                due: &self.due,
                start_within: &self.start_within,
            };
            match builder.admit(key, version, self.chunk_tasks) {
                Some(job) => {
                    let ended = job.ended.is_some();
                    let ix = self.jobs.insert(id, job);
                    if ended {
                        self.ledger.cleanups.insert(ix);
                    }
                }
                None => tracing::error!(job = id, "a job of an unknown team"),
            }
            self.type_info.resize(self.types.len(), None);
            return;
        };
        let Some(job) = self.jobs.get_mut(ix) else {
            return;
        };
        if version <= job.key_version {
            return;
        }
        job.key_version = version;
        if job.ended.is_none() && key.ended.is_some() {
            job.ended = key.ended;
            if key.ended == Some(JobState::Cancelled) {
                self.stop_all(now, ix);
            }
        }
    }

    /// Forgets jobs whose keys are gone. An old event, read before a job's last
    /// clean-up and taken in after it, may have brought the job back; nothing
    /// could ever be written of it again. Not while a transaction is in flight:
    /// it names jobs by index.
    pub fn forget_deleted_jobs(&mut self) {
        for id in std::mem::take(&mut self.deleted_jobs) {
            let Some(job) = self.jobs.find(&id).and_then(|ix| self.jobs.get(ix)) else {
                continue;
            };
            if job.open.is_empty() {
                self.remove_job(&id);
            } else {
                tracing::error!(job = id, "a job's key is gone while its tasks are open");
                self.needs_higher_term = true;
            }
        }
    }

    pub fn remove_job(&mut self, id: &str) {
        if let Some(ix) = self.jobs.find(id) {
            let removed = self.jobs.remove(id);
            self.ledger.forget_job(ix);
            // Its index may be given to another.
            if removed.is_some_and(|job| job.errors > 0) {
                self.clear_machines_of(ix);
            }
        }
    }

    /// A cancelled job: nothing more starts, and what is open has to end.
    fn stop_all(&mut self, now: Millis, ix: JobIx) {
        let Some(job) = self.jobs.get(ix) else {
            return;
        };
        let open: Vec<AttemptIx> = job.open.values().copied().collect();
        for attempt_ix in open {
            let Some(attempt) = self.attempts.get_mut(attempt_ix) else {
                continue;
            };
            attempt.stop = Some(0.0);
            let machine = attempt.machine;
            if !attempt.written && !attempt.writing {
                self.close(now, attempt_ix, Outcome::Lost);
            } else {
                self.delivery_due.insert(machine);
            }
        }
        if self.jobs.get(ix).is_some_and(|job| job.open.is_empty()) {
            self.ledger.cleanups.insert(ix);
        }
    }

    /// After a transaction that was surely not applied: drops what was planned
    /// for jobs that have ended since.
    pub fn drop_unwritten(&mut self, now: Millis) {
        for ix in self.jobs.indices() {
            if self
                .jobs
                .get(ix)
                .is_some_and(|job| job.ended == Some(JobState::Cancelled))
            {
                self.stop_all(now, ix);
            }
        }
    }

    /// An attempt is proven over: frees what it took and decides what follows.
    pub fn close(&mut self, now: Millis, ix: AttemptIx, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(ix) else {
            return;
        };
        self.capacity_changed = true;
        let Some(job) = self.jobs.get_mut(attempt.job) else {
            return;
        };
        let resources = job.shape.resources;
        self.team_quotas[job.team.usize()].used.take(resources);
        job.open.remove(&attempt.task);
        if let Some(machine) = self.machines.get_mut(attempt.machine) {
            machine.open.retain(|&other| other != ix);
            machine.used.take(resources);
            if machine.open.is_empty() {
                machine.used = Resources::default();
                machine.idle_since = now;
            }
            match outcome {
                Outcome::Done => machine.note_success(),
                Outcome::Refused => machine.cordoned_until = now + REFUSED_CORDON_MS,
                _ => {}
            }
        }
        if outcome == Outcome::Error {
            self.note_failure(now, &attempt);
        }
        let Some(job) = self.jobs.get_mut(attempt.job) else {
            return;
        };
        let number = job.chunk_of(attempt.task, self.chunk_tasks);
        match outcome {
            Outcome::Done => {
                job.errors = 0;
                job.failed_on.clear();
                job.done.insert(attempt.task);
            }
            Outcome::Error => {
                if !job.failed_on.contains(&attempt.machine) && job.failed_on.len() < 3 {
                    job.failed_on.push(attempt.machine);
                } else {
                    job.failed_on.clear();
                }
                let pause = if job.fails_everywhere() {
                    error_pause(job.errors)
                } else {
                    0
                };
                job.run_again(attempt.task, now + pause);
            }
            Outcome::Refused => job.run_again(attempt.task, now + 500),
            Outcome::Stopped | Outcome::Lost => job.run_again(attempt.task, now),
        }
        if job.ended.is_some() {
            if job.open.is_empty() {
                self.ledger.cleanups.insert(attempt.job);
            }
            return;
        }
        if let Some(chunk) = job.chunks.get_mut(number) {
            chunk.dirty = true;
        }
        self.ledger.chunks.insert(ChunkId {
            job: attempt.job,
            number: number as u32,
        });
        if job.complete() {
            self.ledger.finished.insert(attempt.job);
        }
    }

    /// The cloud confirmed that these machines are gone, with all on them.
    pub fn machines_gone(&mut self, now: Millis, names: &[String]) {
        for name in names {
            let Some(ix) = self.machines.find(name) else {
                continue;
            };
            let Some(machine) = self.machines.get(ix) else {
                continue;
            };
            for attempt in machine.open.clone() {
                self.close(now, attempt, Outcome::Lost);
            }
            self.delivery_due.remove(&ix);
            if let Some(group) = self.machines.remove(name).and_then(|machine| machine.group) {
                self.inventory.remove(group, ix);
            }
            self.tombstones.insert(name.clone(), now);
            // The index may be given to another machine.
            for (_, job) in self.jobs.iter_mut() {
                job.failed_on.retain(|&failed| failed != ix);
            }
        }
        self.tombstones.retain(|_, &mut at| now < at + TOMBSTONE_MS);
    }

    /// One page of the cloud's list. Lists lag and may go back in time, so
    /// absence proves nothing; what is there is learned. `last`: of its list.
    pub fn listed(&mut self, now: Millis, machines: &[ListedMachine], last: bool) {
        for listed in machines {
            if self.tombstones.contains_key(&listed.id) {
                continue;
            }
            let ix = match self.machines.find(&listed.id) {
                Some(ix) => ix,
                None => self.add_machine(now, &listed.id, &listed.machine_type, &listed.zone, listed.spot),
            };
            self.add_to_inventory(ix);
            let Some(machine) = self.machines.get_mut(ix) else {
                continue;
            };
            machine.listed = true;
            machine.once_listed = true;
            if machine.heard_at.is_none() {
                machine.requested_at = now.saturating_sub(crate::millis(listed.age_s));
            }
            if machine.address.is_none() && listed.address.is_some() {
                machine.address = listed.address.clone();
                self.inventory.late.extend(machine.group);
            }
            if listed.state == MachineState::Running && machine.heard_at.is_none() {
                self.delivery_due.insert(ix);
            }
            if listed.state == MachineState::Failed && !machine.decommissioned {
                tracing::info!(machine = machine.name, "decommissioning a failed machine");
                machine.decommissioned = true;
            }
        }
        if last {
            for (_, machine) in self.machines.iter_mut() {
                machine.unlisted = machine.once_listed && !machine.listed;
                machine.listed = false;
            }
        }
    }

    /// Tasks done and on machines, for display.
    pub fn counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.find(id).and_then(|ix| self.jobs.get(ix))?;
        let running = job
            .open
            .values()
            .filter(|&&ix| {
                let observed_state = self.attempts.get(ix).and_then(|attempt| attempt.observed_state);
                matches!(observed_state, Some(TaskState::Running | TaskState::Saving))
            })
            .count() as u32;
        Some((job.done.len(), running))
    }
}

#[cfg(test)]
pub mod tests;
