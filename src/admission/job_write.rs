//! A create-once write that accepts or cancels a job.
//!
//! It is conditional on the job having no end yet and on the observed version of the job's key, so
//! it is applied at most once, however often it is sent.

use super::AdmissionContext;
use crate::store::{EndValue, JobKey};
use crate::wire::{Change, Condition, JobState, Transaction};
use serde_json::json;
use std::sync::Arc;

/// The value of a cancelled job's end key.
pub(super) const CANCELLED: EndValue = EndValue {
    state: JobState::Cancelled,
    done: 0,
};

/// A conditional transaction that writes a job key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct JobWrite {
    pub(super) transaction: Arc<Transaction>,
    /// The value written to the job key.
    pub(super) job: JobKey,
}

impl JobWrite {
    /// Returns the write that applies `changes` and then creates or replaces the job key, whose
    /// current version is `job_version`.
    pub(super) fn new(
        context: &AdmissionContext<'_>,
        job: JobKey,
        job_version: u64,
        mut changes: Vec<Change>,
    ) -> JobWrite {
        let job_key = context.keys.job(&job.spec.id);
        let mut conditions = vec![
            Condition {
                key: job_key.clone(),
                version: job_version,
            },
            Condition {
                key: context.keys.end(&job.spec.id),
                version: 0,
            },
        ];
        // A leader's writes must fail once another controller has claimed the shard.
        conditions.extend(context.claim.clone());
        changes.push(Change::put(job_key, json!(job)));
        let transaction = Arc::new(Transaction { conditions, changes });
        JobWrite { transaction, job }
    }

    /// Returns how the job ends by this write, or `None` if the write accepts the job.
    pub(super) fn end(&self) -> Option<EndValue> {
        self.job.ended.map(|_| CANCELLED)
    }
}
