//! A transaction under construction.

use super::QueuedWrite;
use super::content::Content;
use super::rejected_writes::Selection;
use super::transaction_builder::TransactionBuilder;
use crate::store::Keys;

/// A transaction under construction and the changes added to it so far.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    pub keys: &'a Keys,
    pub builder: TransactionBuilder,
    pub content: Content,
    pub selection: Selection,
}

impl Draft<'_> {
    /// Whether the transaction may contain this change.
    pub fn admits(&self, write: &QueuedWrite) -> bool {
        self.selection.admits(write)
    }
}
