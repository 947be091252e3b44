//! Sends requests to the state service and dispatches the replies by the purpose of the request.

use super::{Controller, Purpose};
use crate::Millis;
use crate::store::{StoreReply, StoreRequest};

/// Delay before a failed or unanswered request is sent again.
pub(super) const RETRY_MS: Millis = 200;
/// Delay before a request that exceeded the service's rate limit is sent again.
const THROTTLED_RETRY_MS: Millis = 250;

impl Controller {
    /// Queues a request to be sent as soon as the rate limits allow.
    pub(super) fn enqueue(&mut self, purpose: Purpose, request: StoreRequest) {
        self.store_client.enqueue(self.now, purpose, request);
    }

    /// Queues a request to be sent after `delay` milliseconds at the earliest.
    pub(super) fn enqueue_after(&mut self, delay: Millis, purpose: Purpose, request: StoreRequest) {
        self.store_client.enqueue(self.now + delay, purpose, request);
    }

    /// Sends queued requests within the rate limits, and refuses user requests that exceed the
    /// queue limit.
    pub(super) fn send_queued(&mut self) {
        self.store_client.set_rates(self.election.phase());
        self.store_client
            .send_ready(self.now, &mut self.call_ids, &mut self.outputs);
        while let Some(excess) = self.store_client.take_excess() {
            self.on_answered(excess.purpose, &excess.request, StoreReply::Unavailable);
        }
    }

    /// Handles a reply of the state service. A throttled request is sent again later, except for a
    /// lease renewal, which the election schedules again.
    pub(super) fn on_store_reply(&mut self, call: u64, reply: StoreReply) {
        let Some(answered) = self.store_client.take_answered(self.now, call, &reply) else {
            return;
        };
        let is_renewal = matches!(
            answered.purpose,
            Purpose::RenewLease { .. } | Purpose::RenewMembership { .. }
        );
        if reply == StoreReply::Throttled && !is_renewal {
            self.enqueue_after(THROTTLED_RETRY_MS, answered.purpose, answered.request);
            return;
        }
        self.on_answered(answered.purpose, &answered.request, reply);
    }

    /// Passes a reply to the handler for the purpose of its request.
    fn on_answered(&mut self, purpose: Purpose, request: &StoreRequest, reply: StoreReply) {
        match purpose {
            Purpose::GrantLease => self.on_lease_granted(reply),
            Purpose::GrantMembership => self.on_membership_granted(&reply),
            Purpose::RegisterMember => self.membership.on_registered(self.now, &reply),
            Purpose::RenewMembership { lease, sent_at } => {
                self.membership.on_renewed(self.now, lease, sent_at, &reply);
            }
            Purpose::Claim { transaction, sent_at } => self.on_claim_reply(transaction, sent_at, reply),
            Purpose::RenewLease { sent_at } => self.on_renew_reply(sent_at, reply),
            Purpose::CheckClaim => self.on_claim_checked(reply),
            Purpose::ReadWatchCache(read) => self.on_watch_cache_page(read, reply),
            Purpose::Watch(position) => self.on_watch_reply(position, reply),
            Purpose::RefreshWatchCache {
                position,
                admission_read,
                sent_at,
            } => self.on_refreshed(position, admission_read, sent_at, reply),
            Purpose::LoadJobs(position) => self.on_load_jobs_reply(position, reply),
            Purpose::Load(stage) => self.on_load_reply(stage, request, reply),
            Purpose::Commit => self.on_commit_reply(request, reply),
            Purpose::CheckCommit(evidence) => self.on_commit_checked(evidence, &reply),
            Purpose::ReadJobEnd(admission_request_id) => {
                let effects = self
                    .with_admission(|admission, context| admission.on_end_read(context, admission_request_id, &reply));
                self.apply_effects(effects);
            }
            Purpose::UserWrite(admission_request_id) => self.on_user_write_reply(admission_request_id, request, &reply),
            Purpose::WriteCatalogue | Purpose::Resign => {}
        }
    }

    fn on_user_write_reply(&mut self, admission_request_id: u64, request: &StoreRequest, reply: &StoreReply) {
        if let StoreReply::Conflict { failed } = reply {
            self.detect_lost_claim(request, failed);
        }
        let effects =
            self.with_admission(|admission, context| admission.on_write_reply(context, admission_request_id, reply));
        self.apply_effects(effects);
    }
}
