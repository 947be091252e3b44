//! The rules of the protocol under seeded troubles, controllers against
//! stand-ins. The same seeds every time.

mod guests;
mod meetings;
mod reports;
mod takeover_from_stored_state;
mod world;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sumacbend::wire::Priority;
use world::{Told, Trouble, World};

/// Whoever leads the shard when the trouble begins.
const LEADER: usize = 9;

fn check(seed: u64, troubles: Vec<(u64, Trouble)>) {
    check_with(seed, 3, troubles);
}

fn check_with(seed: u64, nodes: usize, troubles: Vec<(u64, Trouble)>) {
    play(World::new(seed, nodes, 24, troubles.clone()), seed, &troubles);
}

/// To the end of all troubles and well beyond: no rule broken, no job left over.
fn play(mut world: World, seed: u64, troubles: &[(u64, Trouble)]) -> World {
    world.run(world.calm_at.max(100_000) + 200_000 * world.run_times.min(3));
    world.check_largest();
    assert!(
        world.broken.is_empty(),
        "seed {seed}: {:?}\n{troubles:#?}",
        world.broken
    );
    let open: Vec<_> = world
        .jobs
        .iter()
        .filter(|job| !matches!(job.told, Told::Done | Told::Cancelled))
        .collect();
    let open: Vec<_> = open.iter().map(|job| (&job.spec.id, job.told)).collect();
    assert!(open.is_empty(), "seed {seed}: never finished {open:?}\n{troubles:#?}");
    assert!(world.starts > 0);
    world
}

fn draw(rng: &mut StdRng, nodes: usize) -> Trouble {
    let node = if rng.random_bool(0.5) {
        LEADER
    } else {
        rng.random_range(0..nodes)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..19) {
        0 | 1 => Trouble::Crash { node },
        2 => Trouble::CutFromStore { node, ms },
        3 => Trouble::CutFromPeers { node, ms },
        4 => Trouble::CutFromWorkers { node, ms },
        5 => Trouble::StoreOutage { ms: ms / 2 },
        6 => Trouble::CloudOutage { ms },
        7 => Trouble::MachineCut { ms },
        8 => Trouble::MachineDeaf { ms },
        9 => Trouble::LateCopies { ms },
        10 => Trouble::CutFromAllButWorkers { node, ms },
        11 | 12 => Trouble::Blink { node },
        13 => Trouble::PeersRefuse { ms },
        14 => Trouble::StoreSlow { ms },
        15 | 16 => Trouble::Freeze { node, ms },
        17 => Trouble::ZoneCut { ms: ms * 2 },
        _ => match rng.random_range(0..3) {
            0 => Trouble::MachineTaken,
            1 => Trouble::MachineSick,
            _ => Trouble::MachineBlinks,
        },
    }
}

#[test]
fn a_quiet_day() {
    check(1, Vec::new());
}

#[test]
fn drawn_troubles() {
    for seed in (0..60).chain([249]) {
        let mut rng = StdRng::seed_from_u64(1_000 + seed);
        let nodes = [3, 5, 7][seed as usize % 3];
        let count = rng.random_range(3..12);
        let troubles = (0..count).map(|_| (rng.random_range(5_000..110_000), draw(&mut rng, nodes)));
        check_with(seed, nodes, troubles.collect());
    }
}

#[test]
fn every_controller_crashes_at_once_and_again() {
    let crash = |at| (0..3).map(move |node| (at, Trouble::Crash { node }));
    check(2, crash(20_000).chain(crash(21_000)).chain(crash(50_000)).collect());
}

#[test]
fn the_leader_is_cut_from_the_store_while_machines_are_taken() {
    check(
        3,
        vec![
            (
                30_000,
                Trouble::CutFromStore {
                    node: LEADER,
                    ms: 40_000,
                },
            ),
            (31_000, Trouble::MachineTaken),
            (33_000, Trouble::MachineTaken),
            (
                60_000,
                Trouble::CutFromStore {
                    node: LEADER,
                    ms: 30_000,
                },
            ),
        ],
    );
}

#[test]
fn the_leader_is_cut_from_everybody_but_the_store() {
    check(
        4,
        vec![
            (
                30_000,
                Trouble::CutFromPeers {
                    node: LEADER,
                    ms: 50_000,
                },
            ),
            (
                30_000,
                Trouble::CutFromWorkers {
                    node: LEADER,
                    ms: 50_000,
                },
            ),
        ],
    );
}

#[test]
fn an_outage_of_the_store_with_a_crash_right_after() {
    check(
        5,
        vec![
            (30_000, Trouble::StoreOutage { ms: 12_000 }),
            (42_500, Trouble::Crash { node: LEADER }),
            (60_000, Trouble::StoreOutage { ms: 26_000 }),
            (86_100, Trouble::Crash { node: 0 }),
            (86_100, Trouble::Crash { node: 1 }),
        ],
    );
}

/// The stand-in fails on values and transactions beyond the protocol's limits,
/// so this shows that the largest job stays within them.
#[test]
fn the_largest_job_is_scheduled_and_cleaned_up() {
    let mut world = World::new(6, 3, 1, vec![(120_000, Trouble::Crash { node: LEADER })]);
    world.reshape(0, 100_000, Some(190_000));
    world.run(190_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(
        world.done_tasks.len() > 100,
        "only {} tasks done",
        world.done_tasks.len()
    );
    assert!(world.stored("kept/pool/firing/") > 0);
    world.run(300_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert_eq!(world.jobs[0].told, Told::Cancelled);
    assert_eq!(world.stored("kept/pool/firing/") + world.stored("live/pool/job/"), 0);
    assert_eq!(world.stored("kept/pool/end/"), 1);
}

/// Guards against work that the order by priority would put off for ever, and
/// against small tasks that for ever fill up what a large one needs whole.
#[test]
fn nobody_starves_under_a_steady_flow_of_small_urgent_jobs() {
    let mut world = World::new(7, 3, 0, Vec::new());
    let spec = |team: &str, priority, tasks, cpus| {
        let mut spec = World::plain_spec();
        spec.team = team.into();
        spec.priority = priority;
        spec.tasks = tasks;
        spec.cpus = cpus;
        spec
    };
    // More urgent work than the limit of the team lets run, all the time.
    for at in (2_000..500_000).step_by(1_500) {
        world.submit(at, spec("red", Priority::High, 6, 1.0));
    }
    let large: Vec<usize> = (0..4)
        .map(|index| world.submit(10_000 + index * 30_000, spec("red", Priority::Low, 12, 8.0)))
        .collect();
    world.run(520_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    for index in large.iter().copied() {
        let job = &world.jobs[index];
        let begun = job.first_start.map(|at| at - job.submit_at);
        assert!(
            begun.is_some_and(|after| after < 240_000),
            "job {index} began after {begun:?} ms"
        );
    }
    let done = large
        .iter()
        .filter(|&&index| world.jobs[index].told == Told::Done)
        .count();
    assert!(done * 2 >= large.len(), "{done} of the large jobs done");
    assert!(world.jobs.iter().filter(|job| job.told == Told::Done).count() > 100);
}

/// Jobs of large tasks for both teams, one after the other.
fn submit_large(world: &mut World, jobs: u64, tasks: u32, every_ms: u64) {
    for index in 0..jobs {
        let mut spec = World::plain_spec();
        spec.team = if index % 2 == 0 { "red" } else { "blue" }.into();
        spec.tasks = tasks;
        spec.cpus = 8.0;
        world.submit(2_000 + index * every_ms, spec);
    }
}

/// At size, work is bounded by what there is to do: the leader answers few
/// reports itself, machines are written many at a time, and messages between
/// controllers grow with time, not with reports.
#[test]
fn two_thousand_machines_cost_no_more_than_there_is_to_do() {
    let mut world = World::at_size(8, 5, Vec::new());
    submit_large(&mut world, 20, 300, 100);
    world.run(60_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let (machines, seconds) = (world.machines(), 60);
    assert!(machines > 1_800, "{machines} machines");
    let sent = &world.sent;
    // The service's limits, all controllers together.
    assert!(sent.store_writes < 80 * seconds, "{sent:?}");
    assert!(sent.store_requests < 200 * seconds, "{sent:?}");
    // Two thousand machines are written well below one key each.
    assert!(world.stored("kept/pool/roster/") * 16 < machines);
    assert!(sent.report_answers > 5 * machines, "{sent:?}");
    assert!(sent.leader_answers * 5 < sent.report_answers, "{sent:?}");
    // Twenty ticks a second, each peer with the leader, both ways, and heartbeats.
    assert!(sent.messages < 4 * 20 * 5 * seconds, "{sent:?}");
    // A start each, a question each, and little beside.
    let starts = world.starts as usize;
    assert!(
        sent.direct_commands < 3 * (machines + starts),
        "{sent:?}, {starts} starts"
    );
    world.run(150_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.jobs.iter().all(|job| job.told == Told::Done));
}

/// A fleet of one to two thousand machines: the state service is out, all
/// controllers end in the meantime and once more while they take over, a zone is
/// cut off, and the leader stands still.
#[test]
fn a_large_fleet_lives_through_restarts_a_zone_cut_and_a_freeze() {
    let crash = |at| (0..5).map(move |node| (at, Trouble::Crash { node }));
    let mut troubles = vec![
        (40_000, Trouble::StoreOutage { ms: 12_000 }),
        (60_000, Trouble::ZoneCut { ms: 50_000 }),
        (
            130_000,
            Trouble::Freeze {
                node: LEADER,
                ms: 30_000,
            },
        ),
    ];
    troubles.extend(crash(48_000).chain(crash(54_500)));
    let mut world = World::at_size(11, 5, troubles);
    submit_large(&mut world, 26, 300, 3_000);
    world.run(35_000);
    let machines = world.machines();
    assert!(machines > 1_000, "{machines} machines");
    world.run(330_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let open = world.jobs.iter().filter(|job| job.told != Told::Done).count();
    assert_eq!(open, 0);
    // The service's limits hold in every phase, all controllers together.
    assert!(world.sent.store_writes < 80 * 330, "{:?}", world.sent);
    assert!(world.sent.store_requests < 200 * 330, "{:?}", world.sent);
}

/// More machines than the operators run. All of them report at once when an outage of
/// the state service ends, in which the leader ended as well, and once more when the
/// next one ends.
#[test]
fn more_than_four_thousand_machines_report_at_once_after_an_outage_and_a_crash() {
    let troubles = vec![
        (60_000, Trouble::StoreOutage { ms: 15_000 }),
        (66_000, Trouble::Crash { node: LEADER }),
        (100_000, Trouble::Crash { node: LEADER }),
    ];
    let mut world = World::of_size(14, 5, 2_200, troubles);
    world.run_times = 20;
    submit_large(&mut world, 18, 320, 200);
    world.run(59_000);
    let machines = world.machines();
    assert!(machines > 4_200, "{machines} machines");
    world.run(400_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let open = world.jobs.iter().filter(|job| job.told != Told::Done).count();
    assert_eq!(open, 0);
    assert_eq!(world.lost_tasks, 0, "no lease ran out");
    // The service's limits, all controllers together.
    assert!(world.sent.store_writes < 80 * 400, "{:?}", world.sent);
    assert!(world.sent.store_requests < 200 * 400, "{:?}", world.sent);
}

/// Guards against deleting the whole fleet when an outage of the state service
/// ends that was longer than the workers' leases: no controller could hear them.
#[test]
fn an_outage_longer_than_the_leases_costs_no_machines() {
    let mut world = World::at_size(12, 3, vec![(40_000, Trouble::StoreOutage { ms: 60_000 })]);
    submit_large(&mut world, 8, 3_000, 100);
    world.run(39_000);
    let before = world.machine_names();
    assert!(before.len() > 300, "{} machines", before.len());
    world.run(115_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let after = world.machine_names();
    let lost = before.difference(&after).count();
    assert!(lost * 20 < before.len(), "{lost} of {} lost", before.len());
}

/// Users reach only controllers that say they are well; one that is cut off from
/// all that could answer them must not say so.
#[test]
fn a_controller_cut_from_all_but_workers_and_users_forgets_nobody() {
    let cut = |node| Trouble::CutFromAllButWorkers { node, ms: 120_000 };
    for (seed, nodes, troubles) in [
        (9, 5, vec![(30_000, cut(LEADER)), (60_000, cut(0)), (61_000, cut(1))]),
        (10, 3, vec![(30_000, cut(LEADER)), (170_000, cut(2))]),
    ] {
        let mut world = World::new(seed, nodes, 24, troubles);
        // Long enough for their users to ask all through the cuts.
        for index in 0..12 {
            let mut spec = World::plain_spec();
            spec.tasks = 80;
            world.submit(5_000 + index * 500, spec);
        }
        world.run(500_000);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        assert!(
            world
                .jobs
                .iter()
                .all(|job| matches!(job.told, Told::Done | Told::Cancelled))
        );
    }
}

#[test]
fn machines_that_are_heard_but_not_reached_are_replaced() {
    let deaf = |at| (at, Trouble::MachineDeaf { ms: 400_000 });
    let troubles: Vec<_> = (1..12u64).map(|step| deaf(step * 4_000)).collect();
    let mut world = World::new(11, 5, 24, troubles);
    world.run(280_000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    // Nothing waits for the end of the trouble.
    let open = world
        .jobs
        .iter()
        .filter(|job| matches!(job.told, Told::Accepted))
        .count();
    assert_eq!(open, 0, "jobs wait for machines that are not reached");
    assert_eq!(world.deaf_machines(), 0);
}

#[test]
fn late_copies_of_reports_prove_nothing_to_a_leader_just_elected() {
    for seed in 12..18 {
        let mut troubles = vec![(5_000, Trouble::LateCopies { ms: 120_000 })];
        for at in (15_000..120_000).step_by(9_000) {
            troubles.push((at, Trouble::Crash { node: LEADER }));
            troubles.push((at + 500, Trouble::MachineTaken));
            troubles.push((at + 2_000, Trouble::MachineBlinks));
        }
        check_with(seed, 5, troubles);
    }
}

#[test]
fn controllers_back_at_once_are_new_ones_also_in_mid_election() {
    for seed in 20..26 {
        let mut troubles = Vec::new();
        for at in (10_000..100_000).step_by(7_000) {
            troubles.push((at, Trouble::Blink { node: LEADER }));
            // While the others ask for the lease, claim, read and begin to command.
            for (node, after) in [(0, 60), (1, 4_020), (2, 4_060), (3, 4_150), (4, 4_400)] {
                troubles.push((at + after + seed * 3, Trouble::Blink { node }));
            }
        }
        check_with(seed, 5, troubles);
    }
}
