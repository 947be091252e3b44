//! Machines and the attempts on them: merging reports, proving attempts over,
//! deriving commands.
//!
//! An attempt stays open, and counts against its team and its machine, until it
//! is proven over: listed as ended by the newest report, its agent epoch gone, its
//! machine deleted, its worker's lease surely expired, or, if it is not wanted any more,
//! no start of it can still arrive. Commands are always
//! derived from what is open, so repeating them needs no memory of its own.
//!
//! What changes other slices is returned as effects, for the shard to apply.

mod absence;
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

pub use attempt::{Attempt, CommittedRecord, EndedAttempt, Outcome, RecordState};
pub use attempts::Attempts;
pub use attribution::FailureRecord;
#[cfg(test)]
pub(crate) use attribution::UNHEALTHY_AFTER_FAILING_JOBS;
pub use cloud_listing::CloudListing;
pub use commands::command_for;
pub use delivery::Delivery;
pub use machine::{MISSED_ANSWERS_TO_CORDON, MISSED_ANSWERS_TO_DECOMMISSION, Machine};
#[cfg(test)]
pub(crate) use merge::MAX_LISTED_ENDED_TASKS;
pub use registry::Workers;
pub use report::{MergeOutcome, MergedReport, ReceivedReport, ReportPath};
pub use task_name::{parse_task_name, task_name};
