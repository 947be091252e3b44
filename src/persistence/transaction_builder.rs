//! Builds a transaction within the limits of the service.

use crate::wire::{Change, Condition, Transaction};

/// Keeps a transaction well below the service's 64 KiB.
const MAX_BYTES: usize = 40_000;
/// What the claim and the frame of the transaction take.
const FRAME_BYTES: usize = 200;
/// What a condition and the removal of its key take.
pub(super) const DELETE_BYTES: usize = 100;

/// A transaction to which changes are added while there is space. Sizes are estimates.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    transaction: Transaction,
    bytes: usize,
    max_changes: usize,
}

impl TransactionBuilder {
    /// A transaction that is applied only while the claim holds.
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

    /// Whether as many changes of this size altogether can be added.
    pub fn has_space(&self, changes: usize, bytes: usize) -> bool {
        self.len() + changes <= self.max_changes && self.bytes + bytes <= MAX_BYTES
    }

    /// How many changes it has.
    pub fn len(&self) -> usize {
        self.transaction.changes.len()
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.transaction.changes.is_empty()
    }

    /// Limits how many changes it may have, from now on.
    pub fn limit_changes(&mut self, max_changes: usize) {
        self.max_changes = max_changes;
    }

    /// It is applied only while the key has this version; 0 for no such key.
    pub fn require(&mut self, key: String, version: u64) {
        let conditions = &mut self.transaction.conditions;
        if !conditions.iter().any(|condition| condition.key == key) {
            conditions.push(Condition { key, version });
        }
    }

    /// Adds a change of about this size.
    pub fn change(&mut self, change: Change, bytes: usize) {
        self.transaction.changes.push(change);
        self.bytes += bytes;
    }

    /// Adds the removal of a key that has this version.
    pub fn delete(&mut self, key: String, version: u64) {
        self.require(key.clone(), version);
        self.change(Change::delete(key), DELETE_BYTES);
    }

    /// The transaction, once all is added.
    pub fn build(self) -> Transaction {
        self.transaction
    }
}

#[cfg(test)]
mod tests;
