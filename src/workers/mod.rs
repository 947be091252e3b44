//! Machines and the attempts on them: merging of reports, detection of ended attempts and
//! derivation of commands.
//!
//! An attempt stays open, and counts against its team's quota and its machine's resources,
//! until there is proof that it has ended. One of the following is proof:
//!
//! - the newest report lists the attempt as exited,
//! - the worker has begun a later agent epoch,
//! - the machine is deleted,
//! - the worker's lease has certainly expired,
//! - the attempt is no longer wanted, and no start command for it can still arrive. Unless
//!   the job has ended, the attempt's record is removed before the attempt is closed.
//!
//! Commands are always derived from the open attempts and the newest report, so repeating them
//! requires no additional state.
//!
//! The consequences of a report for other parts of the shard's state are returned as values,
//! which the shard applies.

mod absence;
mod answered_starts;
mod attempt;
mod attempts;
mod attribution;
mod cloud_listing;
mod commands;
mod delivery;
mod drain;
mod image_cache;
mod machine;
mod merge;
mod registry;
mod report;
mod task_name;
mod tokens;

pub use answered_starts::AnsweredStarts;
pub use attempt::{Attempt, CommittedRecord, EndedAttempt, Outcome, OutcomeCounts, RecordState};
pub use attempts::Attempts;
pub use attribution::FailureRecord;
#[cfg(test)]
pub(crate) use attribution::UNHEALTHY_AFTER_FAILING_JOBS;
pub use cloud_listing::CloudListing;
pub use commands::command_for;
pub use delivery::Delivery;
pub use machine::{MISSED_ANSWERS_TO_CORDON, MISSED_ANSWERS_TO_DECOMMISSION, Machine};
pub use registry::Workers;
pub use report::{MergeOutcome, MergedReport, ReceivedReport, ReportPath};
pub use task_name::{parse_task_name, task_name};
pub use tokens::WorkerTokens;
