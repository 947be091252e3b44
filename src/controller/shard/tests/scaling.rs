//! Health checks, the forecast and requests for machines through the shard's operations.

use super::*;
use crate::fleet::demand::CapacityNeed;
use crate::fleet::offers::{OfferSearch, PurchaseScope};
use crate::ids::MachineIx;
use crate::resources::Offer;
use std::collections::BTreeSet;

/// Updates the forecast and returns the tasks of each class to have capacity for.
fn forecast(shard: &mut Shard, now: Millis) -> Vec<CapacityNeed> {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.update_forecast(&context)
}

fn is_boot_overdue(shard: &mut Shard, now: Millis, ix: MachineIx) -> bool {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.is_boot_overdue(&context, context.workers.machines.get(ix).expect("known machine"))
}

/// Returns the number of known and requested machines that forecast tasks may be packed onto.
fn planned_machines(shard: &mut Shard, now: Millis) -> usize {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.planned_machines(&context).len()
}

fn overdue_offers(shard: &mut Shard, now: Millis) -> BTreeSet<Offer> {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.overdue_offers(&context)
}

/// Guards against deleting the machines of a zone that is disconnected for a minute: all of them
/// were replaced seconds before they reported again.
#[test]
fn an_unresponsive_zone_is_kept_longer_than_a_single_unresponsive_machine() {
    let mut shard = shard_with(1, &[("small", 8.0)], 1, true);
    for index in 0..8 {
        let zone = if index < 4 { "north" } else { "south" };
        let ix = shard.add_machine(0, &format!("host-{index}"), "small", zone, true);
        let machine = shard.workers.machines.get_mut(ix).expect("known machine");
        // One machine of `south` and all of `north` stop reporting. Those of `north` become
        // unresponsive one after the other, since their last reports were not sent together.
        machine.last_report_at = Some(match index {
            0..=3 => index * 1_000,
            4 => 0,
            _ => 60_000,
        });
    }
    let decommissioned_names = |shard: &Shard| -> Vec<String> {
        let machines = shard.workers.machines.iter().map(|(_, machine)| machine);
        let decommissioned = machines.filter(|machine| machine.decommissioned);
        decommissioned.map(|machine| machine.name.clone()).collect()
    };
    let unresponsive_after_ms = crate::millis(shard.policy.silent_reports * shard.workers.report_s * 1.25);
    shard.decommission_failed(unresponsive_after_ms + 1);
    assert_eq!(decommissioned_names(&shard), ["host-4"]);
    shard.decommission_failed(unresponsive_after_ms + 3_001);
    assert_eq!(decommissioned_names(&shard), ["host-4"]);
    let north = shard.topology.zones.get("north").expect("known zone");
    assert!(shard.fleet.unresponsive_zones.contains(&north));
    assert!(
        shard
            .workers
            .machines
            .iter()
            .all(|(_, machine)| machine.marked_unresponsive == (machine.zone == north || machine.decommissioned))
    );
    // The zone is kept until replacements would be up. Machines of this type boot in 5 s.
    let zone_timeout_ms = unresponsive_after_ms + 7_500;
    shard.decommission_failed(zone_timeout_ms.max(shard.workers.lease_expiry_ms) + 3_001);
    assert_eq!(decommissioned_names(&shard).len(), 5);
}

/// Guards against renting on-demand machines that come up when the work is already done: 359 small
/// ones were idle for a minute at the start of each fleet deployment.
#[test]
fn tasks_with_enough_time_left_run_in_turn_on_fewer_machines() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    let job = shard.jobs.table.find("j-1").expect("known job");
    let mut on_demand_count = |start_by_ms, wall_clock| {
        let job_state = shard.jobs.table.get_mut(job).expect("known job");
        // The job's class has an objective.
        job_state.best_effort = false;
        job_state.start_by_ms = start_by_ms;
        shard.wall_clock = wall_clock;
        forecast(&mut shard, wall_clock)[0].on_demand_count
    };
    // The tasks run for 5 s each and the last ones may start in 20 s, so a machine's room can be used
    // by five tasks in turn.
    assert_eq!(on_demand_count(60_000, 40_000), 4);
    // The objective of 4 s is shorter than the boot time of 5 s, so the tasks can't run in turn. Some
    // of them finish or start on existing machines before a new machine would pay off.
    assert_eq!(on_demand_count(4_000, 1_000), 14);
}

/// Guards against decommissioning all machines after an outage of the state service that was longer
/// than their leases, during which no leader could receive their reports.
#[test]
fn machines_count_as_unresponsive_only_after_the_leader_receives_reports_again() {
    let mut shard = shard_with(1, &[("small", 8.0)], 1, true);
    for (name, last_report_at) in [("host-1", Some(0)), ("host-2", Some(0)), ("host-3", None)] {
        let ix = shard.add_machine(0, name, "small", "north", true);
        shard
            .workers
            .machines
            .get_mut(ix)
            .expect("known machine")
            .last_report_at = last_report_at;
    }
    let unresponsive_after_ms = crate::millis(shard.policy.silent_reports * shard.workers.report_s * 1.25);
    shard.workers.receiving_reports_since = 300_000;
    shard.decommission_failed(300_000 + unresponsive_after_ms);
    assert!(
        shard
            .workers
            .machines
            .iter()
            .all(|(_, machine)| !machine.decommissioned && !machine.marked_unresponsive)
    );
    shard.decommission_failed(300_000 + 4 * unresponsive_after_ms);
    assert!(shard.workers.machines.iter().all(|(_, machine)| machine.decommissioned));
}

/// Guards against renting on-demand machines for best-effort jobs, which use the capacity that other
/// jobs leave.
#[test]
fn best_effort_jobs_rent_on_demand_machines_only_if_they_must_not_use_spot_machines() {
    for spot in [true, false] {
        let mut shard = shard_with(1, &[("small", 8.0)], 20, spot);
        let job = shard.jobs.table.find("j-1").expect("known job");
        let job_state = shard.jobs.table.get_mut(job).expect("known job");
        assert!(job_state.best_effort, "its class has no objective");
        job_state.spec.estimate_s = 500.0;
        let needs = forecast(&mut shard, 0);
        assert_eq!(needs[0].on_demand_count > 0, !spot);
        assert!(needs[0].best_effort);
    }
}

/// Adds machines of a zone that have not reported yet.
fn add_booting_machines(shard: &mut Shard, zone: &str, count: usize) {
    for index in 0..count {
        let name = format!("host-{zone}-{index}");
        shard.add_machine(0, &name, "small", zone, true);
    }
}

/// Guards against waiting for machines that never come up: they counted as future capacity for three
/// boot times, and tasks waited for them all that time.
#[test]
fn an_overdue_machine_is_replaced_and_is_decommissioned_if_it_never_reports() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    add_booting_machines(&mut shard, "north", 1);
    let ix = shard.workers.machines.find("host-north-0").expect("known machine");
    // Machines of this type boot in 5 s, and workers report every 3 s.
    assert!(!is_boot_overdue(&mut shard, 12_000, ix));
    assert!(is_boot_overdue(&mut shard, 13_000, ix));
    assert_eq!(planned_machines(&mut shard, 12_000), 1);
    assert_eq!(
        planned_machines(&mut shard, 13_000),
        0,
        "others are requested in its place"
    );
    shard.decommission_failed(13_000);
    assert!(
        !shard.workers.machines.get(ix).expect("known machine").decommissioned,
        "it may still come up"
    );
    // If the machine comes up after all, it counts like any other.
    shard
        .workers
        .machines
        .get_mut(ix)
        .expect("known machine")
        .last_report_at = Some(14_000);
    assert_eq!(planned_machines(&mut shard, 14_000), 1);
    shard
        .workers
        .machines
        .get_mut(ix)
        .expect("known machine")
        .last_report_at = None;
    let unresponsive_after_ms = shard.fleet_and_context(0).1.unresponsive_after_ms();
    // A boot times out after three boot times of 5 s and another 10 s.
    let boot_timeout_ms = shard.workers.lease_expiry_ms.max(25_000) + unresponsive_after_ms;
    shard.decommission_failed(boot_timeout_ms + 1);
    assert!(shard.workers.machines.get(ix).expect("known machine").decommissioned);
}

#[test]
fn no_boot_is_overdue_in_an_unresponsive_zone_or_under_a_new_leader() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    add_booting_machines(&mut shard, "north", 1);
    let ix = shard.workers.machines.find("host-north-0").expect("known machine");
    let is_overdue = |shard: &mut Shard| is_boot_overdue(shard, 40_000, ix);
    assert!(is_overdue(&mut shard));
    shard.workers.receiving_reports_since = 35_000;
    assert!(
        !is_overdue(&mut shard),
        "this leader has only just begun to receive reports"
    );
    shard.workers.receiving_reports_since = 0;
    shard
        .fleet
        .unresponsive_zones
        .insert(shard.topology.zones.get("north").expect("known zone"));
    assert!(!is_overdue(&mut shard), "it may be up but disconnected");
}

/// Guards against requesting more machines of an offer whose machines don't come up.
#[test]
fn machines_are_requested_elsewhere_while_most_of_an_offer_are_overdue() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    add_booting_machines(&mut shard, "north", 3);
    let offer = shard
        .workers
        .machines
        .iter()
        .map(|(_, machine)| machine.offer())
        .next()
        .expect("a machine");
    assert!(overdue_offers(&mut shard, 12_000).is_empty());
    assert!(overdue_offers(&mut shard, 13_000).contains(&offer));
    for index in 0..3 {
        shard.add_machine(12_000, &format!("new-{index}"), "small", "north", true);
    }
    assert!(
        overdue_offers(&mut shard, 13_000).is_empty(),
        "half of them are not overdue"
    );
    let needs = forecast(&mut shard, 13_000);
    let (fleet, context) = shard.fleet_and_context(13_000);
    let best = |overdue: BTreeSet<Offer>| {
        let mut search = OfferSearch::new(fleet, &context);
        search.set_overdue_offers(overdue);
        search.best(&needs[0], 1, PurchaseScope::SpotOrOnDemand)
    };
    let best_offer = best(BTreeSet::new()).expect("an offer").offer;
    let alternative = best(BTreeSet::from([best_offer])).expect("another offer").offer;
    assert_ne!(best_offer, alternative);
}
