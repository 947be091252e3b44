//! One kind of fault at a time, and mixtures drawn from seeds.

use crate::world::{Fault, KnownState, World};
use crate::{LEADER, check, check_with, draw_fault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[test]
fn all_jobs_finish_without_faults() {
    check(1, Vec::new());
}

#[test]
fn random_faults_break_no_rule() {
    for seed in (0..60).chain([249]) {
        let mut rng = StdRng::seed_from_u64(1_000 + seed);
        let nodes = [3, 5, 7][seed as usize % 3];
        let count = rng.random_range(3..12);
        let faults = (0..count).map(|_| (rng.random_range(5_000..110_000), draw_fault(&mut rng, nodes)));
        check_with(seed, nodes, faults.collect());
    }
}

#[test]
fn every_controller_crashes_at_once_and_again() {
    let crash = |at| (0..3).map(move |node| (at, Fault::Crash { node }));
    check(2, crash(20_000).chain(crash(21_000)).chain(crash(50_000)).collect());
}

#[test]
fn the_leader_is_cut_from_the_store_while_machines_are_taken() {
    check(
        3,
        vec![
            (
                30_000,
                Fault::CutFromStore {
                    node: LEADER,
                    ms: 40_000,
                },
            ),
            (31_000, Fault::MachineReclaimed),
            (33_000, Fault::MachineReclaimed),
            (
                60_000,
                Fault::CutFromStore {
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
                Fault::CutFromPeers {
                    node: LEADER,
                    ms: 50_000,
                },
            ),
            (
                30_000,
                Fault::CutFromWorkers {
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
            (30_000, Fault::StoreOutage { ms: 12_000 }),
            (42_500, Fault::Crash { node: LEADER }),
            (60_000, Fault::StoreOutage { ms: 26_000 }),
            (86_100, Fault::Crash { node: 0 }),
            (86_100, Fault::Crash { node: 1 }),
        ],
    );
}

/// Users reach only controllers that say they are well; one that is cut off from
/// all that could answer them must not say so.
#[test]
fn a_controller_cut_from_all_but_workers_and_users_forgets_nobody() {
    let cut = |node| Fault::CutFromAllButWorkers { node, ms: 120_000 };
    for (seed, nodes, faults) in [
        (9, 5, vec![(30_000, cut(LEADER)), (60_000, cut(0)), (61_000, cut(1))]),
        (10, 3, vec![(30_000, cut(LEADER)), (170_000, cut(2))]),
    ] {
        let mut world = World::new(seed, nodes, 24, faults);
        // Long enough for their users to ask all through the cuts.
        for index in 0..12 {
            let mut spec = World::plain_spec();
            spec.tasks = 80;
            world.submit(5_000 + index * 500, spec);
        }
        world.run(500_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(
            world
                .jobs
                .iter()
                .all(|job| matches!(job.known_state, KnownState::Done | KnownState::Cancelled))
        );
    }
}

#[test]
fn machines_that_are_heard_but_not_reached_are_replaced() {
    let deaf = |at| (at, Fault::MachineReceivesNothing { ms: 400_000 });
    let faults: Vec<_> = (1..12u64).map(|step| deaf(step * 4_000)).collect();
    let mut world = World::new(11, 5, 24, faults);
    world.run(280_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    // Nothing waits for the end of the fault.
    let open = world
        .jobs
        .iter()
        .filter(|job| matches!(job.known_state, KnownState::Accepted))
        .count();
    assert_eq!(open, 0, "jobs wait for machines that are not reached");
    assert_eq!(world.machines_receiving_nothing(), 0);
}

#[test]
fn late_copies_of_reports_prove_nothing_to_a_leader_just_elected() {
    for seed in 12..18 {
        let mut faults = vec![(5_000, Fault::DelayedDuplicateReports { ms: 120_000 })];
        for at in (15_000..120_000).step_by(9_000) {
            faults.push((at, Fault::Crash { node: LEADER }));
            faults.push((at + 500, Fault::MachineReclaimed));
            faults.push((at + 2_000, Fault::AgentRestarts));
        }
        check_with(seed, 5, faults);
    }
}

#[test]
fn controllers_back_at_once_are_new_ones_also_in_mid_election() {
    for seed in 20..26 {
        let mut faults = Vec::new();
        for at in (10_000..100_000).step_by(7_000) {
            faults.push((at, Fault::QuickRestart { node: LEADER }));
            // While the others ask for the lease, claim, read and begin to command.
            for (node, after) in [(0, 60), (1, 4_020), (2, 4_060), (3, 4_150), (4, 4_400)] {
                faults.push((at + after + seed * 3, Fault::QuickRestart { node }));
            }
        }
        check_with(seed, 5, faults);
    }
}
