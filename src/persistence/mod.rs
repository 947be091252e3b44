//! What must be written to the state service next, and the transactions that write it.
//!
//! One transaction is in flight at a time. Each carries the leader's claim and
//! the version of every key it changes, so that a copy applied late, or sent by
//! a former leader, changes nothing.
//!
//! [`PendingWrites`] holds what is due. Each kind of change has a module that adds it to
//! a transaction, and takes note once that transaction is committed or known not to be
//! applied. What follows for others is returned as [`CommitEffects`].

mod clean_ups;
mod context;
mod finished_jobs;
mod in_flight;
mod inventory_groups;
mod machine_requests;
mod next_transaction;
mod outcome;
mod pending_writes;
mod stored_value;
mod task_chunks;
mod transaction_builder;

pub use context::WriteContext;
pub use in_flight::InFlight;
pub use machine_requests::{AnsweredRequest, WrittenRequest};
pub use next_transaction::ChangeLimits;
pub use outcome::CommitEffects;
pub use pending_writes::PendingWrites;
pub use stored_value::{StoredValueError, read_value};
