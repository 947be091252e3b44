//! Workers that the leader redirects to other controllers, which relay their reports.

use crate::Millis;
use std::collections::BTreeMap;

/// A worker back so soon after it was redirected can't use that controller.
const FAILED_REDIRECT_WINDOW_MS: Millis = 25_000;
const FAILED_REDIRECT_EXEMPTION_MS: Millis = 60_000;
/// How often workers redirected long ago are forgotten.
const PRUNE_INTERVAL_MS: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct RedirectedWorker {
    redirected_at: Millis,
    exempt_until: Millis,
}

impl RedirectedWorker {
    /// Whether a report soon after the redirect would mean that it failed.
    fn is_recent(&self, now: Millis) -> bool {
        now < self.redirected_at + FAILED_REDIRECT_WINDOW_MS
    }

    fn is_exempt(&self, now: Millis) -> bool {
        now < self.exempt_until
    }
}

/// Workers that were redirected lately, by the name of the machine.
#[derive(Debug, Default)]
pub(super) struct Redirects {
    workers: BTreeMap<String, RedirectedWorker>,
    pruned_at: Millis,
}

impl Redirects {
    /// Whether to redirect a worker that reports, which then counts as redirected. One
    /// that comes back soon can't use the controller it was sent to, and stays for a
    /// while.
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

    /// Forgets, now and then, the workers of which it no longer matters that they were
    /// redirected.
    pub(super) fn prune(&mut self, now: Millis) {
        if now < self.pruned_at + PRUNE_INTERVAL_MS {
            return;
        }
        self.pruned_at = now;
        let workers = &mut self.workers;
        workers.retain(|_, worker| worker.is_exempt(now) || worker.is_recent(now));
    }
}
