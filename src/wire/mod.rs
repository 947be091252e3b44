//! The messages that controllers exchange with users, workers, the cloud and the
//! state service, as `serde` types.
//!
//! The protocol uses its own vocabulary on the wire, which is translated only here: Rust
//! names are the usual terms for clusters, and each `serde` rename gives the name in the
//! protocol. Unknown fields are ignored, as the protocol requires, and a field that may be
//! null may also be missing.

mod cloud;
mod store;
mod users;
mod workers;

pub use cloud::{Catalogue, ListedMachine, MachineList, MachineNames, MachineRequest, MachineState, MachineType};
pub use store::{
    Change, Condition, Entry, ErrorAnswer, LeaseAnswer, LeaseRequest, Page, Transaction, TransactionAnswer, WatchEvent,
    WatchLog,
};
pub use users::{JobKind, JobSpec, JobState, JobStatus, Priority};
pub use workers::{
    Command, DirectCommands, ExitReason, MAX_ADDRESS_BYTES, Redirect, Report, ReportAnswer, TaskReport, TaskState,
};

#[cfg(test)]
mod tests;
