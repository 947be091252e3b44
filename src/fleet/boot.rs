//! Detection of machines whose boot is overdue.

use super::health::is_majority;
use super::{FIRST_CONTACT_GRACE_MS, Fleet, FleetContext};
use crate::resources::Offer;
use crate::workers::Machine;
use std::collections::{BTreeMap, BTreeSet};

/// A boot is overdue after this many times the boot time of the machine's type. Other
/// machines are then requested instead, and the late one is used, or decommissioned when idle,
/// if it comes up after all.
const OVERDUE_BOOT_FACTOR: f64 = 1.75;

/// The numbers of machines of one offer that are not known to have come up yet.
#[derive(Clone, Copy, Debug, Default)]
struct BootCounts {
    booting: usize,
    overdue: usize,
}

impl Fleet {
    /// Whether a machine should have come up by now. This is never assumed of a machine in an
    /// unresponsive zone, which may be up and cut off, nor by a leader that has only just
    /// begun to receive reports.
    pub(crate) fn is_boot_overdue(&self, context: &FleetContext<'_>, machine: &Machine) -> bool {
        let workers = context.workers;
        let boot_s = context.topology.boot_s(machine.type_ix);
        let due_ms = crate::millis(boot_s * OVERDUE_BOOT_FACTOR + workers.longest_report_interval_s());
        machine.last_known_up_at().is_none()
            && context.now > machine.requested_at + due_ms
            && context.now > workers.receiving_reports_since + FIRST_CONTACT_GRACE_MS
            && !self.unresponsive_zones.contains(&machine.zone)
    }

    /// Returns the offers most of whose booting machines are overdue. Further machines
    /// requested from them would hardly come up sooner.
    pub(crate) fn overdue_offers(&self, context: &FleetContext<'_>) -> BTreeSet<Offer> {
        let mut counts: BTreeMap<Offer, BootCounts> = BTreeMap::new();
        for (_, machine) in context.workers.machines.iter() {
            if machine.last_known_up_at().is_none() && !machine.decommissioned {
                let of_offer = counts.entry(machine.offer()).or_default();
                of_offer.booting += 1;
                of_offer.overdue += usize::from(self.is_boot_overdue(context, machine));
            }
        }
        let overdue = counts
            .into_iter()
            .filter(|(_, counts)| is_majority(counts.overdue, counts.booting));
        overdue.map(|(offer, _)| offer).collect()
    }
}
