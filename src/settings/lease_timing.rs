//! Durations derived from the workers' leases.

use super::Settings;
use crate::{Millis, millis};

/// Maximum factor by which a lease that is timed on the worker's clock may outlast the same
/// duration on the controller's clock.
pub(super) const MAX_CLOCK_DRIFT_RATIO: f64 = 1.002;
/// Time that a worker needs to notice that its lease has expired and to drop its tasks.
pub(super) const EXPIRY_MARGIN_S: f64 = 1.0;
/// Minimum of the bound on the age of the watch cache. The cache is refreshed once a second, so
/// that two consecutive refreshes may fail.
const MIN_WATCH_CACHE_AGE_LIMIT_MS: Millis = 2_500;
/// Maximum of the bound on the age of the watch cache. A higher bound has no advantage, even
/// where the leases leave time for it.
pub(super) const MAX_WATCH_CACHE_AGE_LIMIT_MS: Millis = 5_000;

impl Settings {
    /// Returns the time without an answer, on the controller's clock, after which a worker has
    /// certainly dropped its tasks.
    pub fn lease_expiry_ms(&self) -> Millis {
        millis(self.params.workers.lease_s * MAX_CLOCK_DRIFT_RATIO) + millis(EXPIRY_MARGIN_S)
    }

    /// Returns the maximum age of the watch cache, from which the leader knows of cancellations,
    /// while it answers workers. No more than `cancel_s` may pass between the confirmation of a
    /// cancellation and the time when the lease that the last answer renewed has certainly
    /// expired. If even the lowest bound is too high for that, [`Settings::warnings`] says so.
    pub fn max_watch_cache_age_ms(&self) -> Millis {
        let workers = &self.params.workers;
        let remaining_s = workers.cancel_s - workers.lease_s * MAX_CLOCK_DRIFT_RATIO - EXPIRY_MARGIN_S;
        millis(remaining_s).clamp(MIN_WATCH_CACHE_AGE_LIMIT_MS, MAX_WATCH_CACHE_AGE_LIMIT_MS)
    }

    /// Returns warnings about settings that are questionable but do not prevent a start.
    pub fn warnings(&self) -> Vec<String> {
        let workers = &self.params.workers;
        let cache_age_limit_s = MIN_WATCH_CACHE_AGE_LIMIT_MS as f64 / 1000.0;
        let min_cancel_s = workers.lease_s * MAX_CLOCK_DRIFT_RATIO + EXPIRY_MARGIN_S + cache_age_limit_s;
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
