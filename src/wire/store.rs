//! Messages between controllers and the state service: keys, transactions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key as it is read.
// The fields are renamed to the protocol's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Its version: the revision of its last change.
    #[serde(rename = "entryRev")]
    pub version: u64,
}

/// A page of the keys with a prefix, ordered by name.
// The revision is renamed to the protocol's name.
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
// The fields are renamed to the protocol's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that it must have; 0 if it must not exist.
    #[serde(rename = "entryRev")]
    pub version: u64,
}

/// A change in a transaction.
// The protocol tells the two kinds apart by the field that names the key, hence the
// untagged form; the other fields are renamed to the protocol's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Creates a key or replaces its value.
    Put {
        /// Name of the key.
        put: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease whose end removes the key. Without one, the key is detached from any.
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
    /// Puts a key that is attached to no lease.
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put {
            put: key.into(),
            value,
            lease: None,
        }
    }

    /// Removes a key.
    pub fn delete(key: impl Into<String>) -> Change {
        Change::Delete { delete: key.into() }
    }
}

/// An atomic transaction: all changes are applied if all conditions hold, else none is.
// The fields are renamed to the protocol's names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// What is then changed. Without any, the transaction only compares.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// The answer to a transaction.
// The revision is renamed to the protocol's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionAnswer {
    /// Revision of the store after the transaction, also the version of every key it put.
    #[serde(rename = "bookRev")]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A request for a new lease.
// The field is renamed to the protocol's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without being renewed, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The answer to a request for a new lease.
// The field is renamed to the protocol's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Number of the lease.
    #[serde(rename = "consignment")]
    pub lease: u64,
}

/// A change seen by a watch: a put, or (without `put`) a removal.
// The fields are renamed to the protocol's names; those of the other kind are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Name of the key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Name of the key that was removed.
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value that was put; null for a removal.
    #[serde(rename = "v", default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "entryRev")]
    pub version: u64,
}

/// The answer to a watch: every change after the revision it was asked for.
// The fields are renamed to the protocol's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    /// Revision of the store up to which the log is complete.
    #[serde(rename = "bookRev")]
    pub revision: u64,
    /// The changes, in the order of their revisions.
    #[serde(rename = "log")]
    pub events: Vec<Event>,
}
