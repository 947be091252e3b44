//! Building of the next transaction: first the urgent changes, which tasks or users wait for,
//! then deferrable changes as far as the write rate permits.

use super::in_flight::Content;
use super::inventory_groups::{add_all_groups, add_urgent_groups};
use super::transaction_builder::TransactionBuilder;
use super::{InFlight, PendingWrites, WriteContext};
use crate::Millis;
use crate::store::Keys;
use crate::wire::{Condition, Transaction};
use std::sync::Arc;

/// Limits on the number of changes in a transaction.
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// Maximum number of changes, from the limits of the state service.
    pub total: usize,
    /// Number of changes up to which deferrable changes are added. It keeps deferrable changes
    /// from using the write rate that the next starts of tasks need. It must be at least 1, or a
    /// clean-up could be removed from the queue without being added.
    pub deferrable_cutoff: usize,
}

/// A transaction under construction and the changes added to it so far.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    pub keys: &'a Keys,
    pub builder: TransactionBuilder,
    pub content: Content,
}

impl PendingWrites {
    /// Builds the next transaction and marks it as in flight. Returns `None` if a transaction
    /// is already in flight or there is nothing to write.
    pub fn next_transaction(
        &mut self,
        now: Millis,
        keys: &Keys,
        mut context: WriteContext<'_>,
        claim: Condition,
        limits: ChangeLimits,
    ) -> Option<Arc<Transaction>> {
        if self.is_in_flight() {
            return None;
        }
        let mut draft = Draft {
            keys,
            builder: TransactionBuilder::new(claim, limits.total),
            content: Content::default(),
        };
        self.add_urgent(now, &mut context, &mut draft);
        self.add_deferrable(now, &mut context, limits, &mut draft);
        if draft.builder.is_empty() {
            return None;
        }
        let transaction = Arc::new(draft.builder.build());
        self.in_flight = Some(InFlight::new(transaction.clone(), now, draft.content));
        Some(transaction)
    }

    /// Adds the changes that tasks or users wait for, and the removals of answered machine
    /// requests.
    fn add_urgent(&mut self, now: Millis, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
        self.add_finished_jobs(context, draft);
        add_urgent_groups(context, draft);
        self.add_machine_requests(draft);
        self.add_answered_requests(context, draft);
        self.add_urgent_chunks(now, context, draft);
    }

    /// Adds the changes that nothing waits for.
    fn add_deferrable(
        &mut self,
        now: Millis,
        context: &mut WriteContext<'_>,
        limits: ChangeLimits,
        draft: &mut Draft<'_>,
    ) {
        let urgent = draft.builder.len();
        let max_changes = limits.total.min(limits.deferrable_cutoff.max(urgent));
        // Clean-ups come first, so that other deferrable changes never starve them, and get at
        // most half of the cutoff, so that they leave space for these.
        let max_with_clean_ups = urgent + limits.deferrable_cutoff.div_ceil(2);
        draft.builder.limit_changes(max_changes.min(max_with_clean_ups));
        self.add_clean_ups(context, draft);
        draft.builder.limit_changes(max_changes);
        self.add_deferrable_chunks(now, context, draft);
        add_all_groups(context, draft);
    }
}
