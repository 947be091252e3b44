//! Two troubles at once: each meeting that the operators name, against stand-ins.
//! A few seeds in CI; `MEETING_SEEDS=0..400 cargo test --release meetings` for more.

use crate::world::{CANCEL_MS, LEASE_MS, Trouble, World};
use crate::{LEADER, draw, play};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

type Troubles = Vec<(u64, Trouble)>;

/// Plays a meeting with seeds of its own, with 3 to 7 controllers, and tasks up
/// to `run_times` times as long as usual.
fn meet(run_times: u64, troubles: impl Fn(&mut StdRng) -> Troubles) -> Vec<World> {
    meet_again(&[], run_times, troubles)
}

/// Also with the seeds that once found a fault.
fn meet_again(found: &[u64], run_times: u64, troubles: impl Fn(&mut StdRng) -> Troubles) -> Vec<World> {
    let played = seeds(found).into_iter().map(|seed| {
        let mut rng = StdRng::seed_from_u64(7_000 + seed);
        let troubles = troubles(&mut rng);
        let nodes = [3, 5, 7][seed as usize % 3];
        let mut world = World::new(seed, nodes, 24, troubles.clone());
        world.run_times = if seed % 2 == 0 { run_times } else { 1 };
        play(world, seed, &troubles)
    });
    played.collect()
}

/// `MEETING_SEEDS=FROM..TO`, or a few and those given.
fn seeds(found: &[u64]) -> Vec<u64> {
    let given = std::env::var("MEETING_SEEDS").unwrap_or_default();
    let bounds = given.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
    match bounds {
        Some((Ok(from), Ok(to))) => (from..to).collect(),
        _ => (0..6).chain(found.iter().copied()).collect(),
    }
}

fn pick(rng: &mut StdRng, of: &[u64]) -> u64 {
    of[rng.random_range(0..of.len())]
}

/// The state service refuses the leader alone, jobs are cancelled through
/// another controller, and it is out for all: for less than a lease, between a
/// lease and `cancel_s`, and longer. The refusal ends before, in and after the
/// outage; machines of the cancelled jobs hang or can't be reached; the old
/// leader, another or a restarted one leads the shard afterwards.
#[test]
fn the_gap() {
    meet(12, |rng| {
        let at = rng.random_range(40_000..60_000);
        let outage = pick(rng, &[8_000, LEASE_MS - 3_000, LEASE_MS + 8_000, CANCEL_MS + 12_000]);
        let starts = at + rng.random_range(300..3_000);
        let refused = pick(rng, &[1_000, outage / 2, outage + 1_000, outage + 12_000]);
        let mut troubles = vec![
            (
                at,
                Trouble::Refused {
                    node: LEADER,
                    ms: refused,
                },
            ),
            (
                at + rng.random_range(0..starts - at),
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 0, 12_000, LEASE_MS]),
                },
            ),
            (starts, Trouble::StoreOutage { ms: outage }),
        ];
        match rng.random_range(0..5) {
            0 => troubles.push((at, Trouble::MachineCut { ms: outage })),
            1 => troubles.push((at, Trouble::ZoneCut { ms: outage })),
            2 => troubles.push((starts + outage - 500, Trouble::Blink { node: LEADER })),
            3 => troubles.extend((0..3).map(|node| (starts + 2_000, Trouble::Crash { node }))),
            _ => {}
        }
        troubles
    });
}

/// The gap again and again, each outage shorter than a lease: nothing may keep
/// the workers' leases alive while their leader does not see the cancellation.
#[test]
fn refusals_and_short_outages_in_turn() {
    meet(12, |rng| {
        let mut troubles = Vec::new();
        let mut at = 40_000;
        for _ in 0..4 {
            let outage = rng.random_range(8_000..LEASE_MS - 2_000);
            let refused = rng.random_range(800..4_000);
            troubles.push((
                at,
                Trouble::Refused {
                    node: LEADER,
                    ms: refused,
                },
            ));
            troubles.push((
                at + 300,
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 10_000]),
                },
            ));
            troubles.push((at + rng.random_range(400..1_500), Trouble::StoreOutage { ms: outage }));
            at += outage + rng.random_range(1_500..5_000);
        }
        troubles
    });
}

#[test]
fn leaders_change_ten_times_in_two_minutes_also_in_an_outage() {
    meet(2, |rng| {
        let mut troubles: Troubles = (0..10)
            .map(|step| {
                let at = 20_000 + step * 12_000 + rng.random_range(0..4_000);
                let node = LEADER;
                let ms = rng.random_range(5_000..9_000);
                let trouble = match rng.random_range(0..4) {
                    0 => Trouble::Crash { node },
                    1 => Trouble::Blink { node },
                    2 => Trouble::CutFromAllButWorkers { node, ms },
                    _ => Trouble::Refused { node, ms },
                };
                (at, trouble)
            })
            .collect();
        for _ in 0..2 {
            let ms = rng.random_range(4_000..15_000);
            troubles.push((rng.random_range(20_000..130_000), Trouble::StoreOutage { ms }));
        }
        troubles.push((15_000, Trouble::LateWrites { ms: 110_000 }));
        troubles
    });
}

/// Jobs of two or three tasks whose ends lie far apart, over changes of leader.
#[test]
fn small_jobs_that_end_over_a_change_of_leader() {
    meet(8, |rng| {
        let mut troubles: Troubles = (0..5)
            .map(|step| {
                (
                    25_000 + step * 15_000 + rng.random_range(0..9_000),
                    Trouble::Crash { node: LEADER },
                )
            })
            .collect();
        troubles.push((20_000, Trouble::CancelAtEnd { ms: 100_000 }));
        troubles.push((20_000, Trouble::LateCopies { ms: 100_000 }));
        troubles
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    meet(8, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = LEASE_MS + rng.random_range(1_000..15_000);
        vec![
            (at - 1_000, Trouble::LateWrites { ms: 2_000 }),
            (
                at - 600,
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 15_000]),
                },
            ),
            (at, Trouble::AllAway { ms }),
            (at + ms + 3_000, Trouble::Blink { node: LEADER }),
            (
                at + ms + 20_000,
                Trouble::AllAway {
                    ms: pick(rng, &[300, 5_000, LEASE_MS + 4_000]),
                },
            ),
        ]
    });
}

/// Reports arrive after newer ones, from earlier agent epochs and attempts, also
/// held back until a new leader has acted, and then there.
#[test]
fn old_reports_reach_a_new_leader() {
    meet(4, |rng| {
        let mut troubles = vec![(10_000, Trouble::LateCopies { ms: 120_000 })];
        for step in 0..6 {
            let at = 25_000 + step * 15_000 + rng.random_range(0..5_000);
            let ms = rng.random_range(2_000..LEASE_MS + 8_000);
            troubles.push((at, Trouble::MachineCut { ms }));
            troubles.push((at + 500, Trouble::MachineCut { ms }));
            troubles.push((at + 1_000, Trouble::Crash { node: LEADER }));
            troubles.push((at + 3_000, Trouble::MachineBlinks));
        }
        troubles
    });
}

#[test]
fn a_zone_is_cut_off_with_workers_and_a_controller() {
    meet(8, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = rng.random_range(LEASE_MS / 2..3 * LEASE_MS);
        let mut troubles = vec![
            (at, Trouble::SouthAlone { ms }),
            (at + rng.random_range(0..9_000), Trouble::CancelNow { hang_ms: 0 }),
        ];
        match rng.random_range(0..3) {
            0 => troubles.push((at + 5_000, Trouble::Crash { node: LEADER })),
            1 => troubles.push((at + 2_000, Trouble::StoreOutage { ms: LEASE_MS + 5_000 })),
            _ => troubles.push((at + 2_000, Trouble::Crash { node: 1 })),
        }
        troubles
    });
}

/// Controllers hand over and back, all end, and one returns at once.
#[test]
fn controllers_hand_over_and_back_and_all_end() {
    meet_again(&[46], 6, |rng| {
        let mut troubles = Vec::new();
        for step in 0..5 {
            let at = 25_000 + step * 20_000 + rng.random_range(0..5_000);
            troubles.push((at, Trouble::Blink { node: LEADER }));
            troubles.push((at + rng.random_range(50..1_500), Trouble::Blink { node: LEADER }));
            troubles.push((
                at + 6_000,
                Trouble::AllAway {
                    ms: rng.random_range(500..6_000),
                },
            ));
            troubles.push((at + 6_000 + rng.random_range(600..6_500), Trouble::Blink { node: 0 }));
        }
        troubles.push((20_000, Trouble::LateWrites { ms: 90_000 }));
        troubles
    });
}

/// A leader keeps only its workers and users while jobs are cancelled through
/// the new one.
#[test]
fn a_leader_cut_from_all_but_workers_and_users_while_jobs_are_cancelled() {
    meet(10, |rng| {
        let at = rng.random_range(35_000..60_000);
        let ms = pick(rng, &[6_000, LEASE_MS, CANCEL_MS + 20_000]);
        let mut troubles = vec![(at, Trouble::CutFromAllButWorkers { node: LEADER, ms })];
        for _ in 0..3 {
            let hang_ms = pick(rng, &[0, 9_000, LEASE_MS]);
            troubles.push((at + rng.random_range(0..12_000), Trouble::CancelNow { hang_ms }));
        }
        troubles.push((at + ms, Trouble::CutFromAllButWorkers { node: LEADER, ms }));
        troubles
    });
}

/// A team at its limit, a change of leader, machines that can't be asked, and a
/// cancellation in that spell.
#[test]
fn a_team_at_its_limit_when_the_leader_changes() {
    meet(10, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = rng.random_range(5_000..2 * LEASE_MS);
        vec![
            (at, Trouble::MachineCut { ms }),
            (at, Trouble::MachineDeaf { ms }),
            (at, Trouble::MachineHangs { ms }),
            (at, Trouble::MachineMute { ms }),
            (at + 500, Trouble::Crash { node: LEADER }),
            (at + rng.random_range(500..8_000), Trouble::CancelNow { hang_ms: 0 }),
            (at + ms / 2, Trouble::ZoneCut { ms }),
            (at + ms / 2 + 300, Trouble::Crash { node: LEADER }),
        ]
    });
}

/// A leader ends while machines with long tasks can't be reached, or don't hear
/// the new leader's answer.
#[test]
fn a_leader_ends_while_machines_do_not_hear() {
    meet(12, |rng| {
        let at = rng.random_range(40_000..60_000);
        let mut troubles = Vec::new();
        for _ in 0..6 {
            let ms = rng.random_range(3_000..2 * LEASE_MS);
            let from = at - rng.random_range(0..5_000);
            troubles.push((
                from,
                match rng.random_range(0..4) {
                    0 => Trouble::MachineCut { ms },
                    1 => Trouble::MachineDeaf { ms },
                    2 => Trouble::MachineMute { ms },
                    _ => Trouble::MachineHangs { ms },
                },
            ));
        }
        troubles.push((at, Trouble::Crash { node: LEADER }));
        troubles.push((at + rng.random_range(3_000..20_000), Trouble::Crash { node: LEADER }));
        troubles
    });
}

/// The state service answers slowly, or refuses the leader alone and then
/// everybody, while users cancel and ask.
#[test]
fn a_slow_state_service_while_users_cancel() {
    meet(10, |rng| {
        let at = rng.random_range(30_000..50_000);
        vec![
            (at, Trouble::StoreSlow { ms: 40_000 }),
            (
                at + 2_000,
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 15_000]),
                },
            ),
            (
                at + 9_000,
                Trouble::Refused {
                    node: LEADER,
                    ms: rng.random_range(1_000..20_000),
                },
            ),
            (at + 9_200, Trouble::CancelNow { hang_ms: 0 }),
            (
                at + rng.random_range(10_000..14_000),
                Trouble::StoreOutage { ms: CANCEL_MS + 5_000 },
            ),
            (at + 70_000, Trouble::LateWrites { ms: 15_000 }),
        ]
    });
}

/// A command or its answer is held up for seconds, across a hang.
#[test]
fn commands_are_held_up_and_the_machine_goes_on() {
    meet(6, |rng| {
        let mut troubles = vec![(20_000, Trouble::HeldCommands { ms: 90_000 })];
        for step in 0..8 {
            let at = 22_000 + step * 11_000 + rng.random_range(0..4_000);
            let ms = rng.random_range(2_000..LEASE_MS);
            troubles.push((at, Trouble::MachineHangs { ms }));
            if step % 3 == 0 {
                troubles.push((at + 1_000, Trouble::CancelNow { hang_ms: ms }));
            }
            if step % 4 == 1 {
                troubles.push((at + 500, Trouble::Crash { node: LEADER }));
            }
        }
        troubles
    });
}

/// Workers reach no controller while direct commands reach them: their leases
/// expiry although they answer.
#[test]
fn machines_that_reach_no_controller_but_take_commands() {
    meet(10, |rng| {
        let mut troubles = Vec::new();
        for _ in 0..8 {
            let ms = rng.random_range(3_000..3 * LEASE_MS);
            troubles.push((rng.random_range(20_000..80_000), Trouble::MachineMute { ms }));
        }
        troubles.push((rng.random_range(25_000..70_000), Trouble::CancelNow { hang_ms: 0 }));
        troubles.push((rng.random_range(25_000..70_000), Trouble::Crash { node: LEADER }));
        troubles
    });
}

/// Transactions are carried out late, after newer ones of the same controller.
#[test]
fn transactions_are_carried_out_late() {
    meet(3, |rng| {
        let mut troubles = vec![(5_000, Trouble::LateWrites { ms: 120_000 })];
        for _ in 0..4 {
            let node = LEADER;
            let at = rng.random_range(15_000..110_000);
            troubles.push((
                at,
                match rng.random_range(0..4) {
                    0 => Trouble::Blink { node },
                    1 => Trouble::Refused { node, ms: 6_000 },
                    2 => Trouble::MachineTaken,
                    _ => Trouble::CancelNow { hang_ms: 0 },
                },
            ));
        }
        troubles
    });
}

/// Jobs bound to one zone, arrays too, lose machines.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for seed in seeds(&[199]) {
        let mut rng = StdRng::seed_from_u64(8_000 + seed);
        let mut troubles: Troubles = (0..8)
            .map(|step| {
                let at = 20_000 + step * 9_000 + rng.random_range(0..5_000);
                let ms = rng.random_range(4_000..2 * LEASE_MS);
                let trouble = match rng.random_range(0..5) {
                    0 => Trouble::MachineTaken,
                    1 => Trouble::MachineCut { ms },
                    2 => Trouble::MachineSick,
                    3 => Trouble::MachineBlinks,
                    _ => Trouble::MachineDeaf { ms },
                };
                (at, trouble)
            })
            .collect();
        troubles.push((rng.random_range(30_000..80_000), Trouble::Crash { node: LEADER }));
        let mut world = World::new(seed, 3, 8, troubles.clone());
        world.run_times = 3;
        for index in 0..10 {
            let mut spec = World::plain_spec();
            spec.team = if index % 2 == 0 { "red" } else { "blue" }.into();
            spec.tasks = 2 + index % 7;
            spec.cpus = f64::from(1 + index % 4);
            spec.one_zone = index % 3 != 0;
            spec.spread = index % 3 == 0;
            spec.zone = (index % 5 == 0).then(|| "south".into());
            spec.spot = index % 4 != 0;
            world.submit(5_000 + u64::from(index) * 5_000, spec);
        }
        play(world, seed, &troubles);
    }
}

/// A cancellation, a question or a repeat meets the end of a job's last task.
#[test]
fn cancellations_and_repeats_meet_the_end_of_a_job() {
    meet(1, |_| {
        vec![
            (5_000, Trouble::CancelAtEnd { ms: 150_000 }),
            (5_000, Trouble::OddRequests { ms: 150_000 }),
        ]
    });
}

/// Jobs that can't run or lack a field are turned away, whoever is asked and
/// whatever else goes on.
#[test]
fn odd_requests_in_mid_election() {
    meet(2, |rng| {
        let mut troubles = vec![
            (3_000, Trouble::OddRequests { ms: 120_000 }),
            (20_000, Trouble::LateWrites { ms: 80_000 }),
            (30_000, Trouble::CancelAtEnd { ms: 80_000 }),
        ];
        for step in 0..6 {
            let at = 15_000 + step * 14_000 + rng.random_range(0..5_000);
            troubles.push((at, Trouble::Crash { node: LEADER }));
            let node = rng.random_range(0..3);
            troubles.push((at + rng.random_range(50..4_000), Trouble::Refused { node, ms: 3_000 }));
        }
        troubles
    });
}

/// The leader renews its lease and answers workers, but its reads are lost, so
/// that it hears of no cancellation: its workers' leases must not live on.
#[test]
fn a_leader_whose_reads_are_lost_while_jobs_are_cancelled() {
    let played = meet(15, |rng| {
        let at = rng.random_range(30_000..50_000);
        let ms = CANCEL_MS + rng.random_range(10_000..30_000);
        vec![
            (at, Trouble::ReadsLost { node: LEADER, ms }),
            (
                at + 500,
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 10_000]),
                },
            ),
            (at + rng.random_range(1_000..20_000), Trouble::CancelNow { hang_ms: 0 }),
        ]
    });
    // The watch cache's age, the lease of the claim, a take-over, a round of reports.
    let longest = played.iter().map(|world| world.longest_cancelled).max();
    assert!(
        longest.is_some_and(|ms| ms > 0 && ms < 5_000 + 4_000 + 2_000 + 4_000),
        "{longest:?}"
    );
}

/// Machines fail everything for a while and are well again: the jobs that failed
/// on all that fit them must not keep off them for ever.
#[test]
fn all_machines_are_sick_for_a_while() {
    meet(2, |rng| {
        let at = rng.random_range(20_000..50_000);
        vec![
            (
                at,
                Trouble::AllSick {
                    ms: rng.random_range(5_000..30_000),
                },
            ),
            (at + rng.random_range(0..30_000), Trouble::Crash { node: LEADER }),
        ]
    });
}

/// Anything with anything, from all that the stand-ins can bring about.
#[test]
fn drawn_meetings() {
    meet_again(&[216], 4, |rng| {
        let count = rng.random_range(4..14);
        let mut drawn = Vec::new();
        for _ in 0..count {
            drawn.push((rng.random_range(5_000..110_000), any_trouble(rng)));
        }
        drawn
    });
}

fn any_trouble(rng: &mut StdRng) -> Trouble {
    let node = if rng.random_bool(0.6) {
        LEADER
    } else {
        rng.random_range(0..3)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..22) {
        0 | 1 => Trouble::Refused { node, ms },
        2 => Trouble::ReadsLost { node, ms },
        3 | 4 => Trouble::LateWrites { ms },
        5 => Trouble::MachineMute { ms },
        6 => Trouble::MachineHangs { ms },
        7 => Trouble::HeldCommands { ms },
        8 | 9 => Trouble::CancelNow { hang_ms: ms / 2 },
        10 => Trouble::CancelAtEnd { ms },
        11 => Trouble::AllAway { ms },
        12 => Trouble::SouthAlone { ms },
        13 => Trouble::OddRequests { ms },
        14 => Trouble::AllSick { ms: ms / 2 },
        15 => Trouble::StoreOutage { ms: 2 * ms },
        _ => draw(rng, 3),
    }
}

/// An outage of the state service for all, longer than the workers' leases: as
/// all controllers know of each other that none can claim, what runs goes on.
#[test]
fn what_runs_goes_on_through_a_long_outage() {
    for seed in seeds(&[]) {
        let outage = vec![(45_000, Trouble::StoreOutage { ms: 60_000 })];
        let mut world = World::new(seed, 5, 24, outage);
        world.run_times = 12;
        // Past what was being stopped for others when it began.
        world.run(49_000);
        let before = world.lost_tasks;
        world.run(104_500);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        let lost = world.lost_tasks - before;
        assert!(lost <= 2, "seed {seed}: {lost} tasks lost");
    }
}

/// Nothing may be kept alive on promises where one controller can't give them:
/// it might be the one that confirms cancellations.
#[test]
fn a_leader_without_all_promises_stops() {
    meet(12, |rng| {
        let at = rng.random_range(40_000..55_000);
        let ms = CANCEL_MS + rng.random_range(5_000..20_000);
        let other = rng.random_range(0..3);
        vec![
            (at, Trouble::Refused { node: LEADER, ms }),
            (
                at + 200,
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 12_000]),
                },
            ),
            (at + 1_500, Trouble::StoreOutage { ms }),
            (
                at + rng.random_range(0..9_000),
                match rng.random_range(0..4) {
                    0 => Trouble::Blink { node: other },
                    1 => Trouble::CutFromPeers { node: other, ms },
                    2 => Trouble::Freeze { node: other, ms: 9_000 },
                    _ => Trouble::PeersRefuse { ms: 8_000 },
                },
            ),
            (at + rng.random_range(0..20_000), Trouble::Refused { node: other, ms }),
        ]
    });
}
