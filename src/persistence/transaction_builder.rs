//! Builder for transactions within the limits of the state service.

use crate::store::encoded_size;
use crate::wire::{Change, Condition, Transaction};
use serde_json::Value;

/// Size in bytes up to which changes are collected in one transaction, below the limit of the
/// state service.
const COLLECTED_BYTES: usize = 40_000;
/// Bytes between two entries of a list.
const SEPARATOR_BYTES: usize = 1;

/// Conditions and changes that are added to a transaction together or not at all.
#[derive(Debug, Default)]
pub(super) struct ChangeSet {
    conditions: Vec<Condition>,
    changes: Vec<Change>,
}

impl ChangeSet {
    /// Makes the transaction conditional on the version of a key; version 0 means that the key
    /// does not exist.
    pub fn require(&mut self, key: String, version: u64) {
        self.conditions.push(Condition { key, version });
    }

    /// Adds a put of a key.
    pub fn put(&mut self, key: String, value: Value) {
        self.changes.push(Change::put(key, value));
    }

    /// Adds the removal of a key, conditional on its version.
    pub fn delete(&mut self, key: String, version: u64) {
        self.require(key.clone(), version);
        self.changes.push(Change::delete(key));
    }

    /// Returns the number of bytes that the set adds to a transaction.
    fn encoded_size(&self) -> usize {
        let conditions = self.conditions.iter().map(encoded_size);
        let changes = self.changes.iter().map(encoded_size);
        let sizes = conditions.chain(changes);
        sizes.fold(0, |sum: usize, size| {
            sum.saturating_add(size).saturating_add(SEPARATOR_BYTES)
        })
    }
}

/// A transaction to which changes are added while there is space.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    transaction: Transaction,
    /// Upper bound of the encoded size in bytes.
    bytes: usize,
    max_changes: usize,
}

impl TransactionBuilder {
    /// Returns a builder for a transaction that is applied only while the leader's claim holds.
    pub fn new(claim: Condition, max_changes: usize) -> TransactionBuilder {
        let transaction = Transaction {
            conditions: vec![claim],
            changes: Vec::new(),
        };
        TransactionBuilder {
            bytes: encoded_size(&transaction),
            transaction,
            max_changes,
        }
    }

    /// Whether this number of changes can be added, if their size permits it.
    pub fn has_space(&self, changes: usize) -> bool {
        self.len() + changes <= self.max_changes
    }

    /// Returns the number of changes added so far.
    pub fn len(&self) -> usize {
        self.transaction.changes.len()
    }

    /// Whether no changes have been added.
    pub fn is_empty(&self) -> bool {
        self.transaction.changes.is_empty()
    }

    /// Sets the maximum number of changes for later additions.
    pub fn limit_changes(&mut self, max_changes: usize) {
        self.max_changes = max_changes;
    }

    /// Adds the set if there is space for it, and returns whether it was added.
    ///
    /// An empty transaction has space for a set of any size, so that a large set does not wait
    /// for ever. If the state service rejects it, the other changes are written without it (see
    /// [`super::rejected_writes`]).
    pub fn try_add(&mut self, set: ChangeSet) -> bool {
        let bytes = self.bytes.saturating_add(set.encoded_size());
        let fits = bytes <= COLLECTED_BYTES || self.is_empty();
        if !fits || !self.has_space(set.changes.len()) {
            return false;
        }
        self.bytes = bytes;
        for condition in set.conditions {
            self.require(condition);
        }
        self.transaction.changes.extend(set.changes);
        true
    }

    /// Adds a condition. If one on this key already exists, that one is kept.
    fn require(&mut self, condition: Condition) {
        let conditions = &mut self.transaction.conditions;
        if !conditions.iter().any(|other| other.key == condition.key) {
            conditions.push(condition);
        }
    }

    /// Returns the finished transaction.
    pub fn build(self) -> Transaction {
        self.transaction
    }
}

#[cfg(test)]
mod tests;
