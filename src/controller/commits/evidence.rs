//! Tells by one key whether a transaction that went unanswered was applied.

use crate::store::StoreReply;
use crate::wire::{Change, Transaction};
use serde_json::Value;

/// A key by which a transaction that was applied can be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The key's name.
    pub key: String,
    /// The version that the transaction requires of it.
    pub(super) expected_version: u64,
    /// What the transaction writes there; `None` if it removes the key.
    value: Option<Value>,
}

/// What the evidence says of a transaction that conflicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommitOutcome {
    Applied { revision: u64 },
    NotApplied,
    Unknown,
}

impl Evidence {
    /// A key that nobody but the leader changes: users cancel jobs, so the keys below
    /// `jobs` prove nothing. One that is written rather than removed, where there is
    /// any, since only that tells the revision.
    pub(super) fn of(transaction: &Transaction, jobs: &str) -> Option<Evidence> {
        let evidence = transaction
            .changes
            .iter()
            .filter(|change| !changed_key(change).starts_with(jobs))
            .filter_map(|change| Evidence::of_change(transaction, change));
        evidence.max_by_key(|evidence| evidence.value.is_some())
    }

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

    /// What follows from the state in which the key was found after the conflict.
    pub(super) fn outcome(&self, reply: &StoreReply) -> CommitOutcome {
        match (reply, &self.value) {
            (StoreReply::Found { version, .. }, _) if *version == self.expected_version => CommitOutcome::NotApplied,
            (StoreReply::Missing, Some(_)) if self.expected_version == 0 => CommitOutcome::NotApplied,
            // Nobody else removes it, and without anything written the revision
            // is of no use.
            (StoreReply::Missing, None) => CommitOutcome::Applied { revision: 0 },
            (StoreReply::Found { value, version }, Some(written)) if value == written => {
                CommitOutcome::Applied { revision: *version }
            }
            _ => CommitOutcome::Unknown,
        }
    }
}

fn changed_key(change: &Change) -> &str {
    match change {
        Change::Put { put, .. } => put,
        Change::Delete { delete } => delete,
    }
}
