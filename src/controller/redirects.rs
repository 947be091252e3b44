//! Workers that the leader redirected to other controllers, which relay their reports.

use crate::Millis;
use std::collections::BTreeMap;

/// A worker that reports to the leader again within this time after a redirect cannot reach the
/// controller it was sent to.
const FAILED_REDIRECT_WINDOW_MS: Millis = 25_000;
/// How long a worker is not redirected again after a failed redirect.
const FAILED_REDIRECT_EXEMPTION_MS: Millis = 60_000;
/// How often workers that were redirected long ago are removed.
const PRUNE_INTERVAL_MS: Millis = 10_000;

/// The last redirect of a worker, and its exemption from further ones.
#[derive(Clone, Copy, Debug)]
struct RedirectedWorker {
    redirected_at: Millis,
    exempt_until: Millis,
}

impl RedirectedWorker {
    /// Whether a report to the leader at this time means that the redirect failed.
    fn is_recent(&self, now: Millis) -> bool {
        now < self.redirected_at + FAILED_REDIRECT_WINDOW_MS
    }

    /// Whether the worker may report to the leader directly at this time.
    fn is_exempt(&self, now: Millis) -> bool {
        now < self.exempt_until
    }
}

/// Workers that were recently redirected, keyed by the name of their machine.
#[derive(Debug, Default)]
pub(super) struct Redirects {
    workers: BTreeMap<String, RedirectedWorker>,
    pruned_at: Millis,
}

impl Redirects {
    /// Returns whether to redirect a worker that reported, and if so marks it as redirected.
    ///
    /// A worker that returns soon after a redirect cannot use the other controller, and is exempt
    /// from redirects for a while.
    pub(super) fn should_redirect(&mut self, now: Millis, machine: &str) -> bool {
        match self.workers.get_mut(machine) {
            Some(worker) if worker.is_exempt(now) => false,
            Some(worker) if worker.is_recent(now) => {
                worker.exempt_until = now + FAILED_REDIRECT_EXEMPTION_MS;
                false
            }
            _ => {
                let worker = RedirectedWorker {
                    redirected_at: now,
                    exempt_until: 0,
                };
                self.workers.insert(machine.into(), worker);
                true
            }
        }
    }

    /// Periodically removes workers whose redirect no longer affects any decision.
    pub(super) fn prune(&mut self, now: Millis) {
        if now < self.pruned_at + PRUNE_INTERVAL_MS {
            return;
        }
        self.pruned_at = now;
        let workers = &mut self.workers;
        workers.retain(|_, worker| worker.is_exempt(now) || worker.is_recent(now));
    }
}
