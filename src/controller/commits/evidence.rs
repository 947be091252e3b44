//! Determines from a single key whether an unanswered transaction was applied.

use crate::store::StoreReply;
use crate::wire::{Change, Transaction};
use serde_json::Value;

/// A key whose current value and version show whether a transaction was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The name of the key to read.
    pub key: String,
    /// The version of the key that the transaction requires.
    pub(super) expected_version: u64,
    /// The value that the transaction writes; `None` if it deletes the key.
    value: Option<Value>,
}

/// Whether a conflicting transaction was applied by an earlier copy, as far as the evidence shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommitOutcome {
    /// The transaction was applied at this revision, or at an unknown one if 0.
    Applied { revision: u64 },
    /// The transaction was not applied.
    NotApplied,
    /// The key shows neither the state before the transaction nor the one that it writes.
    Unknown,
}

impl Evidence {
    /// Selects a key of the transaction that only the leader changes.
    ///
    /// Keys with the prefix `jobs` are excluded, because cancellations by users change them too.
    /// A key that is put is preferred over one that is deleted, since only a put shows the
    /// revision of the transaction.
    pub(super) fn of(transaction: &Transaction, jobs: &str) -> Option<Evidence> {
        let evidence = transaction
            .changes
            .iter()
            .filter(|change| !changed_key(change).starts_with(jobs))
            .filter_map(|change| Evidence::of_change(transaction, change));
        evidence.max_by_key(|evidence| evidence.value.is_some())
    }

    /// Returns the evidence that the key of this change provides, or `None` if the transaction does
    /// not require a version of it.
    fn of_change(transaction: &Transaction, change: &Change) -> Option<Evidence> {
        let key = changed_key(change);
        let mut conditions = transaction.conditions.iter();
        let required = conditions.find(|condition| condition.key == key)?;
        Some(Evidence {
            key: key.to_owned(),
            expected_version: required.version,
            value: match change {
                Change::Put { value, .. } => Some(value.clone()),
                Change::Delete { .. } => None,
            },
        })
    }

    /// Derives the outcome from a read of the key that was made after the conflict.
    pub(super) fn outcome(&self, reply: &StoreReply) -> CommitOutcome {
        match (reply, &self.value) {
            (StoreReply::Found { version, .. }, _) if *version == self.expected_version => CommitOutcome::NotApplied,
            (StoreReply::Missing, Some(_)) if self.expected_version == 0 => CommitOutcome::NotApplied,
            // Only the leader deletes this key. A put would have been selected as the evidence if
            // there were one, so no version of a key has to be recorded.
            (StoreReply::Missing, None) => CommitOutcome::Applied { revision: 0 },
            (StoreReply::Found { value, version }, Some(written)) if value == written => {
                CommitOutcome::Applied { revision: *version }
            }
            _ => CommitOutcome::Unknown,
        }
    }
}

/// Returns the key that a change puts or deletes.
fn changed_key(change: &Change) -> &str {
    match change {
        Change::Put { put, .. } => put,
        Change::Delete { delete } => delete,
    }
}
