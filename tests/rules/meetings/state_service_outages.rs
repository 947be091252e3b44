//! The state service refuses requests, is slow, or is out, while other faults happen.

use super::{pick, run_meeting, seeds};
use crate::LEADER;
use crate::world::{CANCEL_DEADLINE_MS, Fault, LEASE_MS, World};
use rand::Rng;

/// The state service refuses the leader alone, jobs are cancelled through
/// another controller, and it is out for all: for less than a lease, between a
/// lease and `cancel_s`, and longer. The refusal ends before, in and after the
/// outage; machines of the cancelled jobs hang or can't be reached; the old
/// leader, another or a restarted one leads the shard afterwards.
#[test]
fn cancelled_jobs_stop_when_the_store_refuses_the_leader_and_then_is_out() {
    run_meeting(12, |rng| {
        let at = rng.random_range(40_000..60_000);
        let outage = pick(
            rng,
            &[8_000, LEASE_MS - 3_000, LEASE_MS + 8_000, CANCEL_DEADLINE_MS + 12_000],
        );
        let starts = at + rng.random_range(300..3_000);
        let refused_ms = pick(rng, &[1_000, outage / 2, outage + 1_000, outage + 12_000]);
        let mut faults = vec![
            (
                at,
                Fault::StoreRefuses {
                    node: LEADER,
                    ms: refused_ms,
                },
            ),
            (
                at + rng.random_range(0..starts - at),
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 0, 12_000, LEASE_MS]),
                },
            ),
            (starts, Fault::StoreOutage { ms: outage }),
        ];
        match rng.random_range(0..5) {
            0 => faults.push((at, Fault::MachineCut { ms: outage })),
            1 => faults.push((at, Fault::ZoneCut { ms: outage })),
            2 => faults.push((starts + outage - 500, Fault::QuickRestart { node: LEADER })),
            3 => faults.extend((0..3).map(|node| (starts + 2_000, Fault::Crash { node }))),
            _ => {}
        }
        faults
    });
}

/// The gap again and again, each outage shorter than a lease: nothing may keep
/// the workers' leases alive while their leader does not see the cancellation.
#[test]
fn refusals_and_short_outages_in_turn() {
    run_meeting(12, |rng| {
        let mut faults = Vec::new();
        let mut at = 40_000;
        for _ in 0..4 {
            let outage = rng.random_range(8_000..LEASE_MS - 2_000);
            let refused_ms = rng.random_range(800..4_000);
            faults.push((
                at,
                Fault::StoreRefuses {
                    node: LEADER,
                    ms: refused_ms,
                },
            ));
            faults.push((
                at + 300,
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 10_000]),
                },
            ));
            faults.push((at + rng.random_range(400..1_500), Fault::StoreOutage { ms: outage }));
            at += outage + rng.random_range(1_500..5_000);
        }
        faults
    });
}

/// The state service answers slowly, or refuses the leader alone and then
/// everybody, while users cancel and ask.
#[test]
fn a_slow_state_service_while_users_cancel() {
    run_meeting(10, |rng| {
        let at = rng.random_range(30_000..50_000);
        vec![
            (at, Fault::StoreSlow { ms: 40_000 }),
            (
                at + 2_000,
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 15_000]),
                },
            ),
            (
                at + 9_000,
                Fault::StoreRefuses {
                    node: LEADER,
                    ms: rng.random_range(1_000..20_000),
                },
            ),
            (at + 9_200, Fault::CancelRunningJobs { hang_ms: 0 }),
            (
                at + rng.random_range(10_000..14_000),
                Fault::StoreOutage {
                    ms: CANCEL_DEADLINE_MS + 5_000,
                },
            ),
            (at + 70_000, Fault::DelayedTransactions { ms: 15_000 }),
        ]
    });
}

/// Transactions are carried out late, after newer ones of the same controller.
#[test]
fn transactions_are_carried_out_late() {
    run_meeting(3, |rng| {
        let mut faults = vec![(5_000, Fault::DelayedTransactions { ms: 120_000 })];
        for _ in 0..4 {
            let node = LEADER;
            let at = rng.random_range(15_000..110_000);
            faults.push((
                at,
                match rng.random_range(0..4) {
                    0 => Fault::QuickRestart { node },
                    1 => Fault::StoreRefuses { node, ms: 6_000 },
                    2 => Fault::MachineReclaimed,
                    _ => Fault::CancelRunningJobs { hang_ms: 0 },
                },
            ));
        }
        faults
    });
}

/// An outage of the state service for all, longer than the workers' leases: as
/// all controllers know of each other that none can claim, what runs goes on.
#[test]
fn what_runs_goes_on_through_a_long_outage() {
    for seed in seeds(&[]) {
        let outage = vec![(45_000, Fault::StoreOutage { ms: 60_000 })];
        let mut world = World::new(seed, 5, 24, outage);
        world.run_time_factor = 12;
        // Past what was being stopped for others when it began.
        world.run(49_000);
        let before = world.lost_tasks;
        world.run(104_500);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let lost = world.lost_tasks - before;
        assert!(lost <= 2, "seed {seed}: {lost} tasks lost");
    }
}

/// Nothing may be kept alive on promises where one controller can't give them:
/// it might be the one that confirms cancellations.
#[test]
fn a_leader_without_all_promises_stops() {
    run_meeting(12, |rng| {
        let at = rng.random_range(40_000..55_000);
        let ms = CANCEL_DEADLINE_MS + rng.random_range(5_000..20_000);
        let other = rng.random_range(0..3);
        vec![
            (at, Fault::StoreRefuses { node: LEADER, ms }),
            (
                at + 200,
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 12_000]),
                },
            ),
            (at + 1_500, Fault::StoreOutage { ms }),
            (
                at + rng.random_range(0..9_000),
                match rng.random_range(0..4) {
                    0 => Fault::QuickRestart { node: other },
                    1 => Fault::CutFromPeers { node: other, ms },
                    2 => Fault::Freeze { node: other, ms: 9_000 },
                    _ => Fault::PeerMessagesDropped { ms: 8_000 },
                },
            ),
            (
                at + rng.random_range(0..20_000),
                Fault::StoreRefuses { node: other, ms },
            ),
        ]
    });
}
