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
