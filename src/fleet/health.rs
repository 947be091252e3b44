//! Which machines are past use: silent, out of reach, sick, or never up.

use super::UNKNOWN_BOOT_S;
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{Index, MachineIx, ZoneIx};
use crate::topology::Offer;
use crate::workers::{MISSED_ANSWERS_TO_DECOMMISSION, Machine};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that takes this many boot times is late: others are asked for in its
/// place, and it is used or returned if it comes after all.
const LATE_BOOT: f64 = 1.75;
/// A machine may take several times its boot time; after this much it is taken for
/// one that never comes up.
const BOOT_PATIENCE: f64 = 3.0;
/// Beyond a boot: until a new machine is listed or has reported.
const FIRST_SIGN_MS: Millis = 10_000;
/// A zone that fell silent is waited for this many boot times longer than a
/// machine that did so alone: until replacements would be there.
const REPLACED_BOOT: f64 = 1.5;
/// Fewer than this many say nothing of all the others.
const FEWEST_TO_JUDGE_BY: usize = 3;

/// Why a machine is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Silent,
    /// Missing from a list proves nothing, but together with a late report it is
    /// reason enough; the deletion is the proof.
    SilentAndUnlisted,
    NotReached,
    NeverUp,
    Sick,
    Taken,
}

impl Failure {
    fn text(self) -> &'static str {
        match self {
            Failure::Silent => "silent",
            Failure::SilentAndUnlisted => "silent and no longer listed",
            Failure::NotReached => "heard, but not reached",
            Failure::NeverUp => "never came up",
            Failure::Sick => "fails its tasks",
            Failure::Taken => "taken by the cloud",
        }
    }
}

/// When a machine was last known to be up.
struct Heard {
    machine: MachineIx,
    zone: ZoneIx,
    at: Millis,
}

/// What is judged of all machines together.
struct Overview {
    silent: BTreeSet<MachineIx>,
    /// When most seem not to be reached, or fail their tasks, all at once, it may be
    /// this controller that is cut off, or the jobs that are at fault, and deleting
    /// live machines is the costliest mistake.
    most_unreached: bool,
    most_sick: bool,
}

impl Shard {
    /// Decommissions what is past use; its deletion is the proof that its tasks are over.
    pub(super) fn decommission_failed(&mut self, now: Millis) {
        let overview = self.overview(now);
        for ix in self.workers.machines.indices() {
            let silent = overview.silent.contains(&ix);
            let Some(machine) = self
                .workers
                .machines
                .get_mut(ix)
                .filter(|machine| !machine.decommissioned)
            else {
                continue;
            };
            machine.silent = silent;
            let Some(failure) = self.failure_of(now, ix, &overview) else {
                continue;
            };
            if let Some(machine) = self.workers.machines.get_mut(ix) {
                tracing::info!(
                    machine = machine.name,
                    reason = failure.text(),
                    "decommissioning a machine"
                );
                machine.decommissioned = true;
            }
        }
    }

    pub(super) fn silence_ms(&self) -> Millis {
        crate::millis(self.policy.silent_reports * self.workers.longest_report_interval_s())
    }

    /// Notes silent zones: their machines keep their images and need no boot, so
    /// they are waited for as long as new ones would take.
    fn overview(&mut self, now: Millis) -> Overview {
        let silence_ms = self.silence_ms();
        let heard: Vec<Heard> = self
            .workers
            .machines
            .iter()
            .filter_map(|(ix, machine)| {
                Some(Heard {
                    machine: ix,
                    zone: machine.zone,
                    at: machine.last_sign()?.max(self.workers.hearing_since),
                })
            })
            .collect();
        // Told by half that silence: the first to be given up would else go one by
        // one before the others, which reported a little later, count as silent.
        let zones = (0..self.topology.zones.len()).map(ZoneIx::from_usize);
        self.fleet.silent_zones = zones
            .filter(|&zone| {
                let of_zone = heard.iter().filter(|heard| heard.zone == zone);
                let late = of_zone.clone().filter(|heard| now > heard.at + silence_ms / 2);
                is_most(late.count(), of_zone.count())
            })
            .collect();
        let silent = heard.iter().filter(|heard| now > heard.at + silence_ms);
        let count =
            |bad: &dyn Fn(&Machine) -> bool| self.workers.machines.iter().filter(|(_, machine)| bad(machine)).count();
        Overview {
            silent: silent.map(|heard| heard.machine).collect(),
            most_unreached: is_most(count(&is_unreached), heard.len()),
            most_sick: is_most(count(&Machine::is_sick), heard.len()),
        }
    }

    fn failure_of(&self, now: Millis, ix: MachineIx, overview: &Overview) -> Option<Failure> {
        let machine = self.workers.machines.get(ix)?;
        let boot_s = self.boot_s_of(machine);
        let silence_ms = self.silence_ms();
        let unlisted_ms = crate::millis(self.workers.longest_report_interval_s()) + 1_500;
        let expired = now > machine.answered_at + self.workers.lease_expiry_ms;
        let since = machine
            .last_sign()
            .unwrap_or(machine.requested_at)
            .max(self.workers.hearing_since);
        let unheard = |patience: Millis| now > since + patience;
        let zone_is_silent = self.fleet.silent_zones.contains(&machine.zone);
        let replaced_ms = silence_ms + crate::millis(boot_s * REPLACED_BOOT);
        let boot_ms = crate::millis(boot_s * BOOT_PATIENCE) + FIRST_SIGN_MS;
        if machine.silent && (!zone_is_silent || unheard(replaced_ms) && expired) {
            Some(Failure::Silent)
        } else if machine.cloud_listing.is_missing() && machine.heard_at.is_some() && unheard(unlisted_ms) {
            Some(Failure::SilentAndUnlisted)
        } else if is_unreached(machine) && !overview.most_unreached {
            Some(Failure::NotReached)
        } else if machine.last_sign().is_none()
            && now > machine.requested_at + boot_ms
            && unheard(silence_ms)
            && expired
        {
            Some(Failure::NeverUp)
        } else if machine.is_sick() && !overview.most_sick {
            Some(Failure::Sick)
        } else if machine
            .spot_reclaim_at
            .is_some_and(|at| now + 1_000 > at || machine.open.is_empty())
        {
            Some(Failure::Taken)
        } else {
            None
        }
    }

    fn boot_s_of(&self, machine: &Machine) -> f64 {
        let info = self.topology.type_info[machine.type_ix.usize()].as_ref();
        info.map_or(UNKNOWN_BOOT_S, |info| info.boot_s)
    }

    /// Whether a machine should have shown itself by now. One in a silent zone may be
    /// up and cut off, and a leader that has just begun to hear can't tell yet.
    pub(super) fn is_late(&self, now: Millis, machine: &Machine) -> bool {
        let due_ms = crate::millis(self.boot_s_of(machine) * LATE_BOOT + self.workers.longest_report_interval_s());
        machine.last_sign().is_none()
            && now > machine.requested_at + due_ms
            && now > self.workers.hearing_since + FIRST_SIGN_MS
            && !self.fleet.silent_zones.contains(&machine.zone)
    }

    /// Offers most of whose machines still to come are late: what is asked for there
    /// now would hardly come sooner.
    pub(super) fn late_offers(&self, now: Millis) -> BTreeSet<Offer> {
        let mut counts: BTreeMap<Offer, (usize, usize)> = BTreeMap::new();
        for (_, machine) in self.workers.machines.iter() {
            if machine.last_sign().is_none() && !machine.decommissioned {
                let (late, all) = counts.entry(machine.offer()).or_default();
                *late += usize::from(self.is_late(now, machine));
                *all += 1;
            }
        }
        let failing = counts.into_iter().filter(|&(_, (late, all))| is_most(late, all));
        failing.map(|(offer, _)| offer).collect()
    }
}

fn is_most(count: usize, all: usize) -> bool {
    count >= FEWEST_TO_JUDGE_BY && count * 2 > all
}

fn is_unreached(machine: &Machine) -> bool {
    machine.missed_answers >= MISSED_ANSWERS_TO_DECOMMISSION
}
