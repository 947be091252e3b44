//! Builder for transactions within the limits of the state service.

use crate::wire::{Change, Condition, Transaction};

/// Maximum estimated size of a transaction, well below the state service's limit of 64 KiB.
const MAX_TRANSACTION_BYTES: usize = 40_000;
/// Estimated size of the transaction's frame with the condition on the claim.
const FRAME_BYTES: usize = 200;
/// Estimated size of the removal of a key with its condition.
pub(super) const DELETE_BYTES: usize = 100;

/// A transaction to which changes are added while there is space. All sizes are estimates in
/// bytes.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    transaction: Transaction,
    bytes: usize,
    max_changes: usize,
}

impl TransactionBuilder {
    /// Returns a builder for a transaction that is applied only while the leader's claim holds.
    pub fn new(claim: Condition, max_changes: usize) -> TransactionBuilder {
        TransactionBuilder {
            transaction: Transaction {
                conditions: vec![claim],
                changes: Vec::new(),
            },
            bytes: FRAME_BYTES,
            max_changes,
        }
    }

    /// Whether this number of changes with this total size can be added.
    pub fn has_space(&self, changes: usize, bytes: usize) -> bool {
        self.len() + changes <= self.max_changes && self.bytes + bytes <= MAX_TRANSACTION_BYTES
    }

    /// Returns the number of changes added so far.
    pub fn len(&self) -> usize {
        self.transaction.changes.len()
    }

    /// Whether no changes have been added.
    pub fn is_empty(&self) -> bool {
        self.transaction.changes.is_empty()
    }

    /// Sets the maximum number of changes for later calls of `has_space`.
    pub fn limit_changes(&mut self, max_changes: usize) {
        self.max_changes = max_changes;
    }

    /// Makes the transaction conditional on the version of a key; version 0 means that the key
    /// does not exist. If a condition on this key already exists, it is kept.
    pub fn require(&mut self, key: String, version: u64) {
        let conditions = &mut self.transaction.conditions;
        if !conditions.iter().any(|condition| condition.key == key) {
            conditions.push(Condition { key, version });
        }
    }

    /// Adds a change of this estimated size.
    pub fn change(&mut self, change: Change, bytes: usize) {
        self.transaction.changes.push(change);
        self.bytes += bytes;
    }

    /// Adds the removal of a key, conditional on its version.
    pub fn delete(&mut self, key: String, version: u64) {
        self.require(key.clone(), version);
        self.change(Change::delete(key), DELETE_BYTES);
    }

    /// Returns the finished transaction.
    pub fn build(self) -> Transaction {
        self.transaction
    }
}

#[cfg(test)]
mod tests;
