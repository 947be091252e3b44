//! Tests with fleets of hundreds to thousands of machines: request rates stay within the limits of
//! the state service, and outages cause no loss of machines.

use crate::LEADER;
use crate::world::{Fault, KnownState, World};

/// Submits `jobs` jobs of `tasks` eight-CPU tasks each, one job every `every_ms` milliseconds. The
/// jobs alternate between the teams.
fn submit_jobs_of_large_tasks(world: &mut World, jobs: u64, tasks: u32, every_ms: u64) {
    for index in 0..jobs {
        let mut spec = World::plain_spec();
        spec.team = if index % 2 == 0 { "red" } else { "blue" }.into();
        spec.tasks = tasks;
        spec.cpus = 8.0;
        world.submit(2_000 + index * every_ms, spec);
    }
}

/// Guards against costs that grow faster than the work: the leader answers few of the reports
/// itself, many machines are written in one key, and the number of messages between controllers
/// depends on the elapsed time and not on the number of reports.
#[test]
fn request_rates_are_bounded_with_two_thousand_machines() {
    let mut world = World::with_large_capacity(8, 5, Vec::new());
    submit_jobs_of_large_tasks(&mut world, 20, 300, 100);
    world.run(60_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let (machines, seconds) = (world.machines(), 60);
    assert!(machines > 1_800, "{machines} machines");
    let sent = &world.sent;
    // The limits of the state service, for all controllers together.
    assert!(sent.store_writes < 80 * seconds, "{sent:?}");
    assert!(sent.store_requests < 200 * seconds, "{sent:?}");
    // More than 16 machines share one key on average.
    assert!(world.count_stored_keys("kept/pool/roster/") * 16 < machines);
    assert!(sent.report_answers > 5 * machines, "{sent:?}");
    assert!(sent.leader_answers * 5 < sent.report_answers, "{sent:?}");
    // At twenty ticks a second, each of the five controllers exchanges messages with the leader in
    // both directions and sends heartbeats.
    assert!(sent.messages < 4 * 20 * 5 * seconds, "{sent:?}");
    // One start command per task, one status request per machine, and few others.
    let starts = world.starts as usize;
    assert!(
        sent.direct_commands < 3 * (machines + starts),
        "{sent:?}, {starts} starts"
    );
    world.run(150_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.jobs.iter().all(|job| job.known_state == KnownState::Done));
}

/// A fleet of one to two thousand machines survives an outage of the state service, crashes of all
/// controllers during the outage and again during the takeover, a zone that is cut off, and a
/// frozen leader.
#[test]
fn a_large_fleet_survives_restarts_a_zone_cut_and_a_freeze() {
    let crash = |at| (0..5).map(move |node| (at, Fault::Crash { node }));
    let mut faults = vec![
        (40_000, Fault::StoreOutage { ms: 12_000 }),
        (60_000, Fault::ZoneCut { ms: 50_000 }),
        (
            130_000,
            Fault::Freeze {
                node: LEADER,
                ms: 30_000,
            },
        ),
    ];
    faults.extend(crash(48_000).chain(crash(54_500)));
    let mut world = World::with_large_capacity(11, 5, faults);
    submit_jobs_of_large_tasks(&mut world, 26, 300, 3_000);
    world.run(35_000);
    let machines = world.machines();
    assert!(machines > 1_000, "{machines} machines");
    world.run(330_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let unfinished = world
        .jobs
        .iter()
        .filter(|job| job.known_state != KnownState::Done)
        .count();
    assert_eq!(unfinished, 0);
    // The limits of the state service hold through all phases, for all controllers together.
    assert!(world.sent.store_writes < 80 * 330, "{:?}", world.sent);
    assert!(world.sent.store_requests < 200 * 330, "{:?}", world.sent);
}

/// More machines than the operators run. All of them report at once when an outage of the state
/// service ends during which the leader crashed, and again when the next leader crashes.
#[test]
fn more_than_four_thousand_machines_report_at_once_after_an_outage_and_a_crash() {
    let faults = vec![
        (60_000, Fault::StoreOutage { ms: 15_000 }),
        (66_000, Fault::Crash { node: LEADER }),
        (100_000, Fault::Crash { node: LEADER }),
    ];
    let mut world = World::with_machine_capacity(14, 5, 2_200, faults);
    world.run_time_factor = 20;
    submit_jobs_of_large_tasks(&mut world, 18, 320, 200);
    world.run(59_000);
    let machines = world.machines();
    assert!(machines > 4_200, "{machines} machines");
    world.run(400_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let unfinished = world
        .jobs
        .iter()
        .filter(|job| job.known_state != KnownState::Done)
        .count();
    assert_eq!(unfinished, 0);
    assert_eq!(world.lost_tasks, 0, "tasks were lost, although no lease should expire");
    // The limits of the state service, for all controllers together.
    assert!(world.sent.store_writes < 80 * 400, "{:?}", world.sent);
    assert!(world.sent.store_requests < 200 * 400, "{:?}", world.sent);
}

/// Guards against deleting the whole fleet after an outage of the state service that was longer
/// than the workers' leases, because no controller received their reports during the outage.
#[test]
fn an_outage_longer_than_the_worker_leases_keeps_the_machines() {
    let mut world = World::with_large_capacity(12, 3, vec![(40_000, Fault::StoreOutage { ms: 60_000 })]);
    submit_jobs_of_large_tasks(&mut world, 8, 3_000, 100);
    world.run(39_000);
    let before = world.machine_names();
    assert!(before.len() > 300, "{} machines", before.len());
    world.run(115_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let after = world.machine_names();
    let lost = before.difference(&after).count();
    assert!(lost * 20 < before.len(), "{lost} of {} lost", before.len());
}
