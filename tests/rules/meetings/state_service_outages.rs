//! The state service refuses requests, is slow or is unavailable, during other faults.

use super::{copies_to_add, pick, run_concurrent_faults, seeds};
use crate::LEADER;
use crate::world::{CANCEL_DEADLINE_MS, Fault, LEASE_MS, World};
use rand::Rng;

/// Tasks of cancelled jobs must stop although the leader could not learn of the cancellations.
///
/// The state service refuses only the leader, jobs are cancelled through another controller, and
/// then an outage begins. It lasts less than a worker's lease, between the lease and `cancel_s`, or
/// longer. The refusal ends before, during or after the outage. Machines of the cancelled jobs may
/// hang, and other machines may be unreachable. Afterwards the old leader, another controller or a
/// restarted one leads.
#[test]
fn cancelled_jobs_stop_when_the_store_refuses_the_leader_before_an_outage() {
    run_concurrent_faults(12, |rng| {
        let at = rng.random_range(40_000..60_000);
        let outage_ms = pick(
            rng,
            &[8_000, LEASE_MS - 3_000, LEASE_MS + 8_000, CANCEL_DEADLINE_MS + 12_000],
        );
        let outage_at = at + rng.random_range(300..3_000);
        let refused_ms = pick(rng, &[1_000, outage_ms / 2, outage_ms + 1_000, outage_ms + 12_000]);
        let mut faults = vec![
            (
                at,
                Fault::StoreRefuses {
                    node: LEADER,
                    ms: refused_ms,
                },
            ),
            (
                at + rng.random_range(0..outage_at - at),
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 0, 12_000, LEASE_MS]),
                },
            ),
            (outage_at, Fault::StoreOutage { ms: outage_ms }),
        ];
        match rng.random_range(0..5) {
            0 => faults.push((at, Fault::MachineCut { ms: outage_ms })),
            1 => faults.push((at, Fault::ZoneCut { ms: outage_ms })),
            2 => faults.push((outage_at + outage_ms - 500, Fault::QuickRestart { node: LEADER })),
            3 => faults.extend((0..3).map(|node| (outage_at + 2_000, Fault::Crash { node }))),
            _ => {}
        }
        faults
    });
}

/// Refusals of the leader and outages alternate, each outage shorter than a worker's lease. No
/// sequence of them may keep the workers' leases alive while the leader can't see a cancellation.
#[test]
fn cancelled_jobs_stop_under_alternating_refusals_and_short_outages() {
    run_concurrent_faults(12, |rng| {
        let mut faults = Vec::new();
        let mut at = 40_000;
        for _ in 0..4 {
            let outage_ms = rng.random_range(8_000..LEASE_MS - 2_000);
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
            faults.push((at + rng.random_range(400..1_500), Fault::StoreOutage { ms: outage_ms }));
            at += outage_ms + rng.random_range(1_500..5_000);
        }
        faults
    });
}

/// Users cancel and poll jobs while the state service is slow, refuses only the leader, and then is
/// unavailable to all controllers.
#[test]
fn cancelled_jobs_stop_when_the_store_is_slow_before_an_outage() {
    run_concurrent_faults(10, |rng| {
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

/// Transactions are applied late, after newer ones of the same controller. Meanwhile leaders
/// restart or are refused by the state service, machines are reclaimed, or jobs are cancelled.
#[test]
fn transactions_are_applied_late() {
    run_concurrent_faults(3, |rng| {
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

/// Guards against stopping all tasks in an outage of the state service that lasts longer than the
/// workers' leases. No controller can claim the shard in such an outage, so the others grant the
/// leader extensions of its lease, and running tasks continue.
#[test]
fn running_tasks_continue_through_a_long_outage() {
    for seed in seeds(&[]) {
        for copies in copies_to_add(seed) {
            let mut faults = vec![(45_000, Fault::StoreOutage { ms: 60_000 })];
            faults.extend(copies);
            let mut world = World::new(seed, 5, 24, faults);
            world.run_time_factor = 12;
            // Excludes tasks that were already being stopped for other jobs when the outage began.
            world.run(49_000);
            let lost_before = world.lost_tasks;
            world.run(104_500);
            assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
            let lost = world.lost_tasks - lost_before;
            assert!(lost <= 2, "seed {seed}: {lost} tasks lost");
        }
    }
}

/// A leader must stop if a single controller does not grant the extension of its lease: that
/// controller might be the one that confirms cancellations.
#[test]
fn a_leader_without_every_extension_grant_stops() {
    run_concurrent_faults(12, |rng| {
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
