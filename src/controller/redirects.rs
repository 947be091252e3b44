//! Workers that the leader redirects to other controllers, which relay their reports.

use crate::Millis;
use std::collections::BTreeMap;

/// A worker back so soon after it was redirected can't use that controller.
const REDIRECT_FAILED_WITHIN_MS: Millis = 25_000;
const STAY_AFTER_FAILED_REDIRECT_MS: Millis = 60_000;
/// How often workers redirected long ago are forgotten.
const FORGET_EVERY_MS: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct RedirectedWorker {
    redirected_at: Millis,
    stays_until: Millis,
}

impl RedirectedWorker {
    /// Whether a report soon after the redirect would mean that it failed.
    fn is_recent(&self, now: Millis) -> bool {
        now < self.redirected_at + REDIRECT_FAILED_WITHIN_MS
    }

    fn may_stay(&self, now: Millis) -> bool {
        now < self.stays_until
    }
}

/// Workers that were redirected lately, by the name of the machine.
#[derive(Debug, Default)]
pub(super) struct Redirects {
    workers: BTreeMap<String, RedirectedWorker>,
    forgotten_at: Millis,
}

impl Redirects {
    /// Whether to redirect a worker that reports, which then counts as redirected. One
    /// that comes back soon can't use the controller it was sent to, and stays for a
    /// while.
    pub(super) fn should_redirect(&mut self, now: Millis, machine: &str) -> bool {
        match self.workers.get_mut(machine) {
            Some(worker) if worker.may_stay(now) => false,
            Some(worker) if worker.is_recent(now) => {
                worker.stays_until = now + STAY_AFTER_FAILED_REDIRECT_MS;
                false
            }
            _ => {
                let worker = RedirectedWorker {
                    redirected_at: now,
                    stays_until: 0,
                };
                self.workers.insert(machine.into(), worker);
                true
            }
        }
    }

    /// Forgets, now and then, the workers of which it no longer matters that they were
    /// redirected.
    pub(super) fn forget_old(&mut self, now: Millis) {
        if now < self.forgotten_at + FORGET_EVERY_MS {
            return;
        }
        self.forgotten_at = now;
        let workers = &mut self.workers;
        workers.retain(|_, worker| worker.may_stay(now) || worker.is_recent(now));
    }
}
