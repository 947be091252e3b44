//! Why a request to the state service was made, which decides what its reply means.

use super::commits;
use crate::Millis;
use crate::wire::Transaction;
use std::sync::Arc;

/// Why a request to the state service was made.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A lease to claim the shard with.
    GrantLease,
    /// The claim, or a higher term.
    Claim {
        transaction: Arc<Transaction>,
        sent: Millis,
    },
    /// The lease's renewal.
    RenewLease { sent: Millis },
    /// After a claim that conflicted: is it ours?
    CheckClaim,
    /// A full read of the watched keys.
    ReadWatchCache,
    /// Waits for changes of the watched keys.
    Watch,
    /// Brings the watch cache up to date.
    RefreshWatchCache {
        /// The number of admission's confirming read, if it asked for this one.
        admission_read: Option<u64>,
        sent: Millis,
    },
    /// A page of what a new leader reads.
    Load(LoadStage),
    /// The leader's transaction in flight.
    Commit,
    /// Whether the transaction in flight was carried out.
    CheckCommit(commits::Evidence),
    /// How a job ended, for this operation of admission.
    ReadJobEnd(u64),
    /// A user's submission or cancellation, for this operation of admission.
    UserWrite(u64),
    /// Stores the catalogue.
    WriteCatalogue,
    /// Removes the own claim.
    Resign,
}

/// What a new leader reads, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStage {
    /// The machines of the inventory.
    Machines,
    /// Requests for machines that the cloud may not have answered.
    MachineRequests,
    /// The watched keys, up to a revision after the claim.
    WatchCache,
    /// The open attempts and done tasks of jobs.
    Firings,
}

impl Purpose {
    /// Whether requests of this kind mean something only within one term.
    pub(super) fn is_bound_to_term(&self) -> bool {
        matches!(
            self,
            Purpose::Load(_)
                | Purpose::Commit
                | Purpose::CheckCommit(_)
                | Purpose::CheckClaim
                | Purpose::RenewLease { .. }
                | Purpose::Claim { .. }
        )
    }

    /// Whether it goes first and is never held back: a share of the rate is reserved
    /// for what leases and claims depend on.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(
            self,
            Purpose::GrantLease
                | Purpose::Claim { .. }
                | Purpose::RenewLease { .. }
                | Purpose::CheckClaim
                | Purpose::Resign
                // One a second, on which acting depends.
                | Purpose::RefreshWatchCache { admission_read: None, .. }
        )
    }

    /// Whether a user waits for this write.
    pub(super) fn is_user_write(&self) -> bool {
        matches!(self, Purpose::UserWrite(_))
    }

    /// Whether a user waits for this request, so that it may be refused.
    pub(super) fn is_for_user(&self) -> bool {
        matches!(self, Purpose::ReadJobEnd(_) | Purpose::UserWrite(_))
    }
}
