//! Users cancel jobs, repeat requests or send invalid ones during other faults.

use super::{pick, run_concurrent_faults};
use crate::LEADER;
use crate::world::{CANCEL_DEADLINE_MS, Fault, LEASE_MS};
use rand::Rng;

/// The leader can't reach the state service and the other controllers, but still reaches workers
/// and users, while jobs are cancelled through the new leader. Then the next leader is cut off in
/// the same way. The tasks of the cancelled jobs must stop in time.
#[test]
fn cancelled_jobs_stop_when_the_old_leader_reaches_only_workers_and_users() {
    run_concurrent_faults(10, |rng| {
        let at = rng.random_range(35_000..60_000);
        let ms = pick(rng, &[6_000, LEASE_MS, CANCEL_DEADLINE_MS + 20_000]);
        let mut faults = vec![(at, Fault::CutFromAllButWorkers { node: LEADER, ms })];
        for _ in 0..3 {
            let hang_ms = pick(rng, &[0, 9_000, LEASE_MS]);
            faults.push((at + rng.random_range(0..12_000), Fault::CancelRunningJobs { hang_ms }));
        }
        faults.push((at + ms, Fault::CutFromAllButWorkers { node: LEADER, ms }));
        faults
    });
}

/// Users cancel jobs just after their last task ends. Meanwhile they repeat submissions, cancel
/// jobs that are done and submit invalid jobs.
#[test]
fn cancellations_and_repeated_requests_at_the_end_of_a_job() {
    run_concurrent_faults(1, |_| {
        vec![
            (5_000, Fault::CancelAtEnd { ms: 150_000 }),
            (5_000, Fault::InvalidRequests { ms: 150_000 }),
        ]
    });
}

/// Every controller refuses jobs that can't run or lack a field, also while leaders crash and the
/// state service refuses a controller or applies transactions late.
#[test]
fn invalid_requests_are_refused_during_elections() {
    run_concurrent_faults(2, |rng| {
        let mut faults = vec![
            (3_000, Fault::InvalidRequests { ms: 120_000 }),
            (20_000, Fault::DelayedTransactions { ms: 80_000 }),
            (30_000, Fault::CancelAtEnd { ms: 80_000 }),
        ];
        for step in 0..6 {
            let at = 15_000 + step * 14_000 + rng.random_range(0..5_000);
            faults.push((at, Fault::Crash { node: LEADER }));
            let node = rng.random_range(0..3);
            faults.push((
                at + rng.random_range(50..4_000),
                Fault::StoreRefuses { node, ms: 3_000 },
            ));
        }
        faults
    });
}

/// The leader renews its lease and answers workers, but its reads are lost, so it learns of no
/// cancellation. It must stop renewing the leases of its workers.
#[test]
fn cancelled_jobs_stop_when_the_reads_of_the_leader_are_lost() {
    let worlds = run_concurrent_faults(15, |rng| {
        let at = rng.random_range(30_000..50_000);
        let ms = CANCEL_DEADLINE_MS + rng.random_range(10_000..30_000);
        vec![
            (at, Fault::ReadsLost { node: LEADER, ms }),
            (
                at + 500,
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 10_000]),
                },
            ),
            (
                at + rng.random_range(1_000..20_000),
                Fault::CancelRunningJobs { hang_ms: 0 },
            ),
        ]
    });
    // The bound is the maximum age of the watch cache (5 s), the lease of the claim (4 s), a
    // takeover (2 s) and one round of heartbeat reports (4 s).
    const TAKEOVER_BOUND_MS: u64 = 5_000 + 4_000 + 2_000 + 4_000;
    // Copies of renewals prolong the lease of the claim, so that nobody can take over. The tasks end
    // with their workers' leases, which count from the maximum age of the watch cache on at the latest.
    const WORKER_LEASE_BOUND_MS: u64 = 5_000 + LEASE_MS + 1_000;
    for world in &worlds {
        let bound = if world.has_repeated_requests() {
            WORKER_LEASE_BOUND_MS
        } else {
            TAKEOVER_BOUND_MS
        };
        assert!(
            world.longest_run_after_cancel_ms < bound,
            "{}",
            world.longest_run_after_cancel_ms
        );
    }
    assert!(worlds.iter().any(|world| world.longest_run_after_cancel_ms > 0));
}
