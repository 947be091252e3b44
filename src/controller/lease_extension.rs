//! Messages that request and grant lease extensions between controllers. Lease extensions are
//! described in [`crate::election`].

use super::{Controller, Output, SHARD};
use crate::Millis;
use crate::peers::{BatchItem, CancelledJob, MAX_BATCH_BYTES, Message};
use crate::wire::JobState;

/// The largest number of cancelled jobs in a grant. An extension is not granted if there are more.
const MAX_CANCELLED_JOBS: usize = 200;

impl Controller {
    /// Requests a lease extension from all other controllers if one is due.
    pub(super) fn request_lease_extension(&mut self) {
        if !self.election.take_extension_request_due(self.now) {
            return;
        }
        let message = Message::RequestLeaseExtension {
            shard: SHARD.into(),
            term: self.election.term(),
            requested_at: self.now,
            watch_revision: self.watch_cache.revision(),
        };
        self.broadcast(&message);
    }

    /// Handles an extension request of a leader that cannot reach the state service.
    ///
    /// Grants the extension if this controller is a follower, cannot reach the state service either
    /// and has a complete watch cache. The grant lists the cancelled jobs that the leader may not
    /// know of.
    pub(super) fn on_extension_request(&mut self, node: String, term: u64, requested_at: Millis, watch_revision: u64) {
        if !self.store_client.is_failing() || !self.watch_cache.is_complete() {
            return;
        }
        let Some(cancelled_jobs) = self.cancelled_since(watch_revision) else {
            return;
        };
        if self.election.grant_extension(self.now) {
            let message = Message::GrantLeaseExtension {
                term,
                requested_at,
                cancelled_jobs,
            };
            self.outputs.push(Output::Peer { node, message });
        }
    }

    /// Returns the jobs cancelled after `watch_revision`, or `None` if there are more than one
    /// message carries.
    fn cancelled_since(&self, watch_revision: u64) -> Option<Vec<CancelledJob>> {
        let newer = self.watch_cache.jobs().values();
        let newer = newer.filter(|(key, version)| *version > watch_revision && key.ended == Some(JobState::Cancelled));
        let cancelled_jobs: Vec<_> = newer
            .take(MAX_CANCELLED_JOBS + 1)
            .map(|(key, version)| CancelledJob {
                key: key.clone(),
                version: *version,
            })
            .collect();
        let bytes: usize = cancelled_jobs.iter().map(BatchItem::max_frame_bytes).sum();
        (cancelled_jobs.len() <= MAX_CANCELLED_JOBS && bytes <= MAX_BATCH_BYTES).then_some(cancelled_jobs)
    }

    /// Handles a grant for this leader's term. Jobs that were cancelled through other controllers
    /// are stopped before the grant counts.
    pub(super) fn on_extension_grant(
        &mut self,
        node: &str,
        term: u64,
        requested_at: Millis,
        cancelled_jobs: Vec<CancelledJob>,
    ) {
        if term != self.election.term() || !self.leads() {
            return;
        }
        for job in cancelled_jobs {
            self.apply_cancellation(job);
        }
        self.peers.on_extension_granted(node, requested_at);
        if let Some(requested_at) = self.peers.extension_granted_by_all() {
            self.election.on_lease_extended(self.now, requested_at);
        }
    }

    /// Records a cancelled job in the watch cache if it is newer than what is known.
    fn apply_cancellation(&mut self, CancelledJob { key, version }: CancelledJob) {
        let id = key.spec.id.clone();
        let known = self.watch_cache.jobs().get(&id);
        if version > self.watch_cache.revision() && known.is_none_or(|&(_, known)| known < version) {
            self.watch_cache.record_job(&id, key, version);
            self.job_changed(&id);
        }
    }
}
