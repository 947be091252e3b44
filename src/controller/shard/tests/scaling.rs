use super::*;
use crate::fleet::demand::CapacityNeed;
use crate::fleet::offers::{OfferSearch, PurchaseScope};
use crate::ids::MachineIx;
use crate::resources::Offer;
use std::collections::BTreeSet;

fn forecast(shard: &mut Shard, now: Millis) -> Vec<CapacityNeed> {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.update_forecast(&context)
}

fn is_boot_overdue(shard: &mut Shard, now: Millis, ix: MachineIx) -> bool {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.is_boot_overdue(&context, context.workers.machines.get(ix).expect("there"))
}

/// How many machines the forecast is packed into.
fn planned_machines(shard: &mut Shard, now: Millis) -> usize {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.planned_machines(&context).len()
}

fn overdue_offers(shard: &mut Shard, now: Millis) -> BTreeSet<Offer> {
    let (fleet, context) = shard.fleet_and_context(now);
    fleet.overdue_offers(&context)
}

/// Guards against deleting a zone that is cut off for a minute: all its
/// machines were replaced seconds before they were heard again.
#[test]
fn a_zone_that_falls_silent_is_waited_for_and_a_machine_alone_is_not() {
    let mut shard = shard_with(1, &[("small", 8.0)], 1, true);
    for index in 0..8 {
        let zone = if index < 4 { "north" } else { "south" };
        let ix = shard.add_machine(0, &format!("host-{index}"), "small", zone, true);
        let machine = shard.workers.machines.get_mut(ix).expect("there");
        // One of the south and all of the north fall silent, the north's one
        // after the other: its last reports were not sent together.
        machine.last_report_at = Some(match index {
            0..=3 => index * 1_000,
            4 => 0,
            _ => 60_000,
        });
    }
    let given_up = |shard: &Shard| -> Vec<String> {
        let machines = shard.workers.machines.iter().map(|(_, machine)| machine);
        let decommissioned = machines.filter(|machine| machine.decommissioned);
        decommissioned.map(|machine| machine.name.clone()).collect()
    };
    let silent_ms = crate::millis(shard.policy.silent_reports * shard.workers.report_s * 1.25);
    shard.decommission_failed(silent_ms + 1);
    assert_eq!(given_up(&shard), ["host-4"]);
    shard.decommission_failed(silent_ms + 3_001);
    assert_eq!(given_up(&shard), ["host-4"]);
    let north = shard.topology.zones.get("north").expect("known");
    assert!(shard.fleet.unresponsive_zones.contains(&north));
    assert!(
        shard
            .workers
            .machines
            .iter()
            .all(|(_, machine)| machine.marked_unresponsive == (machine.zone == north || machine.decommissioned))
    );
    // Until new ones would be there; the type boots for 5 s.
    let patience = silent_ms + 7_500;
    shard.decommission_failed(patience.max(shard.workers.lease_expiry_ms) + 3_001);
    assert_eq!(given_up(&shard).len(), 5);
}

/// Guards against on-demand machines that come when the work is done: 359 small
/// ones stood idle for a minute at the start of the fleet's days.
#[test]
fn tasks_whose_aim_is_longer_than_a_boot_follow_on_machines_that_others_leave() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    let job = shard.jobs.table.find("j-1").expect("known");
    let mut firm = |start_by_ms, wall| {
        let known = shard.jobs.table.get_mut(job).expect("there");
        // Its class has an aim.
        known.best_effort = false;
        known.start_by_ms = start_by_ms;
        shard.wall_clock = wall;
        forecast(&mut shard, wall)[0].on_demand_count
    };
    // They run for 5 s and have 20 left: five rounds.
    assert_eq!(firm(60_000, 40_000), 4);
    // The aim is shorter than the boot of 5 s.
    assert_eq!(firm(4_000, 1_000), 14);
}

/// Guards against giving up all machines after an outage of the state
/// service that was longer than their leases: nobody could hear them.
#[test]
fn silence_counts_from_when_the_leader_hears_again() {
    let mut shard = shard_with(1, &[("small", 8.0)], 1, true);
    for (name, last_report_at) in [("host-1", Some(0)), ("host-2", Some(0)), ("host-3", None)] {
        let ix = shard.add_machine(0, name, "small", "north", true);
        shard.workers.machines.get_mut(ix).expect("there").last_report_at = last_report_at;
    }
    let silent_ms = crate::millis(shard.policy.silent_reports * shard.workers.report_s * 1.25);
    shard.workers.receiving_reports_since = 300_000;
    shard.decommission_failed(300_000 + silent_ms);
    assert!(
        shard
            .workers
            .machines
            .iter()
            .all(|(_, machine)| !machine.decommissioned && !machine.marked_unresponsive)
    );
    shard.decommission_failed(300_000 + 4 * silent_ms);
    assert!(shard.workers.machines.iter().all(|(_, machine)| machine.decommissioned));
}

/// Guards against on-demand machines for work that runs in what the others leave.
#[test]
fn best_effort_work_buys_no_on_demand_machines_unless_only_they_will_do() {
    for spot in [true, false] {
        let mut shard = shard_with(1, &[("small", 8.0)], 20, spot);
        let job = shard.jobs.table.find("j-1").expect("known");
        let known = shard.jobs.table.get_mut(job).expect("there");
        assert!(known.best_effort, "its class has no aim");
        known.spec.estimate_s = 500.0;
        let needs = forecast(&mut shard, 0);
        assert_eq!(needs[0].on_demand_count > 0, !spot);
        assert!(needs[0].best_effort);
    }
}

fn unheard_machines(shard: &mut Shard, zone: &str, count: usize) {
    for index in 0..count {
        let name = format!("host-{zone}-{index}");
        shard.add_machine(0, &name, "small", zone, true);
    }
}

/// Guards against waiting for machines that never come: they counted as room to come
/// for three boot times, and work waited for them all that time.
#[test]
fn a_late_machine_is_replaced_and_one_that_never_comes_is_given_up_once() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    unheard_machines(&mut shard, "north", 1);
    let ix = shard.workers.machines.find("host-north-0").expect("known");
    // The type boots for 5 s and workers report every 3 s.
    assert!(!is_boot_overdue(&mut shard, 12_000, ix));
    assert!(is_boot_overdue(&mut shard, 13_000, ix));
    assert_eq!(planned_machines(&mut shard, 12_000), 1);
    assert_eq!(
        planned_machines(&mut shard, 13_000),
        0,
        "others are asked for in its place"
    );
    shard.decommission_failed(13_000);
    assert!(
        !shard.workers.machines.get(ix).expect("there").decommissioned,
        "it may come yet"
    );
    // If it comes after all it counts like any other.
    shard.workers.machines.get_mut(ix).expect("there").last_report_at = Some(14_000);
    assert_eq!(planned_machines(&mut shard, 14_000), 1);
    shard.workers.machines.get_mut(ix).expect("there").last_report_at = None;
    let unresponsive_after_ms = shard.fleet_and_context(0).1.unresponsive_after_ms();
    let patience = shard.workers.lease_expiry_ms.max(25_000) + unresponsive_after_ms;
    shard.decommission_failed(patience + 1);
    assert!(shard.workers.machines.get(ix).expect("there").decommissioned);
}

#[test]
fn a_machine_of_a_silent_zone_or_of_a_new_leader_is_not_taken_for_a_failed_boot() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    unheard_machines(&mut shard, "north", 1);
    let ix = shard.workers.machines.find("host-north-0").expect("known");
    let late = |shard: &mut Shard| is_boot_overdue(shard, 40_000, ix);
    assert!(late(&mut shard));
    shard.workers.receiving_reports_since = 35_000;
    assert!(!late(&mut shard), "this leader has not heard for long enough to tell");
    shard.workers.receiving_reports_since = 0;
    shard
        .fleet
        .unresponsive_zones
        .insert(shard.topology.zones.get("north").expect("known"));
    assert!(!late(&mut shard), "it may be up and cut off");
}

/// Guards against asking for more where machines don't come up.
#[test]
fn machines_are_asked_for_elsewhere_while_most_of_an_offer_are_late() {
    let mut shard = shard_with(1, &[("small", 8.0)], 20, true);
    unheard_machines(&mut shard, "north", 3);
    let offer = shard
        .workers
        .machines
        .iter()
        .map(|(_, machine)| machine.offer())
        .next()
        .expect("one");
    assert!(overdue_offers(&mut shard, 12_000).is_empty());
    assert!(overdue_offers(&mut shard, 13_000).contains(&offer));
    for index in 0..3 {
        shard.add_machine(12_000, &format!("new-{index}"), "small", "north", true);
    }
    assert!(
        overdue_offers(&mut shard, 13_000).is_empty(),
        "half of them are not late"
    );
    let needs = forecast(&mut shard, 13_000);
    let (fleet, context) = shard.fleet_and_context(13_000);
    let best = |overdue: BTreeSet<Offer>| {
        let mut search = OfferSearch::new(fleet, &context);
        search.set_overdue_offers(overdue);
        search.best(&needs[0], 1, PurchaseScope::SpotOrOnDemand)
    };
    let usual = best(BTreeSet::new()).expect("one").offer;
    let other = best(BTreeSet::from([usual])).expect("another").offer;
    assert_ne!(usual, other);
}
