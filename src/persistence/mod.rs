//! Queue of the changes to write to the state service, and the transactions that write them.
//!
//! At most one transaction is in flight. Each transaction is conditional on the leader's claim
//! and on the version of every key that it changes, so a copy that arrives late or comes from a
//! former leader changes nothing.
//!
//! [`PendingWrites`] holds the queued changes. For each kind of change, a module adds it to a
//! transaction and updates the state once that transaction is known to be committed or not
//! applied. Consequences for other parts of the shard's state are returned as
//! [`CommitEffects`]. Changes that the state service rejects are kept apart (`rejected_writes`).

mod clean_ups;
mod content;
mod context;
mod draft;
mod finished_jobs;
mod in_flight;
mod inventory_groups;
mod machine_requests;
mod next_transaction;
mod outcome;
mod pending_writes;
mod rejected_writes;
mod stored_value;
mod task_chunks;
mod transaction_builder;

pub use content::AnsweredRequest;
pub use context::WriteContext;
pub use in_flight::InFlight;
pub use machine_requests::WrittenRequest;
pub use next_transaction::ChangeLimits;
pub use outcome::CommitEffects;
pub use pending_writes::PendingWrites;
pub use rejected_writes::QueuedWrite;
pub use stored_value::{StoredValueError, read_value};
