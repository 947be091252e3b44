//! Requests to the state service and their replies.

use crate::wire::{Page, Transaction, WatchLog};
use serde_json::Value;
use std::sync::Arc;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads the key with this name.
    Get(String),
    /// Reads a page of the keys with a prefix, ordered by name.
    List {
        /// The prefix of the names of the keys.
        prefix: String,
        /// The name of the key after which the page begins; empty for the first page.
        after: String,
    },
    /// Applies a transaction. It is reference-counted because the sender keeps it until it is
    /// answered and may send it again.
    Transact(Arc<Transaction>),
    /// Requests a new lease.
    Grant {
        /// How long the lease lasts without being renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews the lease with this id.
    Renew(u64),
    /// Reads all changes of keys with a prefix after a revision, and waits for a change if
    /// there is none yet.
    Watch {
        /// The prefix of the names of the keys.
        prefix: String,
        /// The revision after which changes are returned.
        since: u64,
        /// The maximum time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreRequest {
    /// Returns the number of puts and deletes, each of which counts against the service's write
    /// rate limit.
    pub fn writes(&self) -> u32 {
        match self {
            StoreRequest::Transact(transaction) => transaction.changes.len() as u32,
            _ => 0,
        }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The requested key was read.
    Found {
        /// The value of the key.
        value: Value,
        /// The version of the key: the revision of its last change.
        version: u64,
    },
    /// The requested key does not exist.
    Missing,
    /// A page of keys was read.
    Page(Page),
    /// The transaction was applied.
    Committed {
        /// The revision of the store after the transaction, which is also the version of every
        /// key that it put.
        revision: u64,
    },
    /// The transaction was not applied because some of its conditions did not hold.
    Conflict {
        /// The keys of the conditions that did not hold.
        failed: Vec<String>,
    },
    /// The transaction was not applied because the service does not accept it: it is malformed or
    /// exceeds a limit of the service. The same transaction is rejected again.
    Rejected {
        /// The service's explanation.
        reason: String,
    },
    /// A lease was granted.
    Granted {
        /// The id of the lease.
        lease: u64,
    },
    /// The lease was renewed.
    Renewed,
    /// The lease to renew has expired.
    LeaseExpired,
    /// All changes after the requested revision, in reply to a watch.
    WatchLog(WatchLog),
    /// The service no longer keeps all changes after the requested revision, so the watched
    /// keys must be read again.
    TooOld,
    /// The request was not executed because it exceeds the service's rate limit.
    Throttled,
    /// The request was not executed because the service or the network is unavailable.
    Unavailable,
    /// The request was not answered. It may or may not have been executed, or may be executed
    /// later.
    Unanswered,
}
