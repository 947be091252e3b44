//! Registry of the machines and open attempts known to the leader.

use super::{Attempts, EndedAttempt, Machine, Outcome};
use crate::Millis;
use crate::ids::{GroupIx, MachineIx, Table};
use crate::settings::Settings;
use crate::wire::{ListedMachine, MachineState};
use std::collections::{BTreeMap, BTreeSet};

/// Longest report interval relative to `report_s`: workers vary it by up to a quarter.
const LONGEST_REPORT_INTERVAL_FACTOR: f64 = 1.25;

/// How long deleted machines are remembered, since lists and reports that name them may arrive
/// late.
const TOMBSTONE_TTL_MS: Millis = 120_000;

/// All machines, the open attempts on them, and the state shared by all of them.
#[derive(Debug)]
pub struct Workers {
    /// Machines, by name and index.
    pub machines: Table<MachineIx, Machine>,
    /// Open attempts on these machines.
    pub attempts: Attempts,
    /// Times of deletion of recently deleted machines, by machine name.
    pub tombstones: BTreeMap<String, Millis>,
    /// Machines whose commands should be sent directly, without waiting for their next report.
    pub delivery_due: BTreeSet<MachineIx>,
    /// Mean interval between the reports of a worker, in seconds.
    pub report_s: f64,
    /// Time without an answer after which a worker has certainly dropped its tasks.
    pub lease_expiry_ms: Millis,
    /// Since when the leader has received reports without interruption.
    pub receiving_reports_since: Millis,
    /// Whether anything that placement depends on has changed since the last placement round.
    pub capacity_changed: bool,
    /// Number of times that the fencing token of a machine was raised since this was last logged.
    pub tokens_raised: u64,
    /// Whether the leader has to raise its term, because a machine has used up the fencing tokens
    /// of the present one or what is stored contradicts the leader's state.
    pub needs_higher_term: bool,
}

impl Workers {
    /// Returns an empty registry with the timings from the settings.
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
            tokens_raised: 0,
            needs_higher_term: false,
        }
    }

    /// Returns the longest time between two reports of a healthy worker, in seconds.
    pub fn longest_report_interval_s(&self) -> f64 {
        self.report_s * LONGEST_REPORT_INTERVAL_FACTOR
    }

    /// Whether the machine of this name was deleted so recently that lists and reports may still
    /// name it.
    pub fn was_recently_deleted(&self, name: &str) -> bool {
        self.tombstones.contains_key(name)
    }

    /// Removes a deleted machine and returns its last state. Its name is remembered until
    /// [`Workers::expire_tombstones`] forgets it; its index may be reused for another machine.
    pub fn remove_machine(&mut self, now: Millis, name: &str) -> Option<Machine> {
        let ix = self.machines.find(name)?;
        self.delivery_due.remove(&ix);
        self.tombstones.insert(name.to_owned(), now);
        self.machines.remove(name)
    }

    /// Forgets deletions that are too old for a late list or report to name the machine.
    pub fn expire_tombstones(&mut self, now: Millis) {
        self.tombstones.retain(|_, &mut at| now < at + TOMBSTONE_TTL_MS);
    }

    /// Updates a known machine from its entry in the cloud's list. If the entry contains an
    /// address that was not known, returns the inventory group to write again.
    pub fn note_listed(&mut self, now: Millis, ix: MachineIx, listed: &ListedMachine) -> Option<GroupIx> {
        let machine = self.machines.get_mut(ix)?;
        if listed.state == MachineState::Running && machine.last_report_at.is_none() {
            // The reply to a direct command shows that the machine is up.
            self.delivery_due.insert(ix);
        }
        machine.note_listed(now, listed)
    }

    /// Updates all machines after the last page of the cloud's list was read.
    pub fn finish_cloud_list(&mut self) {
        for (_, machine) in self.machines.iter_mut() {
            machine.cloud_listing.finish_list();
        }
    }

    /// Returns the attempts that have ended because their worker's lease has certainly expired.
    /// Attempts placed for an agent epoch later than the last reported one are not included.
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
