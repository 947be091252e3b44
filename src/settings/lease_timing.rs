//! Times that follow from the workers' leases.

use super::Settings;
use crate::{Millis, millis};

/// Most that a lease lasts longer on the worker's clock than on the controller's, as
/// a factor.
pub(super) const CLOCK_DRIFT: f64 = 1.002;
/// Time for a worker to notice that its lease has expired and to drop its tasks.
pub(super) const EXPIRY_MARGIN_S: f64 = 1.0;
/// Watched keys are read once a second; two reads in a row may fail.
const MIN_WATCH_CACHE_AGE_MS: Millis = 2_500;
/// An older watch cache gains nothing, also where there is time for it.
pub(super) const MAX_WATCH_CACHE_AGE_MS: Millis = 5_000;

impl Settings {
    /// After this much time without an answer a worker has surely dropped its tasks.
    pub fn lease_expiry_ms(&self) -> Millis {
        millis(self.params.workers.lease_s * CLOCK_DRIFT) + millis(EXPIRY_MARGIN_S)
    }

    /// How old the leader's knowledge of cancellations may be while it answers
    /// workers: from the confirmation of a cancellation until the lease that the
    /// last answer renewed has surely expired, no more than `cancel_s` may pass.
    pub fn max_watch_cache_age_ms(&self) -> Millis {
        let workers = &self.params.workers;
        let rest_s = workers.cancel_s - workers.lease_s * CLOCK_DRIFT - EXPIRY_MARGIN_S;
        millis(rest_s).clamp(MIN_WATCH_CACHE_AGE_MS, MAX_WATCH_CACHE_AGE_MS)
    }

    /// What is odd but no reason not to start.
    pub fn warnings(&self) -> Vec<String> {
        let workers = &self.params.workers;
        let cache_age_s = MIN_WATCH_CACHE_AGE_MS as f64 / 1000.0;
        let min_cancel_s = workers.lease_s * CLOCK_DRIFT + EXPIRY_MARGIN_S + cache_age_s;
        if workers.cancel_s >= min_cancel_s {
            return Vec::new();
        }
        vec![format!(
            "setting `params.workers.cancel_s`: tasks of a cancelled job may outlast {} s where the state service \
             fails meanwhile; with leases of {} s it takes {min_cancel_s:.1} s",
            workers.cancel_s, workers.lease_s
        )]
    }
}
