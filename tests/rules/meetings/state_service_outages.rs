//! The state service refuses requests, is slow, or is out, while other faults happen.

use super::{meet, pick, seeds};
use crate::LEADER;
use crate::world::{CANCEL_MS, LEASE_MS, Trouble, World};
use rand::Rng;

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
