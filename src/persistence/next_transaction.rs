//! Puts the next transaction together: first what work or users wait for, then, in what
//! is left of the write rate, the rest.

use super::in_flight::Content;
use super::inventory_groups::{add_all_groups, add_urgent_groups};
use super::transaction_builder::TransactionBuilder;
use super::{InFlight, PendingWrites, WriteContext};
use crate::Millis;
use crate::store::Keys;
use crate::wire::{Condition, Transaction};
use std::sync::Arc;

/// How many changes a transaction may have.
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// At most, by the limits of the service.
    pub total: usize,
    /// Up to which what nobody waits for is added, so that it never delays the next
    /// starts.
    pub deferrable_cutoff: usize,
}

/// A transaction under construction and what it stands for.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    pub keys: &'a Keys,
    pub builder: TransactionBuilder,
    pub content: Content,
}

impl PendingWrites {
    /// Builds the next transaction, if there is anything to write and none is in flight.
    /// It is then taken to be in flight.
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

    /// What work or users wait for.
    fn add_urgent(&mut self, now: Millis, context: &mut WriteContext<'_>, draft: &mut Draft<'_>) {
        self.add_finished_jobs(context, draft);
        add_urgent_groups(context, draft);
        self.add_machine_requests(draft);
        self.add_answered_requests(context, draft);
        self.add_urgent_chunks(now, context, draft);
    }

    /// What nobody waits for.
    fn add_deferrable(
        &mut self,
        now: Millis,
        context: &mut WriteContext<'_>,
        limits: ChangeLimits,
        draft: &mut Draft<'_>,
    ) {
        let urgent = draft.builder.len();
        let most = limits.total.min(limits.deferrable_cutoff.max(urgent));
        // Half of it for clean-ups, so that they are never put off for good.
        let with_clean_ups = urgent + limits.deferrable_cutoff.div_ceil(2);
        draft.builder.limit_changes(most.min(with_clean_ups));
        self.add_clean_ups(context, draft);
        draft.builder.limit_changes(most);
        self.add_changed_chunks(now, context, draft);
        add_all_groups(context, draft);
    }
}
