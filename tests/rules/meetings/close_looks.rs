//! Users ask all controllers about their jobs, again and again, during other faults.

use super::{Faults, pick, run_concurrent_faults_with_seeds};
use crate::LEADER;
use crate::world::Fault;
use rand::Rng;

/// Controllers restart quickly or miss changes for a while, so that they read all watched keys anew,
/// in several pages, while users ask them. No accepted job may be forgotten. With seed 8, a job was.
#[test]
fn users_ask_controllers_that_read_all_watched_keys() {
    run_concurrent_faults_with_seeds(&[8], 4, |rng| {
        let mut faults: Faults = vec![(3_000, Fault::CloseLooks { ms: 120_000 })];
        for step in 0..10 {
            let at = 10_000 + step * 10_000 + rng.random_range(0..6_000);
            let node = pick(rng, &[LEADER as u64, 0, 1, 2]) as usize;
            let ms = rng.random_range(3_000..9_000);
            let fault = match rng.random_range(0..4) {
                0 => Fault::CutFromStore { node, ms },
                1 => Fault::ReadsLost { node, ms },
                _ => Fault::QuickRestart { node },
            };
            faults.push((at, fault));
        }
        faults
    });
}

/// The state service answers one controller slowly while jobs end and are cancelled. Controllers are
/// also suspended for a short time, cut off from the others, or end. No controller may answer with an
/// older state after another one has told the end of a job.
#[test]
fn users_ask_slow_suspended_and_disconnected_controllers() {
    run_concurrent_faults_with_seeds(&[], 1, |rng| {
        let mut faults: Faults = vec![
            (3_000, Fault::CloseLooks { ms: 120_000 }),
            (5_000, Fault::CancelAtEnd { ms: 110_000 }),
            (5_000, Fault::InvalidRequests { ms: 110_000 }),
        ];
        for step in 0..9 {
            let at = 8_000 + step * 12_000 + rng.random_range(0..3_000);
            let node = rng.random_range(0..3);
            let delay_ms = rng.random_range(100..1_300);
            faults.push((
                at,
                Fault::StoreRepliesSlow {
                    node,
                    delay_ms,
                    ms: 9_000,
                },
            ));
            let other = pick(rng, &[LEADER as u64, node as u64, 0, 1, 2]) as usize;
            let fault = match rng.random_range(0..6) {
                0 => Fault::CutFromPeers { node, ms: 7_000 },
                1 => Fault::CutFromStore { node: other, ms: 5_000 },
                2 => Fault::Crash { node: other },
                3 => Fault::CancelRunningJobs { hang_ms: 0 },
                _ => Fault::Freeze {
                    node: other,
                    ms: rng.random_range(200..2_500),
                },
            };
            faults.push((at + rng.random_range(500..4_000), fault));
            for _ in 0..2 {
                let ms = rng.random_range(1_000..2_600);
                faults.push((at + rng.random_range(500..9_000), Fault::Freeze { node, ms }));
            }
        }
        faults
    });
}
