//! Machines that should have shown themselves by now.

use super::health::is_most;
use super::{FIRST_SIGN_MS, Fleet, FleetContext};
use crate::resources::Offer;
use crate::workers::Machine;
use std::collections::{BTreeMap, BTreeSet};

/// The boot of a machine that takes this many boot times is overdue: others are asked for
/// in its place, and it is used or returned if it comes after all.
const OVERDUE_BOOTS: f64 = 1.75;

/// The machines of one offer that have not reported yet.
#[derive(Clone, Copy, Debug, Default)]
struct BootCounts {
    booting: usize,
    overdue: usize,
}

impl Fleet {
    /// Whether a machine should have shown itself by now. One in a silent zone may be
    /// up and cut off, and a leader that has just begun to hear can't tell yet.
    pub(crate) fn is_boot_overdue(&self, context: &FleetContext<'_>, machine: &Machine) -> bool {
        let workers = context.workers;
        let boot_s = context.topology.boot_s(machine.type_ix);
        let due_ms = crate::millis(boot_s * OVERDUE_BOOTS + workers.longest_report_interval_s());
        machine.last_known_up_at().is_none()
            && context.now > machine.requested_at + due_ms
            && context.now > workers.receiving_reports_since + FIRST_SIGN_MS
            && !self.silent_zones.contains(&machine.zone)
    }

    /// Offers most of whose machines still to come are overdue: what is asked for there
    /// now would hardly come sooner.
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
            .filter(|(_, counts)| is_most(counts.overdue, counts.booting));
        overdue.map(|(offer, _)| offer).collect()
    }
}
