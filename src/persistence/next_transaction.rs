//! Building of the next transaction: first the urgent changes, which tasks or users wait for,
//! then deferrable changes as far as the write rate permits.

use super::content::Content;
use super::draft::Draft;
use super::inventory_groups::{add_all_groups, add_urgent_groups};
use super::rejected_writes::Selection;
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
    /// from using the write rate that the next starts of tasks need.
    pub deferrable_cutoff: usize,
}

/// Number of changes in a transaction of a rejected change alone: as few as any change needs. The
/// removal of the many keys of a job gets on with them, whatever the limits of the service are.
const CHANGES_ALONE: usize = 2;

impl ChangeLimits {
    /// Returns these limits with at most this number of changes.
    fn at_most(self, total: usize) -> ChangeLimits {
        ChangeLimits {
            total: self.total.min(total),
            ..self
        }
    }
}

impl PendingWrites {
    /// Builds the next transaction and marks it as in flight. Returns `None` if a transaction
    /// is already in flight or there is nothing to write.
    ///
    /// While changes have been rejected, every second transaction contains one of them alone.
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
        let all_others = Selection::AllExcept(self.rejected.clone());
        let selections = match self.next_rejected(now) {
            Some(only) if self.last_was_alone => vec![all_others, only],
            Some(only) => vec![only, all_others],
            None => vec![all_others],
        };
        selections
            .into_iter()
            .find_map(|selection| self.build_transaction(now, keys, &mut context, &claim, limits, selection))
    }

    /// Returns the selection of the rejected change that is due to be written alone, if any.
    fn next_rejected(&self, now: Millis) -> Option<Selection> {
        self.rejected.next_due(now).map(Selection::Only)
    }

    /// Builds a transaction of the selected changes and marks it as in flight. Returns `None` if
    /// none of them is to be written now.
    fn build_transaction(
        &mut self,
        now: Millis,
        keys: &Keys,
        context: &mut WriteContext<'_>,
        claim: &Condition,
        limits: ChangeLimits,
        selection: Selection,
    ) -> Option<Arc<Transaction>> {
        let limits = match selection {
            Selection::Only(_) => limits.at_most(CHANGES_ALONE),
            Selection::AllExcept(_) => limits,
        };
        let mut draft = Draft {
            keys,
            builder: TransactionBuilder::new(claim.clone(), limits.total),
            content: Content::default(),
            selection,
        };
        self.add_urgent(now, context, &mut draft);
        self.add_deferrable(now, context, limits, &mut draft);
        let only = match &draft.selection {
            Selection::Only(write) => Some(write),
            Selection::AllExcept(_) => None,
        };
        if draft.builder.is_empty() {
            // A rejected change that is no longer queued need not be kept apart.
            only.into_iter().for_each(|write| self.rejected.remove(write));
            return None;
        }
        self.last_was_alone = only.is_some();
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
