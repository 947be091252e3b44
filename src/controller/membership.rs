//! The membership of this controller: its requests to the state service and their replies.

use super::{Controller, Purpose};
use crate::Millis;
use crate::membership::{LEASE_MS, MembershipRequest};
use crate::store::{StoreReply, StoreRequest};

impl Controller {
    /// Sends the request that the membership needs now, if any. A controller without peers needs no
    /// membership.
    pub(super) fn advance_membership(&mut self) {
        if self.peers.has_no_peers() {
            return;
        }
        let request = self.membership.poll(self.now, &self.watch_cache);
        self.send_membership_request(request);
    }

    fn send_membership_request(&mut self, request: Option<MembershipRequest>) {
        match request {
            Some(MembershipRequest::Grant) => {
                self.enqueue(Purpose::GrantMembership, StoreRequest::Grant { ttl_ms: LEASE_MS });
            }
            Some(MembershipRequest::Register(transaction)) => {
                self.enqueue(Purpose::RegisterMember, StoreRequest::Transact(transaction.into()));
            }
            Some(MembershipRequest::Renew(lease)) => {
                let sent_at = self.now;
                self.enqueue(Purpose::RenewMembership { lease, sent_at }, StoreRequest::Renew(lease));
            }
            None => {}
        }
    }

    /// Handles the reply to the request for a membership lease.
    pub(super) fn on_membership_granted(&mut self, reply: &StoreReply) {
        let request = self
            .membership
            .on_granted(self.now, &self.keys, &self.watch_cache, reply);
        self.send_membership_request(request);
    }

    /// Returns since when this controller has been a member, or `None` if it may not be one.
    pub(super) fn member_since(&self) -> Option<Millis> {
        if self.peers.has_no_peers() {
            return Some(0);
        }
        self.membership.member_since(self.now)
    }
}
