//! Messages between controllers and the state service: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and version, as returned by a read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// JSON value of the key.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "entryRev")]
    pub version: u64,
}

/// A page of the keys with a prefix, ordered by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The keys of this page.
    pub items: Vec<Entry>,
    /// Whether more keys follow after this page.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "bookRev")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version (compare-and-swap).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that the key must have; 0 if the key must not exist.
    #[serde(rename = "entryRev")]
    pub version: u64,
}

/// A change in a transaction.
// The enum is untagged because the protocol distinguishes the two kinds by the field that
// names the key: `put` or `drop`. The other fields are renamed to the protocol's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Creates a key or replaces its value.
    Put {
        /// Name of the key.
        put: String,
        /// New value of the key.
        #[serde(rename = "v")]
        value: Value,
        /// Lease whose end removes the key. Without one, the key is detached from any lease.
        #[serde(rename = "consignment", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Name of the key.
        #[serde(rename = "drop")]
        delete: String,
    },
}

impl Change {
    /// Creates a put of a key that is attached to no lease.
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put {
            put: key.into(),
            value,
            lease: None,
        }
    }

    /// Creates a removal of a key.
    pub fn delete(key: impl Into<String>) -> Change {
        Change::Delete { delete: key.into() }
    }
}

/// An atomic transaction: all changes are applied if all conditions hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes to apply. Without any, the transaction only checks its conditions.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionAnswer {
    /// Revision of the store after the transaction, which is also the version of every key
    /// that it put.
    #[serde(rename = "bookRev")]
    pub revision: u64,
    /// Keys whose conditions did not hold; empty if the transaction was applied.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// The answer to a request that the state service does not accept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// Why the request is not accepted.
    pub error: String,
}

/// A request for a new lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The answer to a request for a new lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Number that identifies the lease.
    #[serde(rename = "consignment")]
    pub lease: u64,
}

/// A change seen by a watch: a put, or (without `put`) a removal.
// The fields are renamed to the protocol's names; absent keys are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Name of the key that was put; absent for a removal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Name of the key that was removed; absent for a put.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value that was put; null for a removal.
    #[serde(rename = "v", default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "entryRev")]
    pub version: u64,
}

/// The answer to a watch: every change after the requested revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchLog {
    /// Revision of the store up to which the log is complete.
    #[serde(rename = "bookRev")]
    pub revision: u64,
    /// The changes, in the order of their revisions.
    #[serde(rename = "log")]
    pub events: Vec<WatchEvent>,
}
