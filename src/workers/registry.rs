//! The machines and open attempts that the leader knows of.

use super::{Attempts, Machine};
use crate::Millis;
use crate::ids::{MachineIx, Table};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Workers report every `report_s`, give or take a quarter.
const LONGEST_REPORT_INTERVAL: f64 = 1.25;

/// All machines with what is open on them, and what their workers have to be told.
#[derive(Debug)]
pub struct Workers {
    pub machines: Table<MachineIx, Machine>,
    pub attempts: Attempts,
    /// Machines deleted lately, by name, and when.
    pub tombstones: BTreeMap<String, Millis>,
    /// Machines that have something new to be told.
    pub delivery_due: BTreeSet<MachineIx>,
    pub report_s: f64,
    /// After this much time without an answer a worker has dropped its tasks.
    pub lease_expiry_ms: Millis,
    /// Since when the leader has taken reports without a break.
    pub hearing_since: Millis,
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
            hearing_since: 0,
            capacity_changed: true,
            needs_higher_term: false,
        }
    }

    /// The longest time between two reports of a worker that is well.
    pub fn longest_report_interval_s(&self) -> f64 {
        self.report_s * LONGEST_REPORT_INTERVAL
    }
}
