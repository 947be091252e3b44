//! The purpose of a request to the state service, which determines how its reply is handled.

use super::commits;
use crate::Millis;
use crate::store::{FullReadId, WatchPosition};
use crate::wire::Transaction;
use std::sync::Arc;

/// The purpose of a request to the state service.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Requests a lease for a claim on the shard.
    GrantLease,
    /// Requests a lease for the membership of this controller.
    GrantMembership,
    /// Writes the member key of this controller.
    RegisterMember,
    /// Renews the lease of the membership.
    RenewMembership { lease: u64, sent_at: Millis },
    /// Claims the shard, or raises the term of an existing claim.
    Claim {
        transaction: Arc<Transaction>,
        sent_at: Millis,
    },
    /// Renews the lease of the claim.
    RenewLease { sent_at: Millis },
    /// Reads the claim after a conflict, to see whether this controller made it.
    CheckClaim,
    /// Reads a page of all watched keys, to fill the watch cache.
    ReadWatchCache(FullReadId),
    /// Waits for changes to the watched keys since this position.
    Watch(WatchPosition),
    /// Reads the latest changes to the watched keys, to bring the watch cache up to date.
    RefreshWatchCache {
        position: WatchPosition,
        /// The number of the confirming read, if admission requested this one.
        admission_read: Option<u64>,
        sent_at: Millis,
    },
    /// Reads a page of the state that a new leader loads.
    Load(LoadStage),
    /// Brings the watch cache to a revision after the claim, so that a new leader can load the jobs
    /// from it.
    LoadJobs(WatchPosition),
    /// Applies the leader's transaction in flight.
    Commit,
    /// Reads the evidence key, to see whether the transaction in flight was applied.
    CheckCommit(commits::Evidence),
    /// Reads how a job ended, for the admission request with this id.
    ReadJobEnd(u64),
    /// Writes a submission or cancellation, for the admission request with this id.
    UserWrite(u64),
    /// Stores the cloud's catalogue.
    WriteCatalogue,
    /// Deletes this controller's claim.
    Resign,
}

/// The parts of the state that a new leader reads in pages, in this order. The jobs are loaded before
/// the task chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStage {
    /// The groups of machines in the inventory.
    Machines,
    /// Machine requests that the cloud may not have answered yet.
    MachineRequests,
    /// The open attempts and done tasks of jobs, in chunks of tasks.
    TaskChunks,
}

impl Purpose {
    /// Whether the request is valid only within the term in which it was made.
    pub(super) fn is_bound_to_term(&self) -> bool {
        matches!(
            self,
            Purpose::Load(_)
                | Purpose::LoadJobs(_)
                | Purpose::Commit
                | Purpose::CheckCommit(_)
                | Purpose::CheckClaim
                | Purpose::RenewLease { .. }
                | Purpose::Claim { .. }
        )
    }

    /// Whether the request is sent before others and even if the rate limits are exhausted. A share
    /// of the rate is reserved for the requests that leases and claims depend on.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(
            self,
            Purpose::GrantLease
                | Purpose::Claim { .. }
                | Purpose::RenewLease { .. }
                | Purpose::CheckClaim
                | Purpose::Resign
                | Purpose::GrantMembership
                | Purpose::RegisterMember
                | Purpose::RenewMembership { .. }
                // Sent once a second; the leader may act only with a recent watch cache.
                | Purpose::RefreshWatchCache { admission_read: None, .. }
        )
    }

    /// Whether this is a write that a user waits for.
    pub(super) fn is_user_write(&self) -> bool {
        matches!(self, Purpose::UserWrite(_))
    }

    /// Whether a user waits for this request. Such requests may be refused.
    pub(super) fn is_for_user(&self) -> bool {
        matches!(self, Purpose::ReadJobEnd(_) | Purpose::UserWrite(_))
    }
}
