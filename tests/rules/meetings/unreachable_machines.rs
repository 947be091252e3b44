//! Machines hang, fail, are preempted or cannot be reached while other faults happen.

use super::{Troubles, meet, seeds};
use crate::world::{LEASE_MS, Trouble, World};
use crate::{LEADER, play};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

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
