//! The machines and open attempts that the leader knows of.

use super::{Attempts, EndedAttempt, Machine, Outcome};
use crate::Millis;
use crate::ids::{GroupIx, MachineIx, Table};
use crate::settings::Settings;
use crate::wire::{ListedMachine, MachineState};
use std::collections::{BTreeMap, BTreeSet};

/// Workers report every `report_s`, give or take a quarter.
const LONGEST_REPORT_INTERVAL: f64 = 1.25;

/// Machines deleted are remembered this long, since lists and reports lag.
const TOMBSTONE_MS: Millis = 120_000;

/// All machines with what is open on them, and what their workers have to be told.
#[derive(Debug)]
pub struct Workers {
    /// The machines, by name and index.
    pub machines: Table<MachineIx, Machine>,
    /// The open attempts on them.
    pub attempts: Attempts,
    /// Machines deleted lately, by name, and when.
    pub tombstones: BTreeMap<String, Millis>,
    /// Machines that have something new to be told.
    pub delivery_due: BTreeSet<MachineIx>,
    /// How often workers report.
    pub report_s: f64,
    /// After this much time without an answer a worker has dropped its tasks.
    pub lease_expiry_ms: Millis,
    /// Since when the leader has taken reports without a break.
    pub receiving_reports_since: Millis,
    /// Something happened since the last round that placement depends on.
    pub capacity_changed: bool,
    /// Starts that may still arrive have to be withdrawn by a higher term.
    pub needs_higher_term: bool,
}

impl Workers {
    /// No machines yet.
    pub fn new(settings: &Settings) -> Workers {
        Workers {
            machines: Table::default(),
            attempts: Attempts::default(),
            tombstones: BTreeMap::new(),
            delivery_due: BTreeSet::new(),
            report_s: settings.params.workers.report_s,
            lease_expiry_ms: settings.lease_expiry_ms(),
            receiving_reports_since: 0,
            capacity_changed: true,
            needs_higher_term: false,
        }
    }

    /// The longest time between two reports of a worker that is well.
    pub fn longest_report_interval_s(&self) -> f64 {
        self.report_s * LONGEST_REPORT_INTERVAL
    }

    /// Whether the machine of this name was deleted so lately that lists and reports
    /// may still speak of it.
    pub fn was_recently_deleted(&self, name: &str) -> bool {
        self.tombstones.contains_key(name)
    }

    /// A machine is deleted. Returns what was known of it; its index may be given to
    /// another.
    pub fn remove_machine(&mut self, now: Millis, name: &str) -> Option<Machine> {
        let ix = self.machines.find(name)?;
        self.delivery_due.remove(&ix);
        self.tombstones.insert(name.to_owned(), now);
        self.machines.remove(name)
    }

    /// Forgets deletions that no list or report can lag behind any more.
    pub fn expire_tombstones(&mut self, now: Millis) {
        self.tombstones.retain(|_, &mut at| now < at + TOMBSTONE_MS);
    }

    /// The cloud's list names a known machine. Returns the inventory group whose key
    /// lacks the address that the list told, if there is one.
    pub fn note_listed(&mut self, now: Millis, ix: MachineIx, listed: &ListedMachine) -> Option<GroupIx> {
        let machine = self.machines.get_mut(ix)?;
        if listed.state == MachineState::Running && machine.heard_at.is_none() {
            // Asked directly: its answer shows that it is up.
            self.delivery_due.insert(ix);
        }
        machine.note_listed(now, listed)
    }

    /// The last page of the cloud's list was read.
    pub fn finish_cloud_list(&mut self) {
        for (_, machine) in self.machines.iter_mut() {
            machine.cloud_listing.list_complete();
        }
    }

    /// Attempts on machines whose worker's lease has surely expired.
    pub fn expired_attempts(&self, now: Millis) -> Vec<EndedAttempt> {
        let mut expired = Vec::new();
        for (_, machine) in self.machines.iter() {
            if now <= machine.answered_at + self.lease_expiry_ms {
                continue;
            }
            let ended = machine.open.iter().filter(|&&open| {
                let attempt = self.attempts.get(open);
                attempt.is_some_and(|attempt| attempt.agent_epoch <= machine.agent_epoch)
            });
            expired.extend(ended.map(|&attempt| EndedAttempt {
                attempt,
                outcome: Outcome::Lost,
            }));
        }
        expired
    }
}
