//! The create-once writes that accept and cancel jobs.
//!
//! Each depends on the job having no end yet, and on the version of its key that was
//! seen, so that it is carried out at most once, however often it is sent.

use super::answers::{self, Unavailable};
use super::cancellations::CANCELLED;
use super::pending::Awaited;
use super::{Admission, AdmissionContext, AdmissionEffect};
use crate::store::{EndValue, JobKey, StoreReply};
use crate::wire::{Change, Condition, Transaction};
use serde_json::json;
use std::sync::Arc;

/// A write of a job key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct JobWrite {
    pub(super) transaction: Arc<Transaction>,
    /// The value that it gives the job key.
    job: JobKey,
}

impl JobWrite {
    /// Creates or replaces the job key, which now has this version, after other changes.
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
        // A leader's writes are void once another has claimed the shard.
        conditions.extend(context.claim.clone());
        changes.push(Change::put(job_key, json!(job)));
        let transaction = Arc::new(Transaction { conditions, changes });
        JobWrite { transaction, job }
    }

    /// How the job ended by this write, if it did.
    fn end(&self) -> Option<EndValue> {
        self.job.ended.map(|_| CANCELLED)
    }
}

impl Admission {
    /// The reply to a create-once write.
    pub fn on_write_reply(
        &mut self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        reply: &StoreReply,
    ) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get(&request_id) else {
            return Vec::new();
        };
        let Awaited::WriteReply(write) = &request.awaited else {
            return Vec::new();
        };
        match reply {
            StoreReply::Committed { revision } => {
                let mut effects = vec![AdmissionEffect::RecordJob {
                    id: request.question.job_id.clone(),
                    job: write.job.clone(),
                    revision: *revision,
                }];
                effects.extend(match write.end() {
                    Some(end) => self.confirm_at_peers(context, request_id, end),
                    None => {
                        let answer = answers::accepted(&request.question.job_id);
                        self.finish(context, request_id, answer)
                    }
                });
                effects
            }
            StoreReply::Conflict { .. } => {
                // Known already, ended meanwhile, or our claim is gone: look again.
                self.await_confirming_read(request_id);
                Vec::new()
            }
            // It may have been applied. The same write again either does it
            // or conflicts with it, and both tell.
            StoreReply::Unanswered if request.may_write_again(context.now) => vec![AdmissionEffect::Write {
                request_id,
                transaction: write.transaction.clone(),
            }],
            _ => self.finish(context, request_id, Unavailable::StateServiceUnreachable.answer()),
        }
    }
}
