//! Machine health: detects machines that are unresponsive or unreachable, fail tasks,
//! failed to boot, or are being reclaimed by the cloud.

use super::{FIRST_CONTACT_GRACE_MS, Fleet, FleetContext};
use crate::Millis;
use crate::ids::{Index, MachineIx, ZoneIx};
use crate::workers::{MISSED_ANSWERS_TO_DECOMMISSION, Machine};
use std::collections::BTreeSet;

/// Boot timeout of a machine, as a multiple of the boot time of its type. Machines may
/// take several times the usual boot time.
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// Machines in an unresponsive zone are kept for this many boot times longer than a
/// machine that becomes unresponsive alone, which is how long replacements would take.
const REPLACEMENT_BOOT_FACTOR: f64 = 1.5;
/// Milliseconds beyond the report interval after which a report counts as late if the
/// cloud does not list the machine either.
const UNLISTED_GRACE_MS: Millis = 1_500;
/// Milliseconds before a spot reclaim at which a machine is deleted if it still runs tasks.
const RECLAIM_MARGIN_MS: Millis = 1_000;
/// The fewest machines from which a conclusion is drawn about a whole zone, offer or fleet.
const MIN_SAMPLE_SIZE: usize = 3;

/// Why a machine is decommissioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The machine has stopped reporting.
    Unresponsive,
    /// The cloud does not list the machine and a report is late. Absence from a list alone
    /// proves nothing, but both together justify deleting the machine, and only its
    /// deletion proves that its tasks are over.
    UnresponsiveAndUnlisted,
    /// Reports arrive from the machine, but neither answers nor commands reach it.
    Unreachable,
    /// The machine has not reported since it was requested.
    BootFailed,
    /// So many tasks have failed on the machine, of several jobs or of jobs that succeed
    /// elsewhere, that the machine is most likely at fault.
    FailsTasks,
    /// The cloud is about to reclaim the spot machine.
    Reclaimed,
}

impl Failure {
    /// All failures, in the order in which they are checked.
    const ALL: [Failure; 6] = [
        Failure::Unresponsive,
        Failure::UnresponsiveAndUnlisted,
        Failure::Unreachable,
        Failure::BootFailed,
        Failure::FailsTasks,
        Failure::Reclaimed,
    ];

    /// Returns the text that log lines give as the reason.
    fn reason(self) -> &'static str {
        match self {
            Failure::Unresponsive => "unresponsive",
            Failure::UnresponsiveAndUnlisted => "unresponsive and not listed by the cloud",
            Failure::Unreachable => "unreachable",
            Failure::BootFailed => "boot timed out",
            Failure::FailsTasks => "tasks keep failing",
            Failure::Reclaimed => "reclaimed by the cloud",
        }
    }

    /// Whether the machine has failed in this way.
    fn applies_to(self, status: &MachineStatus<'_>) -> bool {
        let machine = status.machine;
        match self {
            Failure::Unresponsive => {
                status.is_unresponsive
                    && (!status.zone_is_unresponsive || status.replacement_would_be_up() && status.lease_has_expired())
            }
            Failure::UnresponsiveAndUnlisted => {
                machine.cloud_listing.is_missing() && machine.last_report_at.is_some() && status.is_report_late()
            }
            Failure::Unreachable => is_unreachable(machine) && !status.fleet.most_unreachable,
            Failure::BootFailed => {
                status.boot_has_timed_out()
                    && status.no_contact_for(status.unresponsive_after_ms)
                    && status.lease_has_expired()
            }
            Failure::FailsTasks => machine.is_unhealthy() && !status.fleet.most_fail_tasks,
            Failure::Reclaimed => machine
                .spot_reclaim_at
                .is_some_and(|at| status.now + RECLAIM_MARGIN_MS > at || machine.open.is_empty()),
        }
    }
}

/// The inputs for the health check of one machine.
struct MachineStatus<'a> {
    now: Millis,
    machine: &'a Machine,
    fleet: &'a FleetStatus,
    is_unresponsive: bool,
    zone_is_unresponsive: bool,
    unresponsive_after_ms: Millis,
    report_interval_ms: Millis,
    lease_expiry_ms: Millis,
    boot_s: f64,
    /// Time of the last contact with the machine, but not before the leader began to
    /// receive reports.
    no_contact_since: Millis,
}

impl MachineStatus<'_> {
    fn no_contact_for(&self, duration_ms: Millis) -> bool {
        self.now > self.no_contact_since + duration_ms
    }

    /// Whether a replacement requested when the machine became unresponsive would be up by now.
    fn replacement_would_be_up(&self) -> bool {
        self.no_contact_for(self.unresponsive_after_ms + crate::millis(self.boot_s * REPLACEMENT_BOOT_FACTOR))
    }

    fn is_report_late(&self) -> bool {
        self.no_contact_for(self.report_interval_ms + UNLISTED_GRACE_MS)
    }

    /// Whether the lease of the machine's worker has expired, in which case the worker has
    /// dropped its tasks.
    fn lease_has_expired(&self) -> bool {
        self.now > self.machine.answered_at + self.lease_expiry_ms
    }

    fn boot_has_timed_out(&self) -> bool {
        let boot_ms = crate::millis(self.boot_s * BOOT_TIMEOUT_FACTOR) + FIRST_CONTACT_GRACE_MS;
        self.machine.last_known_up_at().is_none() && self.now > self.machine.requested_at + boot_ms
    }
}

/// The last time at which a machine was known to be up.
struct LastContact {
    machine: MachineIx,
    zone: ZoneIx,
    at: Millis,
}

/// Health figures of all machines together.
///
/// Deleting live machines is the costliest mistake, so machines are not decommissioned for
/// a problem that most of them have at once.
struct FleetStatus {
    unresponsive: BTreeSet<MachineIx>,
    /// Whether most machines seem unreachable. This controller may be cut off instead.
    most_unreachable: bool,
    /// Whether tasks fail on most machines. The jobs may be at fault instead.
    most_fail_tasks: bool,
}

/// The result of a health check of all machines.
#[derive(Debug, Default)]
pub struct HealthAssessment {
    /// Machines that are not used for planning until they report again.
    pub unresponsive: BTreeSet<MachineIx>,
    /// Machines to be decommissioned. Their deletion proves that their tasks are over.
    pub failed: Vec<MachineIx>,
}

impl Fleet {
    /// Checks the health of all machines that are not decommissioned yet.
    pub fn assess_health(&mut self, context: &FleetContext<'_>) -> HealthAssessment {
        let contacts = last_contacts(context);
        // Machines in these zones hold their images and need no boot, so they are kept for
        // as long as replacements would take to come up.
        self.unresponsive_zones = unresponsive_zones(context, &contacts);
        let fleet = FleetStatus::new(context, &contacts);
        let mut failed = Vec::new();
        for (ix, machine) in context.workers.machines.iter() {
            if machine.decommissioned {
                continue;
            }
            let status = self.status_of(context, &fleet, ix, machine);
            if let Some(failure) = Failure::ALL.into_iter().find(|failure| failure.applies_to(&status)) {
                let reason = failure.reason();
                tracing::info!(machine = machine.name, reason, "decommissioning a machine");
                failed.push(ix);
            }
        }
        HealthAssessment {
            unresponsive: fleet.unresponsive,
            failed,
        }
    }

    fn status_of<'a>(
        &self,
        context: &FleetContext<'_>,
        fleet: &'a FleetStatus,
        ix: MachineIx,
        machine: &'a Machine,
    ) -> MachineStatus<'a> {
        let workers = context.workers;
        let last_contact = machine.last_known_up_at().unwrap_or(machine.requested_at);
        MachineStatus {
            now: context.now,
            machine,
            fleet,
            is_unresponsive: fleet.unresponsive.contains(&ix),
            zone_is_unresponsive: self.unresponsive_zones.contains(&machine.zone),
            unresponsive_after_ms: context.unresponsive_after_ms(),
            report_interval_ms: crate::millis(workers.longest_report_interval_s()),
            lease_expiry_ms: workers.lease_expiry_ms,
            boot_s: context.topology.boot_s(machine.type_ix),
            no_contact_since: last_contact.max(workers.receiving_reports_since),
        }
    }
}

impl FleetStatus {
    fn new(context: &FleetContext<'_>, contacts: &[LastContact]) -> FleetStatus {
        let unresponsive_after_ms = context.unresponsive_after_ms();
        let unresponsive = contacts
            .iter()
            .filter(|contact| context.now > contact.at + unresponsive_after_ms);
        let machines = || context.workers.machines.iter().map(|(_, machine)| machine);
        let unreachable = machines().filter(|machine| is_unreachable(machine)).count();
        let fail_tasks = machines().filter(|machine| machine.is_unhealthy()).count();
        FleetStatus {
            unresponsive: unresponsive.map(|contact| contact.machine).collect(),
            most_unreachable: is_majority(unreachable, contacts.len()),
            most_fail_tasks: is_majority(fail_tasks, contacts.len()),
        }
    }
}

/// Returns the last contact with each machine that was ever known to be up. Times before
/// the leader began to receive reports are replaced by that time.
fn last_contacts(context: &FleetContext<'_>) -> Vec<LastContact> {
    let receiving_reports_since = context.workers.receiving_reports_since;
    let machines = context.workers.machines.iter();
    machines
        .filter_map(|(ix, machine)| {
            Some(LastContact {
                machine: ix,
                zone: machine.zone,
                at: machine.last_known_up_at()?.max(receiving_reports_since),
            })
        })
        .collect()
}

/// Returns the zones most of whose machines have stopped reporting.
///
/// The timeout is half that of a single machine. With the same timeout, the first machines
/// of a failed zone would be decommissioned one by one before those that reported a little
/// later count as unresponsive too.
fn unresponsive_zones(context: &FleetContext<'_>, contacts: &[LastContact]) -> BTreeSet<ZoneIx> {
    let timeout_ms = context.unresponsive_after_ms() / 2;
    let zones = (0..context.topology.zones.len()).map(ZoneIx::from_usize);
    zones
        .filter(|&zone| {
            let of_zone = contacts.iter().filter(|contact| contact.zone == zone);
            let unresponsive = of_zone.clone().filter(|contact| context.now > contact.at + timeout_ms);
            is_majority(unresponsive.count(), of_zone.count())
        })
        .collect()
}

/// Whether `count` is more than half of `all` and at least [`MIN_SAMPLE_SIZE`].
pub(super) fn is_majority(count: usize, all: usize) -> bool {
    count >= MIN_SAMPLE_SIZE && count * 2 > all
}

fn is_unreachable(machine: &Machine) -> bool {
    machine.missed_answers >= MISSED_ANSWERS_TO_DECOMMISSION
}
