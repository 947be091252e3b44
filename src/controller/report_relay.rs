//! Worker reports that this controller relays to the leader, and those that wait for its reply.

use crate::Millis;
use crate::peers::RelayedReport;
use crate::wire::Report;
use std::collections::BTreeMap;

/// A worker is redirected if the leader has not replied to its report within this time.
const REPLY_TIMEOUT_MS: Millis = 3_000;
/// How often reports are relayed to the leader and command replies are returned to it. They are
/// batched, since a frame costs the leader more than most of its contents.
const FLUSH_INTERVAL_MS: Millis = 100;

/// A report whose worker waits for the leader's reply.
#[derive(Debug)]
struct WaitingReport {
    /// The number of the worker's request, which the answer must carry.
    request: u64,
    expires_at: Millis,
}

/// Reports that this controller relays to the leader.
#[derive(Debug, Default)]
pub(super) struct ReportRelay {
    /// Keyed by the id under which each report is relayed.
    waiting: BTreeMap<u64, WaitingReport>,
    /// Reports to relay with the next flush.
    unsent: Vec<RelayedReport>,
    flushed_at: Millis,
}

impl ReportRelay {
    /// The number of workers that wait for a reply.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a report, which the next flush relays.
    pub(super) fn add(&mut self, now: Millis, id: u64, request: u64, report: Report) {
        let expires_at = now + REPLY_TIMEOUT_MS;
        self.waiting.insert(id, WaitingReport { request, expires_at });
        self.unsent.push(RelayedReport { id, report });
    }

    /// Removes the report with this id and returns the number of the worker's request, if the
    /// worker still waits.
    pub(super) fn take_request(&mut self, id: u64) -> Option<u64> {
        self.waiting.remove(&id).map(|waiting| waiting.request)
    }

    /// Removes the reports whose reply timed out and returns the numbers of the workers' requests.
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<u64> {
        let expired = self.waiting.extract_if(.., |_, waiting| now >= waiting.expires_at);
        expired.map(|(_, waiting)| waiting.request).collect()
    }

    /// Returns whether a flush is due, and if so marks it as done.
    pub(super) fn take_flush_due(&mut self, now: Millis) -> bool {
        let due = now >= self.flushed_at + FLUSH_INTERVAL_MS;
        if due {
            self.flushed_at = now;
        }
        due
    }

    /// Removes and returns the reports not yet sent.
    pub(super) fn take_unsent(&mut self) -> Vec<RelayedReport> {
        std::mem::take(&mut self.unsent)
    }
}
