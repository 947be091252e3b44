//! Random combinations of all simulated faults except slow boots.

use super::run_concurrent_faults_with_seeds;
use crate::world::Fault;
use crate::{LEADER, draw_fault};
use rand::Rng;
use rand::rngs::StdRng;

/// Four to thirteen random faults begin at random times. With seed 216, a machine whose lease had
/// expired stayed idle forever.
#[test]
fn random_concurrent_faults_break_no_rule() {
    run_concurrent_faults_with_seeds(&[216], 4, |rng| {
        let count = rng.random_range(4..14);
        let mut faults = Vec::new();
        for _ in 0..count {
            faults.push((rng.random_range(5_000..110_000), draw_any_fault(rng)));
        }
        faults
    });
}

/// Answers to reports arrive late for most of the run, while three to nine random faults begin at
/// random times. Start commands then arrive after their attempts have ended in any way.
#[test]
fn random_faults_while_answers_are_delayed_break_no_rule() {
    run_concurrent_faults_with_seeds(&[], 4, |rng| {
        let mut faults = vec![(10_000, Fault::DelayedAnswers { ms: 100_000 })];
        for _ in 0..rng.random_range(3..10) {
            faults.push((rng.random_range(10_000..100_000), draw_any_fault(rng)));
        }
        for _ in 0..rng.random_range(0..4) {
            let ms = rng.random_range(500..6_000);
            faults.push((rng.random_range(10_000..100_000), Fault::AllMachinesFailTasks { ms }));
        }
        faults
    });
}

/// The state service rejects changes of some jobs' chunks or ends for a while, also while
/// transactions are unanswered, leaders change and jobs are cancelled.
#[test]
fn random_faults_while_writes_are_rejected_break_no_rule() {
    run_concurrent_faults_with_seeds(&[], 4, |rng| {
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(2..8) {
            let kind = if rng.random_bool(0.6) { "firing" } else { "end" };
            let key = format!("kept/pool/{kind}/j-{:06}", rng.random_range(0..24));
            let ms = rng.random_range(2_000..60_000);
            faults.push((rng.random_range(2_000..80_000), Fault::WritesRejected { key, ms }));
        }
        for _ in 0..rng.random_range(1..8) {
            faults.push((rng.random_range(10_000..100_000), draw_any_fault(rng)));
        }
        faults
    });
}

/// Draws any fault except [`Fault::SlowBoots`], [`Fault::DelayedAnswers`] and
/// [`Fault::WritesRejected`]. One that affects a controller usually affects the
/// leader, and otherwise one of the first three controllers.
fn draw_any_fault(rng: &mut StdRng) -> Fault {
    let node = if rng.random_bool(0.6) {
        LEADER
    } else {
        rng.random_range(0..3)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..22) {
        0 | 1 => Fault::StoreRefuses { node, ms },
        2 => Fault::ReadsLost { node, ms },
        3 | 4 => Fault::DelayedTransactions { ms },
        5 => Fault::MachineReachesNoController { ms },
        6 => Fault::MachineHangs { ms },
        7 => Fault::DelayedCommands { ms },
        8 | 9 => Fault::CancelRunningJobs { hang_ms: ms / 2 },
        10 => Fault::CancelAtEnd { ms },
        11 => Fault::AllControllersDown { ms },
        12 => Fault::SouthIsolated { ms },
        13 => Fault::InvalidRequests { ms },
        14 => Fault::AllMachinesFailTasks { ms: ms / 2 },
        15 => Fault::StoreOutage { ms: 2 * ms },
        _ => draw_fault(rng, 3),
    }
}
