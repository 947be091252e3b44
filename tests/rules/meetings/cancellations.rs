//! Users cancel, repeat requests or send invalid ones while other faults happen.

use super::{pick, run_meeting};
use crate::LEADER;
use crate::world::{CANCEL_DEADLINE_MS, Fault, LEASE_MS};
use rand::Rng;

/// A leader keeps only its workers and users while jobs are cancelled through
/// the new one.
#[test]
fn a_leader_cut_from_all_but_workers_and_users_while_jobs_are_cancelled() {
    run_meeting(10, |rng| {
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

/// A cancellation, a question or a repeat meets the end of a job's last task.
#[test]
fn cancellations_and_repeats_meet_the_end_of_a_job() {
    run_meeting(1, |_| {
        vec![
            (5_000, Fault::CancelAtEnd { ms: 150_000 }),
            (5_000, Fault::InvalidRequests { ms: 150_000 }),
        ]
    });
}

/// Jobs that can't run or lack a field are turned away, whoever is asked and
/// whatever else goes on.
#[test]
fn odd_requests_in_mid_election() {
    run_meeting(2, |rng| {
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

/// The leader renews its lease and answers workers, but its reads are lost, so
/// that it hears of no cancellation: its workers' leases must not live on.
#[test]
fn a_leader_whose_reads_are_lost_while_jobs_are_cancelled() {
    let played = run_meeting(15, |rng| {
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
    // The watch cache's age, the lease of the claim, a take-over, a round of reports.
    let longest = played.iter().map(|world| world.longest_run_after_cancel_ms).max();
    assert!(
        longest.is_some_and(|ms| ms > 0 && ms < 5_000 + 4_000 + 2_000 + 4_000),
        "{longest:?}"
    );
}
