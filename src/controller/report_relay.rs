//! Reports of workers on their way to the leader, and those that wait for its reply.

use crate::Millis;
use crate::peers::RelayedReport;
use crate::wire::Report;
use std::collections::BTreeMap;

/// A worker is sent elsewhere if the leader has not replied by then.
const REPLY_TIMEOUT_MS: Millis = 3_000;
/// How often reports are relayed to the leader and replies returned to it. A frame
/// costs the leader more than most of what it holds.
const FLUSH_INTERVAL_MS: Millis = 100;

#[derive(Debug)]
struct WaitingReport {
    /// The worker's request, for the answer.
    request: u64,
    expires_at: Millis,
}

/// Reports that this controller relays to the leader.
#[derive(Debug, Default)]
pub(super) struct ReportRelay {
    /// By the id under which each was or will be relayed.
    waiting: BTreeMap<u64, WaitingReport>,
    unsent: Vec<RelayedReport>,
    flushed_at: Millis,
}

impl ReportRelay {
    /// How many workers wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Relays a report with the next flush.
    pub(super) fn add(&mut self, now: Millis, id: u64, request: u64, report: Report) {
        let expires_at = now + REPLY_TIMEOUT_MS;
        self.waiting.insert(id, WaitingReport { request, expires_at });
        self.unsent.push(RelayedReport { id, report });
    }

    /// The request of the worker whose report had this id, if it still waits.
    pub(super) fn take_request(&mut self, id: u64) -> Option<u64> {
        self.waiting.remove(&id).map(|waiting| waiting.request)
    }

    /// The requests of workers that have waited for too long.
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<u64> {
        let expired = self.waiting.extract_if(.., |_, waiting| now >= waiting.expires_at);
        expired.map(|(_, waiting)| waiting.request).collect()
    }

    /// Whether to send on what has come together, which then counts as done.
    pub(super) fn take_flush_due(&mut self, now: Millis) -> bool {
        let due = now >= self.flushed_at + FLUSH_INTERVAL_MS;
        if due {
            self.flushed_at = now;
        }
        due
    }

    /// The reports that were not sent yet.
    pub(super) fn take_unsent(&mut self) -> Vec<RelayedReport> {
        std::mem::take(&mut self.unsent)
    }
}
