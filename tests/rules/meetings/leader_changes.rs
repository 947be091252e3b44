//! The leader crashes, restarts or is cut off repeatedly, during other faults.

use super::{Faults, pick, run_concurrent_faults, run_concurrent_faults_with_seeds};
use crate::LEADER;
use crate::world::{Fault, LEASE_MS};
use rand::Rng;

/// The leader crashes, restarts or loses its connection to the state service ten times. Meanwhile
/// the state service applies transactions late and is unavailable twice.
#[test]
fn leader_changes_ten_times_in_two_minutes_with_store_outages() {
    run_concurrent_faults(2, |rng| {
        let mut faults: Faults = (0..10)
            .map(|step| {
                let at = 20_000 + step * 12_000 + rng.random_range(0..4_000);
                let node = LEADER;
                let ms = rng.random_range(5_000..9_000);
                let fault = match rng.random_range(0..4) {
                    0 => Fault::Crash { node },
                    1 => Fault::QuickRestart { node },
                    2 => Fault::CutFromAllButWorkers { node, ms },
                    _ => Fault::StoreRefuses { node, ms },
                };
                (at, fault)
            })
            .collect();
        for _ in 0..2 {
            let ms = rng.random_range(4_000..15_000);
            faults.push((rng.random_range(20_000..130_000), Fault::StoreOutage { ms }));
        }
        faults.push((15_000, Fault::DelayedTransactions { ms: 110_000 }));
        faults
    });
}

/// Jobs of few tasks end, or are cancelled as they end, while leaders crash and late copies of
/// reports arrive. With even seeds the run times are long, so that the tasks of a job end far
/// apart.
#[test]
fn small_jobs_end_during_leader_changes() {
    run_concurrent_faults(8, |rng| {
        let mut faults: Faults = (0..5)
            .map(|step| {
                (
                    25_000 + step * 15_000 + rng.random_range(0..9_000),
                    Fault::Crash { node: LEADER },
                )
            })
            .collect();
        faults.push((20_000, Fault::CancelAtEnd { ms: 100_000 }));
        faults.push((20_000, Fault::DelayedDuplicateReports { ms: 100_000 }));
        faults
    });
}

/// All controllers are down for longer than a worker's lease, right after cancellations and during
/// late transactions, and are down again for a while soon after their restart.
#[test]
fn all_controllers_are_down_for_longer_than_a_worker_lease() {
    run_concurrent_faults(8, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = LEASE_MS + rng.random_range(1_000..15_000);
        vec![
            (at - 1_000, Fault::DelayedTransactions { ms: 2_000 }),
            (
                at - 600,
                Fault::CancelRunningJobs {
                    hang_ms: pick(rng, &[0, 15_000]),
                },
            ),
            (at, Fault::AllControllersDown { ms }),
            (at + ms + 3_000, Fault::QuickRestart { node: LEADER }),
            (
                at + ms + 20_000,
                Fault::AllControllersDown {
                    ms: pick(rng, &[300, 5_000, LEASE_MS + 4_000]),
                },
            ),
        ]
    });
}

/// Reports of earlier agent epochs and attempts arrive after newer ones, some of them only after a
/// new leader has started to act.
#[test]
fn stale_reports_reach_a_new_leader() {
    run_concurrent_faults(4, |rng| {
        let mut faults = vec![(10_000, Fault::DelayedDuplicateReports { ms: 120_000 })];
        for step in 0..6 {
            let at = 25_000 + step * 15_000 + rng.random_range(0..5_000);
            let ms = rng.random_range(2_000..LEASE_MS + 8_000);
            faults.push((at, Fault::MachineCut { ms }));
            faults.push((at + 500, Fault::MachineCut { ms }));
            faults.push((at + 1_000, Fault::Crash { node: LEADER }));
            faults.push((at + 3_000, Fault::AgentRestarts));
        }
        faults
    });
}

/// Five times, leadership changes through two quick restarts, then all controllers go down, and
/// controller 0 restarts quickly during that time or just after it. Transactions are applied late
/// meanwhile. With seed 46, a team exceeded its limit.
#[test]
fn leadership_moves_back_and_forth_before_all_controllers_go_down() {
    run_concurrent_faults_with_seeds(&[46], 6, |rng| {
        let mut faults = Vec::new();
        for step in 0..5 {
            let at = 25_000 + step * 20_000 + rng.random_range(0..5_000);
            faults.push((at, Fault::QuickRestart { node: LEADER }));
            faults.push((at + rng.random_range(50..1_500), Fault::QuickRestart { node: LEADER }));
            faults.push((
                at + 6_000,
                Fault::AllControllersDown {
                    ms: rng.random_range(500..6_000),
                },
            ));
            faults.push((
                at + 6_000 + rng.random_range(600..6_500),
                Fault::QuickRestart { node: 0 },
            ));
        }
        faults.push((20_000, Fault::DelayedTransactions { ms: 90_000 }));
        faults
    });
}

/// The leader crashes while a team is at its CPU limit and some machines are unreachable. Meanwhile
/// jobs are cancelled, a zone is cut off and the next leader crashes.
#[test]
fn a_team_stays_within_its_limit_when_the_leader_changes() {
    run_concurrent_faults(10, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = rng.random_range(5_000..2 * LEASE_MS);
        vec![
            (at, Fault::MachineCut { ms }),
            (at, Fault::MachineReceivesNothing { ms }),
            (at, Fault::MachineHangs { ms }),
            (at, Fault::MachineReachesNoController { ms }),
            (at + 500, Fault::Crash { node: LEADER }),
            (
                at + rng.random_range(500..8_000),
                Fault::CancelRunningJobs { hang_ms: 0 },
            ),
            (at + ms / 2, Fault::ZoneCut { ms }),
            (at + ms / 2 + 300, Fault::Crash { node: LEADER }),
        ]
    });
}
