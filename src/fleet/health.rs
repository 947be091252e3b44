//! Which machines are past use: unresponsive, out of reach, failing, or never up.

use super::{FIRST_SIGN_MS, Fleet, FleetContext};
use crate::Millis;
use crate::ids::{Index, MachineIx, ZoneIx};
use crate::workers::{MISSED_ANSWERS_TO_DECOMMISSION, Machine};
use std::collections::BTreeSet;

/// A machine may take several times its boot time; after this much it is taken for
/// one that never comes up.
const BOOT_PATIENCE: f64 = 3.0;
/// A zone that became unresponsive is waited for this many boot times longer than a
/// machine that did so alone: until replacements would be there.
const REPLACEMENT_BOOTS: f64 = 1.5;
/// Beyond a report's interval: until a report counts as late where the cloud no longer
/// lists the machine either.
const UNLISTED_GRACE_MS: Millis = 1_500;
/// A machine is deleted this long before the cloud reclaims it, if work still runs there.
const RECLAIM_MARGIN_MS: Millis = 1_000;
/// Fewer machines than this say nothing of all the others.
const FEWEST_TO_JUDGE_BY: usize = 3;

/// Why a machine is decommissioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Its reports stopped.
    Unresponsive,
    /// Missing from a list proves nothing, but together with a late report it is
    /// reason enough; the deletion is the proof.
    UnresponsiveAndUnlisted,
    /// Its reports arrive, but neither answers nor commands reach it.
    Unreachable,
    /// It has not reported since it was requested.
    BootFailed,
    /// Tasks fail there that succeed elsewhere.
    FailsTasks,
    /// The cloud takes it back.
    Reclaimed,
}

impl Failure {
    /// In the order in which they are looked for.
    const ALL: [Failure; 6] = [
        Failure::Unresponsive,
        Failure::UnresponsiveAndUnlisted,
        Failure::Unreachable,
        Failure::BootFailed,
        Failure::FailsTasks,
        Failure::Reclaimed,
    ];

    fn text(self) -> &'static str {
        match self {
            Failure::Unresponsive => "silent",
            Failure::UnresponsiveAndUnlisted => "silent and no longer listed",
            Failure::Unreachable => "heard, but not reached",
            Failure::BootFailed => "never came up",
            Failure::FailsTasks => "fails its tasks",
            Failure::Reclaimed => "taken by the cloud",
        }
    }

    /// Whether a machine has failed in this way.
    fn applies_to(self, status: &MachineStatus<'_>) -> bool {
        let machine = status.machine;
        match self {
            Failure::Unresponsive => {
                status.is_unresponsive
                    && (!status.zone_is_silent || status.is_replaceable() && status.lease_has_expired())
            }
            Failure::UnresponsiveAndUnlisted => {
                machine.cloud_listing.is_missing() && machine.heard_at.is_some() && status.is_report_late()
            }
            Failure::Unreachable => is_unreachable(machine) && !status.fleet.most_unreachable,
            Failure::BootFailed => {
                status.boot_has_failed() && status.no_sign_for(status.silence_ms) && status.lease_has_expired()
            }
            Failure::FailsTasks => machine.is_unhealthy() && !status.fleet.most_fail_tasks,
            Failure::Reclaimed => machine
                .spot_reclaim_at
                .is_some_and(|at| status.now + RECLAIM_MARGIN_MS > at || machine.open.is_empty()),
        }
    }
}

/// What is known of one machine, as far as it bears on its health.
struct MachineStatus<'a> {
    now: Millis,
    machine: &'a Machine,
    fleet: &'a FleetStatus,
    is_unresponsive: bool,
    zone_is_silent: bool,
    silence_ms: Millis,
    report_interval_ms: Millis,
    lease_expiry_ms: Millis,
    boot_s: f64,
    /// Since when nothing was heard of it, though it could have been.
    no_sign_since: Millis,
}

impl MachineStatus<'_> {
    fn no_sign_for(&self, patience: Millis) -> bool {
        self.now > self.no_sign_since + patience
    }

    /// A replacement asked for when it became unresponsive would be up by now.
    fn is_replaceable(&self) -> bool {
        self.no_sign_for(self.silence_ms + crate::millis(self.boot_s * REPLACEMENT_BOOTS))
    }

    fn is_report_late(&self) -> bool {
        self.no_sign_for(self.report_interval_ms + UNLISTED_GRACE_MS)
    }

    /// Its worker has dropped its tasks.
    fn lease_has_expired(&self) -> bool {
        self.now > self.machine.answered_at + self.lease_expiry_ms
    }

    fn boot_has_failed(&self) -> bool {
        let boot_ms = crate::millis(self.boot_s * BOOT_PATIENCE) + FIRST_SIGN_MS;
        self.machine.last_known_up_at().is_none() && self.now > self.machine.requested_at + boot_ms
    }
}

/// When a machine was last known to be up.
struct LastSign {
    machine: MachineIx,
    zone: ZoneIx,
    at: Millis,
}

/// What is judged of all machines together.
struct FleetStatus {
    unresponsive: BTreeSet<MachineIx>,
    /// When most seem not to be reached, or fail their tasks, all at once, it may be
    /// this controller that is cut off, or the jobs that are at fault, and deleting
    /// live machines is the costliest mistake.
    most_unreachable: bool,
    most_fail_tasks: bool,
}

/// What follows from the health of the machines.
#[derive(Debug, Default)]
pub struct HealthAssessment {
    /// Machines that count for nothing until they report again.
    pub unresponsive: BTreeSet<MachineIx>,
    /// Machines to be decommissioned: the deletion is the proof that their tasks are over.
    pub failed: Vec<MachineIx>,
}

impl Fleet {
    /// Judges the health of all machines that are not decommissioned yet.
    pub fn assess_health(&mut self, context: &FleetContext<'_>) -> HealthAssessment {
        let signs = last_signs(context);
        // Their machines keep their images and need no boot, so they are waited for as
        // long as new ones would take.
        self.silent_zones = silent_zones(context, &signs);
        let fleet = FleetStatus::new(context, &signs);
        let mut failed = Vec::new();
        for (ix, machine) in context.workers.machines.iter() {
            if machine.decommissioned {
                continue;
            }
            let status = self.status_of(context, &fleet, ix, machine);
            if let Some(failure) = Failure::ALL.into_iter().find(|failure| failure.applies_to(&status)) {
                let reason = failure.text();
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
        let last_known_up_at = machine.last_known_up_at().unwrap_or(machine.requested_at);
        MachineStatus {
            now: context.now,
            machine,
            fleet,
            is_unresponsive: fleet.unresponsive.contains(&ix),
            zone_is_silent: self.silent_zones.contains(&machine.zone),
            silence_ms: context.silence_ms(),
            report_interval_ms: crate::millis(workers.longest_report_interval_s()),
            lease_expiry_ms: workers.lease_expiry_ms,
            boot_s: context.topology.boot_s(machine.type_ix),
            no_sign_since: last_known_up_at.max(workers.receiving_reports_since),
        }
    }
}

impl FleetStatus {
    fn new(context: &FleetContext<'_>, signs: &[LastSign]) -> FleetStatus {
        let silence_ms = context.silence_ms();
        let unresponsive = signs.iter().filter(|sign| context.now > sign.at + silence_ms);
        let machines = || context.workers.machines.iter().map(|(_, machine)| machine);
        let unreachable = machines().filter(|machine| is_unreachable(machine)).count();
        let fail_tasks = machines().filter(|machine| machine.is_unhealthy()).count();
        FleetStatus {
            unresponsive: unresponsive.map(|sign| sign.machine).collect(),
            most_unreachable: is_most(unreachable, signs.len()),
            most_fail_tasks: is_most(fail_tasks, signs.len()),
        }
    }
}

/// Of the machines that were ever known to be up.
fn last_signs(context: &FleetContext<'_>) -> Vec<LastSign> {
    let receiving_reports_since = context.workers.receiving_reports_since;
    let machines = context.workers.machines.iter();
    machines
        .filter_map(|(ix, machine)| {
            Some(LastSign {
                machine: ix,
                zone: machine.zone,
                at: machine.last_known_up_at()?.max(receiving_reports_since),
            })
        })
        .collect()
}

/// Zones most of whose machines have become unresponsive.
///
/// Told by half the silence that it takes of one machine: the first to be given up would
/// else go one by one before the others, which reported a little later, count as such.
fn silent_zones(context: &FleetContext<'_>, signs: &[LastSign]) -> BTreeSet<ZoneIx> {
    let patience = context.silence_ms() / 2;
    let zones = (0..context.topology.zones.len()).map(ZoneIx::from_usize);
    zones
        .filter(|&zone| {
            let of_zone = signs.iter().filter(|sign| sign.zone == zone);
            let silent = of_zone.clone().filter(|sign| context.now > sign.at + patience);
            is_most(silent.count(), of_zone.count())
        })
        .collect()
}

/// Whether `count` is most of `all`, and enough to judge by.
pub(super) fn is_most(count: usize, all: usize) -> bool {
    count >= FEWEST_TO_JUDGE_BY && count * 2 > all
}

fn is_unreachable(machine: &Machine) -> bool {
    machine.missed_answers >= MISSED_ANSWERS_TO_DECOMMISSION
}
