use super::*;
use crate::controller::share_with;

/// Guards against deleting a zone that is cut off for a minute: all its
/// machines were replaced seconds before they were heard again.
#[test]
fn a_zone_that_falls_silent_is_waited_for_and_a_machine_alone_is_not() {
    let mut share = share_with(1, &[("small", 8.0)], 1, true);
    for index in 0..8 {
        let zone = if index < 4 { "north" } else { "south" };
        let ix = share.add_machine(0, &format!("host-{index}"), "small", zone, true);
        let machine = share.machines.get_mut(ix).expect("there");
        // One of the south and all of the north fall silent, the north's one
        // after the other: its last reports were not sent together.
        machine.heard_at = Some(match index {
            0..=3 => index * 1_000,
            4 => 0,
            _ => 60_000,
        });
    }
    let given_up = |share: &Share| -> Vec<String> {
        let machines = share.machines.iter().map(|(_, machine)| machine);
        let condemned = machines.filter(|machine| machine.condemned);
        condemned.map(|machine| machine.name.clone()).collect()
    };
    let silent_ms = crate::millis(share.policy.silent_reports * share.report_s * 1.25);
    share.give_up_broken(silent_ms + 1);
    assert_eq!(given_up(&share), ["host-4"]);
    share.give_up_broken(silent_ms + 3_001);
    assert_eq!(given_up(&share), ["host-4"]);
    let north = share.zones.get("north").expect("known");
    assert!(share.fleet.silent_zones.contains(&north));
    assert!(
        share
            .machines
            .iter()
            .all(|(_, machine)| machine.silent == (machine.zone == north || machine.condemned))
    );
    // Until new ones would be there; the type boots for 5 s.
    let patience = silent_ms + 7_500;
    share.give_up_broken(patience.max(share.lapse_ms) + 3_001);
    assert_eq!(given_up(&share).len(), 5);
}

/// Guards against ordinary machines that come when the work is done: 359 small
/// ones stood idle for a minute at the start of the fleet's days.
#[test]
fn tasks_whose_aim_is_longer_than_a_boot_follow_on_machines_that_others_leave() {
    let mut share = share_with(1, &[("small", 8.0)], 20, true);
    let job = share.jobs.find("j-1").expect("known");
    let mut firm = |start_by_ms, wall| {
        let known = share.jobs.get_mut(job).expect("there");
        // Its class has an aim.
        known.best_effort = false;
        known.start_by_ms = start_by_ms;
        share.wall = wall;
        share.forecast(wall)[0].firm
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
    let mut share = share_with(1, &[("small", 8.0)], 1, true);
    for (name, heard_at) in [("host-1", Some(0)), ("host-2", Some(0)), ("host-3", None)] {
        let ix = share.add_machine(0, name, "small", "north", true);
        share.machines.get_mut(ix).expect("there").heard_at = heard_at;
    }
    let silent_ms = crate::millis(share.policy.silent_reports * share.report_s * 1.25);
    share.hearing_since = 300_000;
    share.give_up_broken(300_000 + silent_ms);
    assert!(
        share
            .machines
            .iter()
            .all(|(_, machine)| !machine.condemned && !machine.silent)
    );
    share.give_up_broken(300_000 + 4 * silent_ms);
    assert!(share.machines.iter().all(|(_, machine)| machine.condemned));
}

#[test]
fn the_target_covers_what_waits_and_the_mean_with_headroom() {
    let demand = Demand {
        now: 9.0,
        lasting: 3.0,
        spot: 5.0,
        history: [(0, 8.0), (1, 12.0)].into(),
        ..Demand::default()
    };
    assert_eq!(demand.target(0.25, 2.0), 13);
    // Few samples are not trusted in full.
    assert_eq!(demand.target(0.25, 20.0), 5);
    assert_eq!(Demand::default().target(0.25, 2.0), 0);
}

/// Guards against ordinary machines for work that runs in what the others leave.
#[test]
fn best_effort_work_rents_no_ordinary_machines_unless_only_they_will_do() {
    for spot in [true, false] {
        let mut share = share_with(1, &[("small", 8.0)], 20, spot);
        let job = share.jobs.find("j-1").expect("known");
        let known = share.jobs.get_mut(job).expect("there");
        assert!(known.best_effort, "its class has no aim");
        known.spec.estimate_s = 500.0;
        let wants = share.forecast(0);
        assert_eq!(wants[0].firm > 0, !spot);
        assert!(wants[0].best_effort);
    }
}

fn unheard_machines(share: &mut Share, zone: &str, count: usize) {
    for index in 0..count {
        let name = format!("host-{zone}-{index}");
        share.add_machine(0, &name, "small", zone, true);
    }
}

/// Guards against waiting for machines that never come: they counted as room to come
/// for three boot times, and work waited for them all that time.
#[test]
fn a_late_machine_is_replaced_and_one_that_never_comes_is_given_up_once() {
    let mut share = share_with(1, &[("small", 8.0)], 20, true);
    unheard_machines(&mut share, "north", 1);
    let ix = share.machines.find("host-north-0").expect("known");
    let late = |share: &Share, now| share.is_late(now, share.machines.get(ix).expect("there"));
    // The type boots for 5 s and workers report every 3 s.
    assert!(!late(&share, 12_000));
    assert!(late(&share, 13_000));
    assert_eq!(share.places(12_000).len(), 1);
    assert!(share.places(13_000).is_empty(), "others are asked for in its place");
    share.give_up_broken(13_000);
    assert!(!share.machines.get(ix).expect("there").condemned, "it may come yet");
    // If it comes after all it counts like any other.
    share.machines.get_mut(ix).expect("there").heard_at = Some(14_000);
    assert_eq!(share.places(14_000).len(), 1);
    share.machines.get_mut(ix).expect("there").heard_at = None;
    let patience = share.lapse_ms.max(25_000) + share.silence_ms();
    share.give_up_broken(patience + 1);
    assert!(share.machines.get(ix).expect("there").condemned);
}

#[test]
fn a_machine_of_a_silent_zone_or_of_a_new_leader_is_not_taken_for_a_failed_boot() {
    let mut share = share_with(1, &[("small", 8.0)], 20, true);
    unheard_machines(&mut share, "north", 1);
    let ix = share.machines.find("host-north-0").expect("known");
    let late = |share: &Share| share.is_late(40_000, share.machines.get(ix).expect("there"));
    assert!(late(&share));
    share.hearing_since = 35_000;
    assert!(!late(&share), "this leader has not heard for long enough to tell");
    share.hearing_since = 0;
    share
        .fleet
        .silent_zones
        .insert(share.zones.get("north").expect("known"));
    assert!(!late(&share), "it may be up and cut off");
}

/// Guards against asking for more where machines don't come up.
#[test]
fn machines_are_asked_for_elsewhere_while_most_of_an_offer_are_late() {
    let mut share = share_with(1, &[("small", 8.0)], 20, true);
    unheard_machines(&mut share, "north", 3);
    let offer = share
        .machines
        .iter()
        .map(|(_, machine)| machine.offer())
        .next()
        .expect("one");
    assert!(share.late_offers(12_000).is_empty());
    assert!(share.late_offers(13_000).contains(&offer));
    for index in 0..3 {
        share.add_machine(12_000, &format!("new-{index}"), "small", "north", true);
    }
    assert!(share.late_offers(13_000).is_empty(), "half of them are not late");
    let wants = share.forecast(13_000);
    let in_zone = vec![0; share.zones.len()];
    let best = |late: &BTreeSet<Offer>| share.best_offer(13_000, &wants[0], 1, true, &in_zone, late);
    let usual = best(&BTreeSet::new()).expect("one").0;
    let other = best(&BTreeSet::from([usual])).expect("another").0;
    assert_ne!(usual, other);
}
