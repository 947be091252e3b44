//! Requests to the state service and what may come of them.

use crate::wire::{Log, Page, Transaction};
use serde_json::Value;
use std::sync::Arc;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads the key of this name.
    Get(String),
    /// Reads a page of the keys with a prefix, ordered by name.
    List {
        /// How the names of the keys begin.
        prefix: String,
        /// Name of the key after which the page begins; empty for the first page.
        after: String,
    },
    /// Applies a transaction. Shared, since it is kept until it is answered and may be
    /// sent again.
    Transact(Arc<Transaction>),
    /// Asks for a new lease.
    Grant {
        /// How long it lasts without being renewed, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews the lease of this number.
    Renew(u64),
    /// Asks for all changes of keys with a prefix after a revision, and waits for one if
    /// there is none yet.
    Watch {
        /// How the names of the keys begin.
        prefix: String,
        /// The revision.
        since: u64,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreRequest {
    /// Puts and deletes that the service counts against the write rate.
    pub fn writes(&self) -> u32 {
        match self {
            StoreRequest::Transact(transaction) => transaction.changes.len() as u32,
            _ => 0,
        }
    }
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// A key was read.
    Found {
        /// Its value.
        value: Value,
        /// Its version: the revision of its last change.
        version: u64,
    },
    /// There is no key of that name.
    Missing,
    /// A page of keys was read.
    Page(Page),
    /// The transaction was applied.
    Committed {
        /// Revision of the store after it, also the version of every key it put.
        revision: u64,
    },
    /// The transaction was not applied, since some conditions did not hold.
    Conflict {
        /// The keys of those conditions.
        failed: Vec<String>,
    },
    /// A lease was granted.
    Granted {
        /// Its number.
        lease: u64,
    },
    /// The lease was renewed.
    Renewed,
    /// The lease has ended.
    LeaseGone,
    /// All changes after the revision that a watch asked for.
    Log(Log),
    /// The service no longer keeps the changes that a watch asked for: read the keys again.
    TooOld,
    /// Not executed: beyond the service's rate.
    Throttled,
    /// Not executed: the service, or the way to it, is out of order.
    Unavailable,
    /// No answer: it may or may not have been executed, or may yet be.
    Unanswered,
}
